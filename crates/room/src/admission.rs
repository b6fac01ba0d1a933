//! Admission of a single request: serve, wait or refuse. Time and randomness are arguments.
//!
//! Under sustained overload an unbounded queue would spend every slot on requests that are already
//! late. So a request waits only for a fraction of its target, all waiting requests have the same
//! chance of a free slot, and a request that gets none is refused while its client can still retry.
//! Nodes decide locally from the sums over all nodes, such that together they send as many requests
//! as slots become free.

use std::time::Duration;

use rand::Rng;

use crate::capacity::{Capacity, RETRY_RESERVE};

/// Mean interval between checks of a waiting request.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum interval between checks.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Interval between checks of a request that is already late.
const LATE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Age of other nodes' information.
const INFORMATION_DELAY: Duration = Duration::from_millis(75);
/// Time over which free slots are filled: twice the age of the information, so that nodes do not
/// fill the same slots repeatedly.
const CORRECTION_PERIOD: Duration = Duration::from_millis(150);
/// Work kept queued at servers while all slots are in use, as the time to process it: one check
/// interval plus the delay of its information.
const SERVER_QUEUE: Duration = Duration::from_millis(50);
/// Fraction of the target after which a request that cannot be served is refused. With network
/// time, the client then has lost a quarter of its target and can use the rest of its deadline for
/// a retry.
const REFUSE_FRACTION: f64 = 0.2;
/// Fraction of the target available for waiting and for the first event.
const SLOT_FRACTION: f64 = 0.75;
/// Maximum retry delay as a fraction of the client's remaining time; clients do not wait longer.
pub const RETRY_FRACTION: f64 = 1.0 / 3.0;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRequest {
    /// Time since arrival.
    pub age: Duration,
    /// Target time from arrival to the first event.
    pub target: Duration,
    /// Expected time from the start on a server to the first event.
    pub first_event: Duration,
    /// Remaining time of the client.
    pub left: Duration,
    /// Age after which it no longer waits, even if it will be late.
    pub most_wait: Duration,
    /// The client was refused before.
    pub is_retry: bool,
    /// A server failed to serve it.
    pub failed: bool,
    /// It has not run, so it may be refused as not run.
    pub refusable: bool,
    /// It has checked for a slot before.
    pub has_waited: bool,
    /// It is included in the count of waiting requests.
    pub counted: bool,
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Send it to a server.
    Serve,
    /// Keep it at the node and check again later.
    Wait {
        /// Time until the next check.
        interval: Duration,
        /// Whether it counts as waiting for a slot.
        counted: bool,
    },
    /// No slot will be free in time.
    Refuse {
        /// Suggested retry delay.
        retry_after: Duration,
    },
}

impl AdmissionRequest {
    /// Latest age to start and still meet the target.
    fn latest_start(&self) -> Duration {
        let by_target = self.target.mul_f64(SLOT_FRACTION);
        // However long its prompt, a request may wait as long as others before it is refused.
        let shortest = self.target.mul_f64(REFUSE_FRACTION);
        by_target.saturating_sub(self.first_event).max(shortest)
    }

    /// Age at which it is refused, if it may be, unless a slot is free. After a failed attempt it
    /// may wait until its latest start.
    fn give_up_age(&self) -> Duration {
        match self.failed {
            true => self.latest_start(),
            false => self
                .target
                .mul_f64(REFUSE_FRACTION)
                .min(self.latest_start()),
        }
    }
}

/// Decides on a request at one check.
pub fn admit(capacity: &Capacity, request: &AdmissionRequest, random: &mut impl Rng) -> Admission {
    let is_late = request.age > request.latest_start();
    let is_over = request.age >= request.give_up_age();
    let served = match is_late || is_over {
        true => spare_slots(capacity, request) >= 1.0,
        false => random.random::<f64>() < serve_probability(capacity, request),
    };
    if served || (!request.refusable && request.age >= request.most_wait) {
        return Admission::Serve;
    }
    let hopeless =
        !request.has_waited && random.random::<f64>() < refuse_probability(capacity, request);
    if request.refusable && (is_over || hopeless) {
        let most = request.left.mul_f64(RETRY_FRACTION);
        let retry_after = capacity.retry_delay(most, random);
        return Admission::Refuse { retry_after };
    }
    let (mean, most) = match is_late {
        true => (LATE_CHECK_INTERVAL, request.most_wait),
        false => (CHECK_INTERVAL, request.give_up_age()),
    };
    // Jitter, so that requests do not all find the same free slot.
    let interval = mean.mul_f64(random.random_range(0.5..1.5));
    Admission::Wait {
        interval: interval
            .min(most.saturating_sub(request.age))
            .max(MIN_CHECK_INTERVAL),
        counted: !is_late && !request.is_retry,
    }
}

/// Free slots minus the other waiting requests.
fn spare_slots(capacity: &Capacity, request: &AdmissionRequest) -> f64 {
    let itself = u32::from(request.counted);
    let others = capacity.waiting.saturating_sub(itself);
    f64::from(capacity.slots) - f64::from(capacity.online) - f64::from(others)
}

/// Probability of serving a request at this check, chosen so that on average the free slots are
/// filled. A retry may use the reserved part of the slots at its first check, and afterwards what
/// other requests leave.
fn serve_probability(capacity: &Capacity, request: &AdmissionRequest) -> f64 {
    let arrivals = capacity.arrivals_per_s();
    let rise = capacity.trend_per_s.max(0.0) * INFORMATION_DELAY.as_secs_f64();
    if spare_slots(capacity, request) - rise
        >= (arrivals * INFORMATION_DELAY.as_secs_f64()).max(1.0)
    {
        // Enough slots for all arrivals until the information is updated.
        return 1.0;
    }
    let (ends, interval) = (capacity.completions_per_s(), CHECK_INTERVAL.as_secs_f64());
    let wanted = f64::from(capacity.slots) + ends * SERVER_QUEUE.as_secs_f64();
    let missing = wanted - f64::from(capacity.online) - rise;
    let budget = ends * interval + missing * interval / CORRECTION_PERIOD.as_secs_f64();
    let expected_retries = capacity.retries_per_s() * interval;
    let reserved = expected_retries.min(budget * RETRY_RESERVE);
    let competing = f64::from(capacity.waiting) + arrivals * interval;
    match (request.is_retry, request.has_waited) {
        (false, _) => (budget - reserved) / competing.max(1.0),
        (true, false) => {
            (budget * RETRY_RESERVE / expected_retries.max(0.001)).max(budget - competing)
        }
        (true, true) => budget - competing,
    }
}

/// Probability of refusing a request on arrival. It rises with the expected wait, so that nodes
/// with the same information do not all start refusing at once.
fn refuse_probability(capacity: &Capacity, request: &AdmissionRequest) -> f64 {
    let begins = request.target.mul_f64(REFUSE_FRACTION).as_secs_f64();
    let ends = request.latest_start().as_secs_f64().max(begins + 0.001);
    ((capacity.wait().as_secs_f64() - begins) / (ends - begins)).clamp(0.0, 1.0)
}
