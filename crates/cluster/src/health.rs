//! Availability of the store as seen by this node's own calls.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::StoreError;
use parking_lot::Mutex;

/// Time without an answer, from the first failed call on, after which the store counts as
/// unavailable.
const UNAVAILABLE_AFTER: Duration = Duration::from_millis(300);

#[derive(Debug, Default, Clone, Copy)]
struct State {
    answered: Option<Instant>,
    failing_since: Option<Instant>,
}

/// Outcomes of this node's calls to the store, shared by all threads.
#[derive(Debug, Default)]
pub struct StoreHealth {
    state: Mutex<State>,
}

impl StoreHealth {
    /// Records the outcome of a call. A failed condition counts as an answer.
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

    /// Time since the last answer; `None` before the first one.
    pub fn age(&self) -> Option<Duration> {
        self.state.lock().answered.map(|at| at.elapsed())
    }

    /// Whether all calls have failed for longer than the limit.
    pub fn is_unavailable(&self) -> bool {
        let state = self.state.lock();
        state
            .failing_since
            .is_some_and(|since| since.elapsed() >= UNAVAILABLE_AFTER)
    }
}
