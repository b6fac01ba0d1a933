//! Admission of a single request: serve, wait or refuse. Time and randomness are arguments.
//!
//! Under sustained overload an unbounded queue would spend every slot on requests that are already
//! late. So a request waits only for a fraction of its target, all waiting requests have the same
//! chance of a free slot, and a request that gets none is refused while its client can still retry.
//! Nodes decide locally from the sums over all nodes, such that together they send as many requests
//! as slots become free.

use std::time::Duration;

use rand::Rng;

use crate::room::{RETURNS_PART, Room};

/// Mean interval between checks of a waiting request.
pub const LOOK: Duration = Duration::from_millis(20);
/// Minimum interval between checks.
const LEAST_LOOK: Duration = Duration::from_millis(2);
/// Interval between checks of a request that is already late.
const LATE_LOOK: Duration = Duration::from_millis(100);
/// Age of other nodes' information.
const NEWS_AGE: Duration = Duration::from_millis(75);
/// Time over which free slots are filled: twice the age of the information, so that nodes do not
/// fill the same slots repeatedly.
const CORRECTION: Duration = Duration::from_millis(150);
/// Amount of work queued at servers, as time to process it: one check interval plus the delay of
/// its information.
const QUEUED: Duration = Duration::from_millis(50);
/// Fraction of the target after which a request that cannot be served is refused. With network
/// time, the client then has lost a quarter of its target and can use the rest of its deadline for
/// a retry.
const ANSWER_PART: f64 = 0.2;
/// Fraction of the target available for waiting and for the first event.
const SLOT_PART: f64 = 0.75;
/// Maximum retry delay as a fraction of the client's remaining time; clients do not wait longer.
pub const OBEYED_PART: f64 = 1.0 / 3.0;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Asking {
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
    pub again: bool,
    /// A server failed to serve it.
    pub failed: bool,
    /// It has not run, so it may be refused as not run.
    pub refusable: bool,
    /// It has checked for a slot before.
    pub waits: bool,
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
        look: Duration,
        /// Whether it counts as waiting for a slot.
        counted: bool,
    },
    /// No slot will be free in time.
    Refuse {
        /// Suggested retry delay.
        retry_after: Duration,
    },
}

impl Asking {
    /// Latest age to start and still meet the target.
    fn latest(&self) -> Duration {
        let by_target = self.target.mul_f64(SLOT_PART);
        // Requests with long prompts may wait as long as others.
        let shortest = self.target.mul_f64(ANSWER_PART);
        by_target.saturating_sub(self.first_event).max(shortest)
    }

    /// Age at which it stops waiting for a slot in time.
    fn cut(&self) -> Duration {
        match self.failed {
            true => self.latest(),
            false => self.target.mul_f64(ANSWER_PART).min(self.latest()),
        }
    }
}

/// Decides on a request at one check.
pub fn admit(room: &Room, asking: &Asking, random: &mut impl Rng) -> Admission {
    let is_late = asking.age > asking.latest();
    let is_over = asking.age >= asking.cut();
    let served = match is_late || is_over {
        true => spare(room, asking) >= 1.0,
        false => random.random::<f64>() < serve_chance(room, asking),
    };
    if served || (!asking.refusable && asking.age >= asking.most_wait) {
        return Admission::Serve;
    }
    let hopeless = !asking.waits && random.random::<f64>() < refuse_chance(room, asking);
    if asking.refusable && (is_over || hopeless) {
        let most = asking.left.mul_f64(OBEYED_PART);
        let retry_after = room.return_after(most, random);
        return Admission::Refuse { retry_after };
    }
    let (mean, most) = match is_late {
        true => (LATE_LOOK, asking.most_wait),
        false => (LOOK, asking.cut()),
    };
    // Jitter, so that requests do not all find the same free slot.
    let look = mean.mul_f64(random.random_range(0.5..1.5));
    Admission::Wait {
        look: look.min(most.saturating_sub(asking.age)).max(LEAST_LOOK),
        counted: !is_late && !asking.again,
    }
}

/// Free slots minus the other waiting requests.
fn spare(room: &Room, asking: &Asking) -> f64 {
    let itself = u32::from(asking.counted);
    let others = room.waiting.saturating_sub(itself);
    f64::from(room.slots) - f64::from(room.online) - f64::from(others)
}

/// Probability of serving a request at this check, chosen so that on average the free slots are
/// filled. A retry may use the reserved part of the slots at its first check, and afterwards what
/// other requests leave.
fn serve_chance(room: &Room, asking: &Asking) -> f64 {
    let arrivals = room.arrivals_per_s();
    let rise = room.trend_per_s.max(0.0) * NEWS_AGE.as_secs_f64();
    if spare(room, asking) - rise >= (arrivals * NEWS_AGE.as_secs_f64()).max(1.0) {
        // Enough slots for all arrivals until the information is updated.
        return 1.0;
    }
    let (ends, look) = (room.ends_per_s(), LOOK.as_secs_f64());
    let wanted = f64::from(room.slots) + ends * QUEUED.as_secs_f64();
    let missing = wanted - f64::from(room.online) - rise;
    let budget = ends * look + missing * look / CORRECTION.as_secs_f64();
    let returns = room.returns_per_s() * look;
    let kept = returns.min(budget * RETURNS_PART);
    let looking = f64::from(room.waiting) + arrivals * look;
    match (asking.again, asking.waits) {
        (false, _) => (budget - kept) / looking.max(1.0),
        (true, false) => (budget * RETURNS_PART / returns.max(0.001)).max(budget - looking),
        (true, true) => budget - looking,
    }
}

/// Probability of refusing a request on arrival. It rises with the expected wait, so that nodes
/// with the same information do not all start refusing at once.
fn refuse_chance(room: &Room, asking: &Asking) -> f64 {
    let begins = asking.target.mul_f64(ANSWER_PART).as_secs_f64();
    let ends = asking.latest().as_secs_f64().max(begins + 0.001);
    ((room.wait().as_secs_f64() - begins) / (ends - begins)).clamp(0.0, 1.0)
}
