//! Counterpart of tokio's `Instant` that includes suspensions.

use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::time::Duration;

use crate::suspension::suspended;

/// Point in time on a monotonic clock that includes suspensions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(tokio::time::Instant);

impl Instant {
    pub fn now() -> Self {
        Self(tokio::time::Instant::now() + suspended())
    }

    /// Time since this instant, or zero if it is in the future.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// Time since `earlier`, or zero if `earlier` is later than this instant.
    pub fn duration_since(&self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }

    /// Time since `earlier`, or zero if `earlier` is later than this instant.
    pub fn saturating_duration_since(&self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// Time since `earlier`, or `None` if `earlier` is later than this instant.
    pub fn checked_duration_since(&self, earlier: Self) -> Option<Duration> {
        self.0.checked_duration_since(earlier.0)
    }

    /// Adds a duration; `None` on overflow.
    pub fn checked_add(&self, time: Duration) -> Option<Self> {
        self.0.checked_add(time).map(Self)
    }

    /// Subtracts a duration; `None` on underflow.
    pub fn checked_sub(&self, time: Duration) -> Option<Self> {
        self.0.checked_sub(time).map(Self)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0 + time)
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, time: Duration) {
        self.0 += time;
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, time: Duration) -> Self {
        Self(self.0 - time)
    }
}

impl SubAssign<Duration> for Instant {
    fn sub_assign(&mut self, time: Duration) {
        self.0 -= time;
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }
}
