//! Measures how soon batch yields to online bursts.

use std::collections::BTreeMap;

use serde::Serialize;

/// Histograms of the time until batch yielded to online bursts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct YieldProbe {
    /// Bursts by the number of engine steps until batch had yielded.
    pub steps: BTreeMap<u32, u64>,
    /// Bursts by milliseconds until batch had yielded, rounded up.
    pub milliseconds: BTreeMap<u64, u64>,
    /// Bursts that ended before batch had yielded.
    pub never: u64,
}

impl YieldProbe {
    pub fn merge(&mut self, other: &YieldProbe) {
        for (steps, bursts) in &other.steps {
            *self.steps.entry(*steps).or_default() += bursts;
        }
        for (milliseconds, bursts) in &other.milliseconds {
            *self.milliseconds.entry(*milliseconds).or_default() += bursts;
        }
        self.never += other.never;
    }
}

/// Tracks the current burst and collects the histograms.
#[derive(Debug, Default)]
pub(super) struct BurstTracker {
    current: Option<Burst>,
    pub(super) histogram: YieldProbe,
}

#[derive(Debug, Clone, Copy)]
struct Burst {
    since_us: u64,
    steps: u32,
}

impl BurstTracker {
    pub(super) fn burst_begins(&mut self, now_us: u64) {
        self.current = Some(Burst {
            since_us: now_us,
            steps: 0,
        });
    }

    /// Counts a step of the current burst.
    pub(super) fn step_ended(&mut self) {
        if let Some(burst) = &mut self.current {
            burst.steps += 1;
        }
    }

    /// Records that the batch is no wider than allowed, which completes the current burst.
    pub(super) fn batch_yielded(&mut self, now_us: u64) {
        let Some(burst) = self.current.take() else {
            return;
        };
        let elapsed_ms = now_us.saturating_sub(burst.since_us).div_ceil(1_000);
        *self.histogram.steps.entry(burst.steps).or_default() += 1;
        *self.histogram.milliseconds.entry(elapsed_ms).or_default() += 1;
    }

    /// Ends the current burst; it counts as `never` if batch has not yielded.
    pub(super) fn burst_ends(&mut self) {
        if self.current.take().is_some() {
            self.histogram.never += 1;
        }
    }
}
