//! Fault injection for the simulated platform services.

use std::time::Duration;

use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A platform service that faults can be injected into.
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

/// Faults injected into one service. The default is none.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Fault {
    /// Calls are rejected with 503 before they are handled.
    pub refusing: bool,
    /// Connections are aborted before the call is handled. Unlike a rejected call, its outcome is
    /// unknown to the caller.
    pub unreachable: bool,
    /// Additional delay before a call is handled.
    pub delay: Duration,
    /// Share of calls that are handled but whose response is dropped, 0 to 1.
    pub answer_lost: f64,
}

/// How to treat one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Action {
    /// Reject with 503.
    Refuse,
    /// Abort the connection.
    Abort,
    /// Handle the call.
    Handle {
        /// Additional delay before the call is handled.
        delay: Duration,
        /// Drop the response after the call is handled.
        drop_response: bool,
    },
}

/// Faults of all services, with the generator for probabilistic ones.
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

    /// Selects how to treat the next call of a service.
    pub(super) fn next_action(&self, service: Service) -> Action {
        let (faults, rng) = &mut *self.state.lock();
        let fault = faults[service as usize];
        if fault.refusing {
            return Action::Refuse;
        }
        if fault.unreachable {
            return Action::Abort;
        }
        let share = fault.answer_lost.clamp(0.0, 1.0);
        Action::Handle {
            delay: fault.delay,
            drop_response: share > 0.0 && rng.random_bool(share),
        }
    }
}
