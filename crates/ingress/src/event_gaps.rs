//! Measures how much slower a server is than it reports, from the gaps between its events.
//!
//! Some servers report no pace or a wrong one. The gap between events of a service is nearly
//! constant at the normal pace, so a longer gap shows a slow server. The time to the first event is
//! unsuitable because it includes queueing and the prompt.

use std::time::Duration;

use dappleyard_cluster::Pace;

/// Gaps per measurement. The median is used, since a single long gap may be caused by this node or
/// the network.
const PAUSES: usize = 7;
/// Smallest ratio that is reported. Smaller ones are within the error of the measurement and the
/// delay of the server's own report.
const LEAST: f64 = 1.5;

/// Gaps of one response since the last measurement.
#[derive(Debug, Default)]
pub struct AnswerPauses {
    held: Vec<Duration>,
}

impl AnswerPauses {
    /// Records a gap. Returns the median each time a measurement is complete.
    pub fn note(&mut self, pause: Duration) -> Option<Duration> {
        self.held.push(pause);
        if self.held.len() < PAUSES {
            return None;
        }
        self.held.sort();
        let median = self.held[PAUSES / 2];
        self.held.clear();
        Some(median)
    }
}

/// Ratio of the measured gap to the one expected at the reported pace, or `Pace::USUAL` if the
/// ratio is small.
pub fn excess(pause: Duration, usual: Duration, told: Pace) -> Pace {
    let times = pause.as_secs_f64() / (usual.as_secs_f64() * told.times());
    match times >= LEAST {
        true => Pace::new(times),
        false => Pace::USUAL,
    }
}
