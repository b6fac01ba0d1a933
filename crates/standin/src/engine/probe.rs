//! How soon batch is out of the way of an online burst.

use std::collections::BTreeMap;

use serde::Serialize;

/// Histogram of how soon batch was out of the way of online bursts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct YieldProbe {
    /// Bursts by engine steps until the batch width was allowed.
    pub steps: BTreeMap<u32, u64>,
    /// Bursts by milliseconds, rounded up.
    pub milliseconds: BTreeMap<u64, u64>,
    /// Bursts that ended before batch had yielded.
    pub never: u64,
}

impl YieldProbe {
    /// Adds the bursts of another probe.
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

/// A probe with the burst that it follows at present.
#[derive(Debug, Default)]
pub(super) struct Prober {
    open: Option<Burst>,
    pub(super) seen: YieldProbe,
}

#[derive(Debug, Clone, Copy)]
struct Burst {
    since_us: u64,
    steps: u32,
}

impl Prober {
    /// A burst begins.
    pub(super) fn burst_begins(&mut self, now_us: u64) {
        self.open = Some(Burst {
            since_us: now_us,
            steps: 0,
        });
    }

    /// A step ended.
    pub(super) fn step_ended(&mut self) {
        if let Some(burst) = &mut self.open {
            burst.steps += 1;
        }
    }

    /// The batch is not wider than allowed.
    pub(super) fn yielded(&mut self, now_us: u64) {
        let Some(burst) = self.open.take() else {
            return;
        };
        let waited_ms = now_us.saturating_sub(burst.since_us).div_ceil(1_000);
        *self.seen.steps.entry(burst.steps).or_default() += 1;
        *self.seen.milliseconds.entry(waited_ms).or_default() += 1;
    }

    /// The last online sequence has gone.
    pub(super) fn burst_ends(&mut self) {
        if self.open.take().is_some() {
            self.seen.never += 1;
        }
    }
}
