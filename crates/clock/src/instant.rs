//! Moments.

use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::time::Duration;

use crate::suspension::suspended;

/// A moment on a steady clock that goes on while the machine is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(tokio::time::Instant);

impl Instant {
    /// Now.
    pub fn now() -> Self {
        Self(tokio::time::Instant::now() + suspended())
    }

    /// Time since this moment; none when it has yet to come.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// Time from an earlier moment to this one; none when the other is later.
    pub fn duration_since(&self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }

    /// Time from an earlier moment to this one; none when the other is later.
    pub fn saturating_duration_since(&self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// Time from an earlier moment to this one; `None` when the other is later.
    pub fn checked_duration_since(&self, earlier: Self) -> Option<Duration> {
        self.0.checked_duration_since(earlier.0)
    }

    /// A later moment; `None` when the clock cannot tell it.
    pub fn checked_add(&self, time: Duration) -> Option<Self> {
        self.0.checked_add(time).map(Self)
    }

    /// An earlier moment; `None` when the clock cannot tell it.
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
