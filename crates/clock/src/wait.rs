//! Waits that end in time although the machine was suspended meanwhile.

use std::time::Duration;

use crate::instant::Instant;

/// Longest time after a suspension until a wait notices it. A timer of its own runs on the monotonic clock, and would
/// be late by the whole suspension.
const LOOK: Duration = Duration::from_millis(250);

/// The time was over before the work was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeOver;

impl std::fmt::Display for TimeOver {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the time is over")
    }
}

impl std::error::Error for TimeOver {}

/// Waits for work until a moment.
pub async fn timeout_at<T>(until: Instant, work: impl Future<Output = T>) -> Result<T, TimeOver> {
    tokio::pin!(work);
    loop {
        let left = until.saturating_duration_since(Instant::now());
        match tokio::time::timeout(left.min(LOOK), &mut work).await {
            Ok(done) => return Ok(done),
            Err(_) if left <= LOOK => return Err(TimeOver),
            Err(_) => {}
        }
    }
}

/// Waits for work for a time.
pub async fn timeout<T>(time: Duration, work: impl Future<Output = T>) -> Result<T, TimeOver> {
    timeout_at(Instant::now() + time, work).await
}

/// Waits until a moment.
pub async fn sleep_until(until: Instant) {
    // Nothing is waited for but the time.
    let _ = timeout_at(until, std::future::pending::<()>()).await;
}
