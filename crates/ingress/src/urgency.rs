//! Decides by age whether a request is sent to a full server or queued at its node.
//!
//! Servers work in order of arrival, and a request cannot be withdrawn from a server. If a burst
//! beyond the slots were sent at once, the whole tail would be late. So requests queue at the
//! nodes, and the older a request is, the more free slots it needs. All nodes thereby favour
//! requests that can still meet their target, without coordination.

use std::time::Duration;

use dappleyard_model::ServerLoad;

/// Additional free slots that a request older than fresh needs.
const LEFT_BY_OLDER: f64 = 1.0;
/// Additional free slots that a late request needs.
const LEFT_BY_LATE: f64 = 2.0;
/// Change per response, so that the limit follows about ten responses.
const ALLOWANCE_STEP: f64 = 0.1;
/// Lower bound. Below it, servers with few slots would idle while requests wait.
const LEAST_ALLOWANCE: f64 = -2.5;
/// Upper bound. One request may queue at a server to keep it busy until the news of a free slot
/// arrives.
const MOST_ALLOWANCE: f64 = 1.0;
/// Fraction of the target during which a request may queue behind another one at a server.
const FRESH_PART: f64 = 0.35;
/// Fraction of the target during which a request that finds a free slot can meet it. The rest
/// covers the network and the prompt.
const IN_TIME_PART: f64 = 0.7;
/// Fraction of the client's patience after which a late request goes to the least loaded server
/// however full it is. The rest covers the queue there.
const HELD_PART: f64 = 0.6;

/// How a request's age relates to its target and its client's patience.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It can meet its target even behind another request.
    Fresh,
    /// It can meet its target if it starts now.
    InTime,
    /// It will miss its target, so a further delay matters little.
    Late,
    /// Its client will soon give up.
    Due,
}

pub(crate) fn due_age(patience: Duration) -> Duration {
    patience.mul_f64(HELD_PART)
}

/// `target` is the time to the first event.
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

/// How many online requests beyond its slots a server may appear to have and still get another one.
/// Load information lags behind, more so at high request rates, so the limit follows the queues
/// that servers report: it falls while requests queue at nearly full servers and rises while none
/// does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance(f64);

impl Default for Allowance {
    fn default() -> Self {
        Self(0.0)
    }
}

impl Allowance {
    /// Updates the limit from the load reported with a response.
    pub fn note(&mut self, load: ServerLoad) {
        if load.running + 1 < load.slots {
            // A server with free slots says nothing about full ones.
            return;
        }
        let step = match load.waiting {
            0 => ALLOWANCE_STEP,
            waiting => -ALLOWANCE_STEP * f64::from(waiting),
        };
        self.0 = (self.0 + step).clamp(LEAST_ALLOWANCE, MOST_ALLOWANCE);
    }

    /// Whether a request may be sent now, with `mean_over` as the mean number of online requests
    /// beyond the slots. The mean is used because the chosen server only appears less loaded in
    /// outdated information. Batch items do not count, since they are preempted. `point` is uniform
    /// in [0, 1).
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
