//! A steady clock that goes on while the machine is suspended.
//!
//! The monotonic clock of Linux stands still in a suspension, so on it a lease, a copy or a life sign of before the
//! suspension looks as fresh after it as it was. `CLOCK_BOOTTIME` goes on. An [`Instant`] is tokio's, later by the time
//! by which the two have moved apart: one suspended machine ages all that it holds, before its first decision, and a
//! suspension is to the program what a freeze is.
//!
//! Timers still run on the monotonic clock. [`timeout`] and [`sleep_until`] look at this one now and then, so that they
//! end in time after a suspension. Tests in virtual time stay in it.

mod instant;
mod suspension;
mod wait;

pub use instant::Instant;
#[cfg(feature = "pretend")]
pub use suspension::pretend_suspension;
pub use suspension::suspended;
pub use wait::{TimeOver, sleep_until, timeout, timeout_at};
