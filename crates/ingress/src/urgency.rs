//! Decides by age whether a request is sent to a full server or queued at its node.
//!
//! Servers work in order of arrival, and a request cannot be withdrawn from a server. If a burst
//! beyond the slots were sent at once, the whole tail would be late. So requests queue at the
//! nodes, and the older a request is, the more free slots it needs. All nodes thereby favour
//! requests that can still meet their target, without coordination.

use std::time::Duration;

use dappleyard_model::ServerLoad;

/// Additional free slots that a request older than fresh needs.
const IN_TIME_RESERVE: f64 = 1.0;
/// Additional free slots that a late request needs.
const LATE_RESERVE: f64 = 2.0;
/// Change per response, so that the limit follows about ten responses.
const OVERCOMMIT_STEP: f64 = 0.1;
/// Lower bound. Below it, servers with few slots would idle while requests wait.
const MIN_OVERCOMMIT: f64 = -2.5;
/// Upper bound. One request may queue at a server to keep it busy until the news of a free slot
/// arrives.
const MAX_OVERCOMMIT: f64 = 1.0;
/// Fraction of the target during which a request may queue behind another one at a server.
const FRESH_FRACTION: f64 = 0.35;
/// Fraction of the target during which a request that finds a free slot can meet it. The rest
/// covers the network and the prompt.
const IN_TIME_FRACTION: f64 = 0.7;
/// Fraction of the client's patience after which a late request goes to the least loaded server
/// however full it is. The rest covers the queue there.
const DUE_FRACTION: f64 = 0.6;

/// How a request's age relates to its target and its client's patience.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
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
    patience.mul_f64(DUE_FRACTION)
}

/// `target` is the time to the first event.
pub fn urgency(age: Duration, target: Duration, patience: Duration) -> Urgency {
    if age >= due_age(patience) {
        Urgency::Due
    } else if age < target.mul_f64(FRESH_FRACTION) {
        Urgency::Fresh
    } else if age < target.mul_f64(IN_TIME_FRACTION) {
        Urgency::InTime
    } else {
        Urgency::Late
    }
}

/// How many online requests beyond its slots a server may appear to have and still get another one.
/// Load information lags behind, more so at high request rates, so the limit follows the queues
/// that servers report: it falls while requests queue at nearly full servers and rises while none
/// does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OvercommitLimit(f64);

impl Default for OvercommitLimit {
    fn default() -> Self {
        Self(0.0)
    }
}

impl OvercommitLimit {
    /// Updates the limit from the load reported with a response.
    pub fn record(&mut self, load: ServerLoad) {
        if load.running + 1 < load.slots {
            // A server with free slots says nothing about full ones.
            return;
        }
        let step = match load.waiting {
            0 => OVERCOMMIT_STEP,
            waiting => -OVERCOMMIT_STEP * f64::from(waiting),
        };
        self.0 = (self.0 + step).clamp(MIN_OVERCOMMIT, MAX_OVERCOMMIT);
    }

    /// Whether a request may be sent now, with `mean_excess` as the mean number of online requests
    /// beyond the slots. The mean is used rather than the load of the chosen server, which may
    /// appear least loaded only because information is outdated. Batch items do not count, since
    /// they are preempted. `point` is uniform in [0, 1).
    pub fn admits(self, urgency: Urgency, mean_excess: f64, point: f64) -> bool {
        let reserve = match urgency {
            Urgency::Fresh => 0.0,
            Urgency::InTime => IN_TIME_RESERVE,
            Urgency::Late => LATE_RESERVE,
            Urgency::Due => return true,
        };
        mean_excess < self.0 + point - reserve
    }
}
