//! Capacity of a service, now and in the near future. Time and randomness are arguments.
//!
//! The estimates are based only on sums that nodes exchange anyway, and their information on each
//! other is about 50 ms old, so that all nodes come to a similar result without further messages.

use std::collections::VecDeque;
use std::time::Duration;

use dappleyard_clock::Instant;
use rand::Rng;

use crate::retry_schedule::{RETRY_INTERVAL, RETRY_INTERVALS};

/// Fraction of the slots becoming free that is reserved for retries. These clients have waited once
/// already, but each reserved slot causes another request to be refused.
pub const RETRY_RESERVE: f64 = 0.25;
/// Smoothing factor of the exponential moving average of slot hold times.
const SMOOTHING: f64 = 0.1;
/// Assumed hold time before any request has finished.
const DEFAULT_HOLD_TIME: Duration = Duration::from_secs(1);

/// Period over which the trend of online requests is measured.
const TREND_WINDOW: Duration = Duration::from_millis(150);
/// Minimum divisor for the trend; with less, single requests would count as a rise.
const MIN_TREND_WINDOW: Duration = Duration::from_millis(75);

/// Capacity of a service over all nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct Capacity {
    /// Slots of healthy servers.
    pub slots: u32,
    /// Online requests in flight there. Batch items do not count, since they are preempted.
    pub online: u32,
    /// Recent change of `online`, in requests per second. Compensates for delayed information: a
    /// burst can fill all slots before it becomes known.
    pub trend_per_s: f64,
    /// Requests waiting at nodes for a slot.
    pub waiting: u32,
    /// Expected retries by interval from now on.
    pub expected_retries: Vec<u32>,
    /// Mean time for which a request holds a slot.
    pub hold_time: Duration,
}

impl Capacity {
    /// Slots that become free per second when all are in use.
    pub fn completions_per_s(&self) -> f64 {
        f64::from(self.slots) / self.hold_time.as_secs_f64().max(0.001)
    }

    /// Expected wait of a new request behind all waiting ones.
    pub fn wait(&self) -> Duration {
        let all = self.online.saturating_add(self.waiting).saturating_add(1);
        let ahead = all.saturating_sub(self.slots);
        match self.slots {
            0 => Duration::MAX,
            _ => Duration::from_secs_f64(f64::from(ahead) / self.completions_per_s()),
        }
    }

    /// Rate of first attempts, by Little's law: those served plus those refused. The total wait of
    /// a refused request averages twice its remaining wait.
    pub fn arrivals_per_s(&self) -> f64 {
        let online = f64::from(self.online.min(self.slots));
        let served = online / self.hold_time.as_secs_f64().max(0.001) + self.trend_per_s.max(0.0);
        let spans = self.expected_retries.iter().enumerate();
        let (retries, retries_s) = spans.fold((0.0, 0.0), |(retries, retries_s), (span, due)| {
            let due = f64::from(*due);
            (
                retries + due,
                retries_s + due * (span as f64 + 0.5) * RETRY_INTERVAL.as_secs_f64(),
            )
        });
        match retries > 0.0 {
            true => served + retries * retries / (2.0 * retries_s),
            false => served,
        }
    }

    /// Rate of retries expected now.
    pub fn retries_per_s(&self) -> f64 {
        let due = self.expected_retries.first().copied().unwrap_or_default();
        f64::from(due) / RETRY_INTERVAL.as_secs_f64()
    }

    /// Retry delay, at most `most`: the earliest interval with reserved slots left, or a random
    /// time in the second half of `most` if there is none. The fuller an interval, the less likely
    /// it is chosen, so that nodes with outdated information do not all choose the same one.
    pub fn retry_delay(&self, most: Duration, random: &mut impl Rng) -> Duration {
        let most = most.min(RETRY_INTERVAL * RETRY_INTERVALS as u32);
        let reserved = self.completions_per_s() * RETRY_RESERVE * RETRY_INTERVAL.as_secs_f64();
        let spans = (most.as_secs_f64() / RETRY_INTERVAL.as_secs_f64()) as usize;
        let open = (1..spans.min(RETRY_INTERVALS)).find(|span| {
            let promised = self
                .expected_retries
                .get(*span)
                .copied()
                .unwrap_or_default();
            f64::from(promised) < reserved * random.random::<f64>()
        });
        match open {
            Some(span) => RETRY_INTERVAL.mul_f64(span as f64 + random.random::<f64>()),
            None => most.mul_f64(random.random_range(0.5..=1.0)),
        }
    }
}

/// Mean time for which requests of a service hold a slot, learned from finished requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct MeanHoldTime(Option<Duration>);

impl MeanHoldTime {
    pub fn record(&mut self, held: Duration) {
        self.0 = Some(match self.0 {
            Some(mean) => mean.mul_f64(1.0 - SMOOTHING) + held.mul_f64(SMOOTHING),
            None => held,
        });
    }

    pub fn mean(&self) -> Duration {
        self.0.unwrap_or(DEFAULT_HOLD_TIME)
    }
}

/// Recent trend of a service's online requests.
#[derive(Debug, Clone, Default)]
pub struct LoadTrend {
    samples: VecDeque<(Instant, u32)>,
}

impl LoadTrend {
    /// Records the current count and returns the recent change per second.
    pub fn record(&mut self, online: u32, now: Instant) -> f64 {
        let age = |at: Instant| now.saturating_duration_since(at);
        while self
            .samples
            .front()
            .is_some_and(|(at, _)| age(*at) > TREND_WINDOW)
        {
            self.samples.pop_front();
        }
        let rise = self.samples.front().map_or(0.0, |(at, before)| {
            let span = age(*at).max(MIN_TREND_WINDOW);
            (f64::from(online) - f64::from(*before)) / span.as_secs_f64()
        });
        self.samples.push_back((now, online));
        rise
    }
}
