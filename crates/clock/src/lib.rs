//! Monotonic clock that includes the time for which the machine was suspended.
//!
//! Linux's `CLOCK_MONOTONIC` stops during a suspension, so leases, copies and heartbeats from before it would look
//! fresh afterwards. `CLOCK_BOOTTIME` keeps running. An [`Instant`] is tokio's instant plus the time by which the two
//! clocks have drifted apart, so everything has aged correctly when the machine resumes.
//!
//! Timers still run on the monotonic clock; [`timeout`] and [`sleep_until`] check this clock regularly to end on time
//! after a suspension. Virtual time in tests works as usual.

mod instant;
mod suspension;
mod wait;

pub use instant::Instant;
#[cfg(feature = "pretend")]
pub use suspension::simulate_suspension;
pub use suspension::suspended;
pub use wait::{Elapsed, sleep_until, timeout, timeout_at};
