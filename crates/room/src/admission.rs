//! Whether a request is served now, waits at its node or is refused. Pure: time and randomness are arguments.
//!
//! The load: a service has slots for a part of the requests only, for seconds. Were all of them queued, every slot
//! would work for callers whose time is over, and goodput would fall to a fraction of the slots. So a request waits
//! for a short part of its target, all that wait have the same chance of a slot that frees itself, and who gets none
//! is refused while the answer is still of use. As many go to servers as slots free themselves there: each node
//! reckons with its own looks only, and with the sums over all nodes.

use std::time::Duration;

use rand::Rng;

use crate::room::{RETURNS_PART, Room};

/// Time between two looks of a request that waits for a slot, on the mean.
pub const LOOK: Duration = Duration::from_millis(20);
/// At least.
const LEAST_LOOK: Duration = Duration::from_millis(2);
/// Time between two looks of a request that can only be late.
const LATE_LOOK: Duration = Duration::from_millis(100);
/// Age of the news of other nodes.
const NEWS_AGE: Duration = Duration::from_millis(75);
/// Time over which what is missing at servers is made up for: twice that age, so that nodes do not all make up for
/// the same slots again.
const CORRECTION: Duration = Duration::from_millis(150);
/// Work that servers keep in their queues, by the time in which it ends: that of a look and of the news of it.
const QUEUED: Duration = Duration::from_millis(50);
/// Part of the target after which a caller that cannot be served is told so: with the way of the answer it has lost a
/// quarter then, and its next try has the rest of its time.
const ANSWER_PART: f64 = 0.2;
/// Part of the target by which a request must have a slot, beside the time to its first event.
const SLOT_PART: f64 = 0.75;
/// Part of a caller's time for which it waits when it is told to come back, as callers of this interface do.
pub const OBEYED_PART: f64 = 1.0 / 3.0;

/// A request that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Asking {
    /// Time since it came.
    pub age: Duration,
    /// Time from its coming to its first event, as its caller wants it.
    pub target: Duration,
    /// Time from having a slot to the first event.
    pub first_event: Duration,
    /// Time that its caller has left.
    pub left: Duration,
    /// Time from its coming after which it waits no longer, even where late is better than not at all.
    pub most_wait: Duration,
    /// Its caller was refused before.
    pub again: bool,
    /// It has lost time at a server that failed.
    pub failed: bool,
    /// It has run nowhere, so that a refusal is true.
    pub refusable: bool,
    /// It has looked for a slot before.
    pub waits: bool,
    /// It is counted among those that wait.
    pub counted: bool,
}

/// What becomes of a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It goes to a server.
    Serve,
    /// It waits at its node and looks again after some time.
    Wait {
        /// That time.
        look: Duration,
        /// It counts as waiting for a slot: it is of those who share what frees itself.
        counted: bool,
    },
    /// There is no room in time.
    Refuse {
        /// When its caller comes back best.
        retry_after: Duration,
    },
}

impl Asking {
    /// Age until which a slot is of use for a first event in time.
    fn latest(&self) -> Duration {
        let by_target = self.target.mul_f64(SLOT_PART);
        // However long the prompt, it may wait as long as others do.
        let shortest = self.target.mul_f64(ANSWER_PART);
        by_target.saturating_sub(self.first_event).max(shortest)
    }

    /// Age at which it waits no longer for a slot in time.
    fn cut(&self) -> Duration {
        match self.failed {
            true => self.latest(),
            false => self.target.mul_f64(ANSWER_PART).min(self.latest()),
        }
    }
}

/// Decides about a request at one look.
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
    // Not all at the same time: each would see the same free slot.
    let look = mean.mul_f64(random.random_range(0.5..1.5));
    Admission::Wait {
        look: look.min(most.saturating_sub(asking.age)).max(LEAST_LOOK),
        counted: !is_late && !asking.again,
    }
}

/// Free slots beyond the other requests that wait for one.
fn spare(room: &Room, asking: &Asking) -> f64 {
    let itself = u32::from(asking.counted);
    let others = room.waiting.saturating_sub(itself);
    f64::from(room.slots) - f64::from(room.online) - f64::from(others)
}

/// Chance that a request gets a slot at this look, so that all who look get as many as there are. A caller that comes
/// back has a part of the room for itself at its first look, and then what others leave.
fn serve_chance(room: &Room, asking: &Asking) -> f64 {
    let arrivals = room.arrivals_per_s();
    let rise = room.trend_per_s.max(0.0) * NEWS_AGE.as_secs_f64();
    if spare(room, asking) - rise >= (arrivals * NEWS_AGE.as_secs_f64()).max(1.0) {
        // Slots for all who come while news are under way.
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

/// Chance that a request which has just come is refused at once: it rises with the wait, so that nodes with the same
/// news do not all refuse at the same moment.
fn refuse_chance(room: &Room, asking: &Asking) -> f64 {
    let begins = asking.target.mul_f64(ANSWER_PART).as_secs_f64();
    let ends = asking.latest().as_secs_f64().max(begins + 0.001);
    ((room.wait().as_secs_f64() - begins) / (ends - begins)).clamp(0.0, 1.0)
}
