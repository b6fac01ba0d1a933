//! What can be made to go wrong with the platform's services.

use std::time::Duration;

use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One of the services.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Service {
    /// Table service.
    Tables,
    /// Object store.
    Objects,
    /// Machine list.
    Machines,
}

const SERVICES: usize = 3;

/// Faults of one service at present. The default is none.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Fault {
    /// Every call is refused with 503: nothing is changed, and the caller knows.
    pub refusing: bool,
    /// Every connection breaks before the call is looked at: nothing is changed, and the caller
    /// cannot know.
    pub unreachable: bool,
    /// Each call takes this much longer before it is looked at.
    pub delay: Duration,
    /// Share of calls whose answer is lost after the change took effect, 0 to 1.
    pub answer_lost: f64,
}

/// What is to be done with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fate {
    /// Refuse with 503.
    Refuse,
    /// Break the connection.
    Break,
    /// Handle it, after a delay, and perhaps lose the answer.
    Handle {
        /// Delay.
        delay: Duration,
        /// Lose the answer.
        lose_answer: bool,
    },
}

/// Faults of all services.
pub(super) struct Faults {
    state: Mutex<([Fault; SERVICES], ChaCha8Rng)>,
}

impl Faults {
    pub(super) fn new(seed: u64) -> Faults {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Faults {
            state: Mutex::new(([Fault::default(); SERVICES], rng)),
        }
    }

    pub(super) fn set(&self, service: Service, fault: Fault) {
        self.state.lock().0[service as usize] = fault;
    }

    /// Decides what becomes of one call.
    pub(super) fn fate(&self, service: Service) -> Fate {
        let (faults, rng) = &mut *self.state.lock();
        let fault = faults[service as usize];
        if fault.refusing {
            return Fate::Refuse;
        }
        if fault.unreachable {
            return Fate::Break;
        }
        let share = fault.answer_lost.clamp(0.0, 1.0);
        Fate::Handle {
            delay: fault.delay,
            lose_answer: share > 0.0 && rng.random_bool(share),
        }
    }
}
