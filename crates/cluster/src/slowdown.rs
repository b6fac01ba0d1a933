//! Slowdown of one server: its service time relative to normal. Pure: time is an argument.
//!
//! Servers share machines with other workloads. Some are slow for their whole lifetime, others for
//! a fraction of a second; the number of requests in flight shows neither. Two estimates are kept:
//! a long-term average over seconds, and the newest sample, which expires in less than a second.
//!
//! Reported values are clamped, so that a wrong one neither excludes a server nor attracts all
//! requests.

use std::time::Duration;

use dappleyard_clock::Instant;

/// Age up to which the newest sample has full weight. Samples take some tens of milliseconds to
/// arrive.
const FULL_WEIGHT_AGE: Duration = Duration::from_millis(100);
/// Age at which the newest sample expires and only the long-term average counts.
pub(crate) const SAMPLE_LIFE: Duration = Duration::from_millis(600);
/// Time constant of the long-term average; spans several short slow periods.
const AVERAGE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Time constant with which the average returns to normal without samples, so that a server that
/// was slow is tried again.
const RECOVERY_TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Least and greatest accepted value.
const BOUNDS: (f64, f64) = (0.25, 8.0);
/// Ratio from which two values differ significantly.
const SIGNIFICANT_RATIO: f64 = 1.25;

/// Service time relative to normal: 1.0 is normal, 2.0 takes twice as long.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Slowdown(f64);

impl Default for Slowdown {
    fn default() -> Self {
        Self::NORMAL
    }
}

impl Slowdown {
    /// Normal service time; also the default without samples.
    pub const NORMAL: Self = Self(1.0);

    /// Clamps a ratio to the accepted range. A value that is not finite counts as normal.
    pub fn new(times: f64) -> Self {
        match times.is_finite() {
            true => Self(times.clamp(BOUNDS.0, BOUNDS.1)),
            false => Self::NORMAL,
        }
    }

    /// Converts from percent, where 100 is normal; `None` for 0.
    pub fn of_percent(percent: u32) -> Option<Self> {
        (percent > 0).then(|| Self::new(f64::from(percent) / 100.0))
    }

    /// The value in percent, where 100 is normal.
    pub fn percent(self) -> u32 {
        (self.0 * 100.0).round() as u32
    }

    /// The value as a ratio, where 1.0 is normal.
    pub fn times(self) -> f64 {
        self.0
    }

    /// Product of two values.
    pub fn of(self, other: Self) -> Self {
        Self::new(self.0 * other.0)
    }

    /// Whether the two values differ enough to notify other nodes.
    pub fn differs_significantly(self, other: Self) -> bool {
        let (low, high) = (self.0.min(other.0), self.0.max(other.0));
        high >= low * SIGNIFICANT_RATIO
    }
}

/// Slowdown estimates of one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlowdownEstimate {
    newest: Option<(Instant, Slowdown)>,
    long_term: Slowdown,
}

impl SlowdownEstimate {
    /// Adds a sample taken at `at`; `false` if a newer one is known.
    pub fn note(&mut self, slowdown: Slowdown, at: Instant) -> bool {
        let Some((held_at, _)) = self.newest else {
            self.newest = Some((at, slowdown));
            self.long_term = slowdown;
            return true;
        };
        if at <= held_at {
            return false;
        }
        let long_term = self.long_term(at);
        // A sample represents at most its lifetime.
        let represented = at.duration_since(held_at).min(SAMPLE_LIFE);
        let share = 1.0 - (-represented.as_secs_f64() / AVERAGE_TIME_CONSTANT.as_secs_f64()).exp();
        self.long_term = Slowdown(long_term.0 + share * (slowdown.0 - long_term.0));
        self.newest = Some((at, slowdown));
        true
    }

    /// Whether any sample was added.
    pub fn is_known(&self) -> bool {
        self.newest.is_some()
    }

    /// Whether the newest sample is more than `by` older than `at`.
    pub(crate) fn is_older_than(&self, at: Instant, by: Duration) -> bool {
        self.newest.is_none_or(|(held_at, _)| held_at + by < at)
    }

    /// The newest sample and its age, until it expires.
    pub fn newest(&self, now: Instant) -> Option<(Duration, Slowdown)> {
        let (at, slowdown) = self.newest?;
        let age = now.saturating_duration_since(at);
        (age < SAMPLE_LIFE).then_some((age, slowdown))
    }

    /// The long-term average, which returns to normal while no samples arrive.
    pub fn long_term(&self, now: Instant) -> Slowdown {
        let Some((at, _)) = self.newest else {
            return Slowdown::NORMAL;
        };
        let age = now.saturating_duration_since(at);
        if age <= SAMPLE_LIFE || self.long_term == Slowdown::NORMAL {
            return self.long_term;
        }
        let silent_for = age.saturating_sub(SAMPLE_LIFE).as_secs_f64();
        let kept = (-silent_for / RECOVERY_TIME_CONSTANT.as_secs_f64()).exp();
        Slowdown(1.0 + (self.long_term.0 - 1.0) * kept)
    }

    /// Whether both the newest sample and the long-term average are close to normal.
    pub fn is_normal(&self, now: Instant) -> bool {
        let newest = self.newest(now).map(|(_, slowdown)| slowdown);
        let mut estimates = newest.into_iter().chain([self.long_term(now)]);
        !estimates.any(|slowdown| slowdown.differs_significantly(Slowdown::NORMAL))
    }

    /// The current estimate: the newest sample, blended into the long-term average as it ages.
    pub fn now(&self, now: Instant) -> Slowdown {
        let long_term = self.long_term(now);
        let Some((age, newest)) = self.newest(now) else {
            return long_term;
        };
        let aged = age.saturating_sub(FULL_WEIGHT_AGE).as_secs_f64();
        let weight = 1.0 - aged / (SAMPLE_LIFE - FULL_WEIGHT_AGE).as_secs_f64();
        Slowdown(long_term.0 + weight * (newest.0 - long_term.0))
    }
}
