//! Measures how much slower a server is than it reports, from the gaps between its events.
//!
//! Some servers report no slowdown or a wrong one. The gap between events of a service is nearly
//! constant at normal speed, so a longer gap shows a slow server. The time to the first event is
//! unsuitable because it includes queueing and the prompt.

use std::time::Duration;

use dappleyard_cluster::Slowdown;

/// Gaps per measurement. The median is used, since a single long gap may be caused by this node or
/// the network.
const GAPS_PER_SAMPLE: usize = 7;
/// Smallest ratio that is reported. Smaller ones are within the error of the measurement and the
/// delay of the server's own report.
const MIN_RATIO: f64 = 1.5;

/// Gaps of one response since the last measurement.
#[derive(Debug, Default)]
pub struct EventGaps {
    gaps: Vec<Duration>,
}

impl EventGaps {
    /// Records a gap. Returns the median each time a measurement is complete.
    pub fn record(&mut self, gap: Duration) -> Option<Duration> {
        self.gaps.push(gap);
        if self.gaps.len() < GAPS_PER_SAMPLE {
            return None;
        }
        self.gaps.sort();
        let median = self.gaps[GAPS_PER_SAMPLE / 2];
        self.gaps.clear();
        Some(median)
    }
}

/// Ratio of the measured gap to the one expected at the reported slowdown, or `Slowdown::NORMAL` if
/// the ratio is below `MIN_RATIO`.
pub fn excess_slowdown(gap: Duration, expected: Duration, reported: Slowdown) -> Slowdown {
    let ratio = gap.as_secs_f64() / (expected.as_secs_f64() * reported.times());
    match ratio >= MIN_RATIO {
        true => Slowdown::new(ratio),
        false => Slowdown::NORMAL,
    }
}
