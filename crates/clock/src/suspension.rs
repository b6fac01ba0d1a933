//! Measures how long the machine has been suspended.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Shortest suspension that is detected. Above the error of reading two clocks in sequence on a busy machine.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);
/// Readings of which the least disturbed one counts, since a reading may be preempted.
const READINGS: usize = 5;

/// Lead of `CLOCK_BOOTTIME` over `CLOCK_MONOTONIC` at the first call.
static INITIAL_LEAD: OnceLock<Duration> = OnceLock::new();
/// Suspended time since then, microseconds.
static SUSPENDED_US: AtomicU64 = AtomicU64::new(0);
#[cfg(feature = "pretend")]
static SIMULATED_US: AtomicU64 = AtomicU64::new(0);

/// Total time for which the machine has been suspended since the first call.
pub fn suspended() -> Duration {
    let initial_lead = *INITIAL_LEAD.get_or_init(min_lead);
    let recorded = Duration::from_micros(SUSPENDED_US.load(Ordering::Relaxed));
    let measured = lead().saturating_sub(initial_lead);
    if measured > recorded + MIN_SUSPENSION {
        let measured = min_lead().saturating_sub(initial_lead);
        if measured > recorded + MIN_SUSPENSION {
            SUSPENDED_US.fetch_max(measured.as_micros() as u64, Ordering::Relaxed);
        }
    }
    Duration::from_micros(SUSPENDED_US.load(Ordering::Relaxed)) + simulated()
}

/// Lead of `CLOCK_BOOTTIME`; too large by the time between the two readings.
fn lead() -> Duration {
    let monotonic = to_duration(clock_gettime(ClockId::Monotonic));
    to_duration(clock_gettime(ClockId::Boottime)).saturating_sub(monotonic)
}

/// Minimum over several readings.
fn min_lead() -> Duration {
    (0..READINGS).map(|_| lead()).min().unwrap_or_default()
}

fn to_duration(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

#[cfg(feature = "pretend")]
fn simulated() -> Duration {
    Duration::from_micros(SIMULATED_US.load(Ordering::Relaxed))
}

#[cfg(not(feature = "pretend"))]
fn simulated() -> Duration {
    Duration::ZERO
}

/// Simulates a suspension for all threads of the process, for tests.
#[cfg(feature = "pretend")]
pub fn simulate_suspension(time: Duration) {
    SIMULATED_US.fetch_add(time.as_micros() as u64, Ordering::Relaxed);
}
