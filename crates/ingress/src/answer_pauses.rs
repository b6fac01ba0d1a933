//! The pace of a server that does not tell it, from the pauses between the events of an answer. Pure.
//!
//! Events of one service come at one interval; where they come at another, work takes as much longer. The time to the
//! first event would not do: it holds the wait for a slot and the length of the prompt.

use std::time::Duration;

use dappleyard_cluster::Pace;

/// Pauses that make one figure. Their median counts: one long pause may be the node's own, or the network's.
const PAUSES: usize = 7;

/// Pauses of one answer since the last figure.
#[derive(Debug, Default)]
pub struct AnswerPauses {
    held: Vec<Duration>,
}

impl AnswerPauses {
    /// Notes a pause; the pace there, each time that enough of them were seen and the usual pause is known. What is
    /// near the usual is as usual, since the figure is no finer than that.
    pub fn note(
        &mut self,
        pause: Duration,
        usual: impl FnOnce() -> Option<Duration>,
    ) -> Option<Pace> {
        self.held.push(pause);
        if self.held.len() < PAUSES {
            return None;
        }
        self.held.sort();
        let median = self.held[PAUSES / 2];
        self.held.clear();
        let pace = Pace::new(median.as_secs_f64() / usual()?.as_secs_f64());
        match pace.differs_much(Pace::USUAL) {
            true => Some(pace),
            false => Some(Pace::USUAL),
        }
    }
}
