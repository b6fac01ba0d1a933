//! How long the machine has been suspended.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Shortest suspension that is noticed. The two clocks are read one after the other, and a busy machine may let other
/// programs run in between; nothing here is decided by less.
const SHORTEST: Duration = Duration::from_millis(50);
/// Times that the clocks are read before they count as apart: each reading may be interrupted.
const READINGS: usize = 5;

/// By how much `CLOCK_BOOTTIME` was ahead of the monotonic clock when the process first looked.
static FIRST: OnceLock<Duration> = OnceLock::new();
/// Suspensions since then, microseconds.
static SUSPENDED_US: AtomicU64 = AtomicU64::new(0);
#[cfg(feature = "pretend")]
static PRETENDED_US: AtomicU64 = AtomicU64::new(0);

/// Time for which the machine has been suspended since the process first read the clock.
pub fn suspended() -> Duration {
    let first = *FIRST.get_or_init(steady_ahead);
    let known = Duration::from_micros(SUSPENDED_US.load(Ordering::Relaxed));
    let seen = ahead().saturating_sub(first);
    if seen > known + SHORTEST {
        let seen = steady_ahead().saturating_sub(first);
        if seen > known + SHORTEST {
            SUSPENDED_US.fetch_max(seen.as_micros() as u64, Ordering::Relaxed);
        }
    }
    Duration::from_micros(SUSPENDED_US.load(Ordering::Relaxed)) + pretended()
}

/// By how much `CLOCK_BOOTTIME` is ahead, at most: time passes between the two readings.
fn ahead() -> Duration {
    let monotonic = since(clock_gettime(ClockId::Monotonic));
    since(clock_gettime(ClockId::Boottime)).saturating_sub(monotonic)
}

/// The same, from the least disturbed of several readings.
fn steady_ahead() -> Duration {
    (0..READINGS).map(|_| ahead()).min().unwrap_or_default()
}

fn since(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

#[cfg(feature = "pretend")]
fn pretended() -> Duration {
    Duration::from_micros(PRETENDED_US.load(Ordering::Relaxed))
}

#[cfg(not(feature = "pretend"))]
fn pretended() -> Duration {
    Duration::ZERO
}

/// For tests: moves the two clocks apart, for all threads of the process, as a suspension of the machine does.
#[cfg(feature = "pretend")]
pub fn pretend_suspension(time: Duration) {
    PRETENDED_US.fetch_add(time.as_micros() as u64, Ordering::Relaxed);
}
