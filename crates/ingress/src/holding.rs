//! When a request goes to a server that is full, and when it waits at its node. Pure.
//!
//! A server works on requests in the order in which they come, and no node can take one back. Were
//! everything sent at once, a wave that exceeds the slots would make all of its tail late. So a request waits at
//! its node for a slot, and how full a server may be for it depends on its age: all nodes let those go first that
//! can still be in time, without a word between them.

use std::time::Duration;

use dappleyard_model::ServerLoad;

/// Slots that a request which is no longer fresh leaves to fresh ones.
const LEFT_BY_OLDER: f64 = 1.0;
/// Slots that a late request leaves to those that can still be in time.
const LEFT_BY_LATE: f64 = 2.0;
/// How far one answer moves the allowance: it follows some ten answers.
const ALLOWANCE_STEP: f64 = 0.1;
/// Least of the allowance, in slots: with less, servers of few slots would stand idle while requests wait.
const LEAST_ALLOWANCE: f64 = -2.5;
/// Most of it: one request may wait at a server, so that it has work while the news of a free slot travels.
const MOST_ALLOWANCE: f64 = 1.0;
/// Part of the time to the first event within which a request may wait behind another one at its server.
const FRESH_PART: f64 = 0.35;
/// Part of it within which a request that finds a free slot can be in time: the rest is for the way and the
/// prompt.
const IN_TIME_PART: f64 = 0.7;
/// Part of a caller's patience after which a late request goes to the least loaded server however
/// full it is: the rest is for its queue.
const HELD_PART: f64 = 0.6;

/// How a request stands to the times that matter to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It can be in time even behind another one.
    Fresh,
    /// Begun now, its first event can come in time.
    InTime,
    /// It will be late, and a little more does no harm.
    Late,
    /// Its caller will soon give up.
    Due,
}

/// Age at which a request is due.
pub(crate) fn due_age(patience: Duration) -> Duration {
    patience.mul_f64(HELD_PART)
}

/// How a request of some age stands; `target` is the time to its first event.
pub fn standing(age: Duration, target: Duration, patience: Duration) -> Standing {
    if age >= due_age(patience) {
        Standing::Due
    } else if age < target.mul_f64(FRESH_PART) {
        Standing::Fresh
    } else if age < target.mul_f64(IN_TIME_PART) {
        Standing::InTime
    } else {
        Standing::Late
    }
}

/// How many online requests a server may be believed to have for another one to go there, beside its
/// slots. What is believed lags behind, by more the faster requests come; so this follows what servers
/// say of their queues: it falls while requests wait at nearly full servers, and rises while none does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance(f64);

impl Default for Allowance {
    fn default() -> Self {
        Self(0.0)
    }
}

impl Allowance {
    /// Takes what a server said with an answer.
    pub fn note(&mut self, load: ServerLoad) {
        if load.running + 1 < load.slots {
            // An idle server tells nothing of full ones.
            return;
        }
        let step = match load.waiting {
            0 => ALLOWANCE_STEP,
            waiting => -ALLOWANCE_STEP * f64::from(waiting),
        };
        self.0 = (self.0 + step).clamp(LEAST_ALLOWANCE, MOST_ALLOWANCE);
    }

    /// Whether a request goes to a server now, where servers have so many online requests above their
    /// slots in the mean. The one that is chosen seems to have less, since it was chosen for that by old
    /// news. Items of jobs do not count: they make way. `point` is uniform between 0 and 1.
    pub fn admits(self, standing: Standing, mean_over: f64, point: f64) -> bool {
        let left = match standing {
            Standing::Fresh => 0.0,
            Standing::InTime => LEFT_BY_OLDER,
            Standing::Late => LEFT_BY_LATE,
            Standing::Due => return true,
        };
        mean_over < self.0 + point - left
    }
}
