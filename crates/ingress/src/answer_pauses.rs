//! How much longer answers of a server take than it says, from the pauses between their events. Pure.
//!
//! Some servers are slow and do not say so, and some never say anything. Events of one service come at one interval;
//! where they come at another, work takes as much longer. The time to the first event would not do: it holds the
//! wait for a slot and the length of the prompt.

use std::time::Duration;

use dappleyard_cluster::Pace;

/// Pauses that make one measure. Their median counts: one long pause may be the node's own, or the network's.
const PAUSES: usize = 7;
/// Least multiple that counts: the measure is coarse, and the word of a server may be some tens of milliseconds old.
const LEAST: f64 = 1.5;

/// Pauses of one answer since the last measure.
#[derive(Debug, Default)]
pub struct AnswerPauses {
    held: Vec<Duration>,
}

impl AnswerPauses {
    /// Notes a pause; the median, each time that enough of them were seen.
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

/// How much longer pauses are than the usual ones, at a server that says that work takes `told` there; as usual
/// where that is not much.
pub fn excess(pause: Duration, usual: Duration, told: Pace) -> Pace {
    let times = pause.as_secs_f64() / (usual.as_secs_f64() * told.times());
    match times >= LEAST {
        true => Pace::new(times),
        false => Pace::USUAL,
    }
}
