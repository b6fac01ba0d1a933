//! The room of a service: what its slots can serve now and soon. Pure: time and randomness are arguments.
//!
//! The load: requests come faster than slots free themselves, at many nodes that know each other's work by news
//! some 50 ms old. All of them must come to about the same estimate without a word more, so it rests on sums
//! that are told anyway.

use std::collections::VecDeque;
use std::time::Duration;

use dappleyard_clock::Instant;
use rand::Rng;

use crate::returns::{SPAN, SPANS};

/// Part of the slots that free themselves which is kept for callers that come back. They waited once already; but
/// each slot kept for them is taken from a caller that is refused in their place.
pub const RETURNS_PART: f64 = 0.25;
/// Part of a new time in the running mean of the times for which slots are held.
const MEAN_SHARE: f64 = 0.1;
/// Time for which a request holds a slot while none has ended yet.
const UNKNOWN_HOLD: Duration = Duration::from_secs(1);

/// Time over which the rise of online requests is taken.
const TREND_SPAN: Duration = Duration::from_millis(150);
/// At least; over less, single requests would count as a rise.
const TREND_LEAST: Duration = Duration::from_millis(75);

/// Room of a service, over all nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct Room {
    /// Slots of the servers that answer.
    pub slots: u32,
    /// Online requests under way there. Items of jobs do not count: they make way.
    pub online: u32,
    /// By how much `online` has risen lately, requests a second. What is known of others is old by more than a
    /// wave needs to fill all slots.
    pub trend_per_s: f64,
    /// Requests that wait at nodes for a slot.
    pub waiting: u32,
    /// Requests told to come back, by span from now on.
    pub returns: Vec<u32>,
    /// Mean time for which a request holds a slot.
    pub hold: Duration,
}

impl Room {
    /// Slots that free themselves in a second when all are held.
    pub fn ends_per_s(&self) -> f64 {
        f64::from(self.slots) / self.hold.as_secs_f64().max(0.001)
    }

    /// Time until a request that comes now gets a slot, when it comes behind all that wait.
    pub fn wait(&self) -> Duration {
        let all = self.online.saturating_add(self.waiting).saturating_add(1);
        let ahead = all.saturating_sub(self.slots);
        match self.slots {
            0 => Duration::MAX,
            _ => Duration::from_secs_f64(f64::from(ahead) / self.ends_per_s()),
        }
    }

    /// Requests a second that come for the first time, by Little's law: those that are served, and those that are
    /// refused, who wait for twice as long as they are still away in the mean.
    pub fn arrivals_per_s(&self) -> f64 {
        let online = f64::from(self.online.min(self.slots));
        let served = online / self.hold.as_secs_f64().max(0.001) + self.trend_per_s.max(0.0);
        let spans = self.returns.iter().enumerate();
        let (away, away_s) = spans.fold((0.0, 0.0), |(away, away_s), (span, due)| {
            let due = f64::from(*due);
            (
                away + due,
                away_s + due * (span as f64 + 0.5) * SPAN.as_secs_f64(),
            )
        });
        match away > 0.0 {
            true => served + away * away / (2.0 * away_s),
            false => served,
        }
    }

    /// Requests a second that are expected back now.
    pub fn returns_per_s(&self) -> f64 {
        let due = self.returns.first().copied().unwrap_or_default();
        f64::from(due) / SPAN.as_secs_f64()
    }

    /// When a refused caller that waits for `most` at most comes back best: in the earliest span whose kept slots
    /// are not all promised; in none such, late, when the load may be over. Spans fill up by chance, so that nodes
    /// that have not heard of each other's promises yet do not all fill the same one.
    pub fn return_after(&self, most: Duration, random: &mut impl Rng) -> Duration {
        let most = most.min(SPAN * SPANS as u32);
        let kept = self.ends_per_s() * RETURNS_PART * SPAN.as_secs_f64();
        let spans = (most.as_secs_f64() / SPAN.as_secs_f64()) as usize;
        let open = (1..spans.min(SPANS)).find(|span| {
            let promised = self.returns.get(*span).copied().unwrap_or_default();
            f64::from(promised) < kept * random.random::<f64>()
        });
        match open {
            Some(span) => SPAN.mul_f64(span as f64 + random.random::<f64>()),
            None => most.mul_f64(random.random_range(0.5..=1.0)),
        }
    }
}

/// Mean time for which requests of one service hold a slot, learned from those that ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct HoldTime(Option<Duration>);

impl HoldTime {
    /// A request held a slot for some time.
    pub fn note(&mut self, held: Duration) {
        self.0 = Some(match self.0 {
            Some(mean) => mean.mul_f64(1.0 - MEAN_SHARE) + held.mul_f64(MEAN_SHARE),
            None => held,
        });
    }

    /// The mean.
    pub fn mean(&self) -> Duration {
        self.0.unwrap_or(UNKNOWN_HOLD)
    }
}

/// How the online requests of a service rise and fall.
#[derive(Debug, Clone, Default)]
pub struct Trend {
    seen: VecDeque<(Instant, u32)>,
}

impl Trend {
    /// Takes what is known now; requests a second by which it has risen lately.
    pub fn note(&mut self, online: u32, now: Instant) -> f64 {
        let age = |at: Instant| now.saturating_duration_since(at);
        while self
            .seen
            .front()
            .is_some_and(|(at, _)| age(*at) > TREND_SPAN)
        {
            self.seen.pop_front();
        }
        let rise = self.seen.front().map_or(0.0, |(at, before)| {
            let span = age(*at).max(TREND_LEAST);
            (f64::from(online) - f64::from(*before)) / span.as_secs_f64()
        });
        self.seen.push_back((now, online));
        rise
    }
}
