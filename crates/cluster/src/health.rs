//! Whether the store answers this node's own calls.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::StoreError;
use parking_lot::Mutex;

/// Time without any answer, from the first failed call on, after which the store counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(300);

#[derive(Debug, Default, Clone, Copy)]
struct State {
    answered: Option<Instant>,
    failing_since: Option<Instant>,
}

/// Outcomes of this node's own calls to the store, shared by all threads.
#[derive(Debug, Default)]
pub struct StoreHealth {
    state: Mutex<State>,
}

impl StoreHealth {
    /// Notes how a call ended. A refused condition is an answer too.
    pub fn note<T>(&self, outcome: &Result<T, StoreError>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        match outcome {
            Err(StoreError::Unavailable { .. } | StoreError::Ambiguous { .. }) => {
                state.failing_since.get_or_insert(now);
            }
            _ => {
                state.answered = Some(now);
                state.failing_since = None;
            }
        }
    }

    /// Time since the store last answered; `None` when it never has.
    pub fn age(&self) -> Option<Duration> {
        self.state.lock().answered.map(|at| at.elapsed())
    }

    /// Whether the store has refused or left unanswered all calls for a while.
    pub fn is_lost(&self) -> bool {
        let state = self.state.lock();
        state
            .failing_since
            .is_some_and(|since| since.elapsed() >= LOST_AFTER)
    }
}
