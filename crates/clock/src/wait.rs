//! Timeouts and sleeps that end on time after a suspension.

use std::time::Duration;

use crate::instant::Instant;

/// Interval at which waits check the clock. A single timer on the monotonic clock would be late by the whole suspension.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Error of a timeout that expired before the future completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

impl std::fmt::Display for Elapsed {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("deadline has elapsed")
    }
}

impl std::error::Error for Elapsed {}

/// Runs a future with a deadline.
pub async fn timeout_at<T>(deadline: Instant, task: impl Future<Output = T>) -> Result<T, Elapsed> {
    tokio::pin!(task);
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        match tokio::time::timeout(remaining.min(CHECK_INTERVAL), &mut task).await {
            Ok(output) => return Ok(output),
            Err(_) if remaining <= CHECK_INTERVAL => return Err(Elapsed),
            Err(_) => {}
        }
    }
}

/// Runs a future with a time limit.
pub async fn timeout<T>(time: Duration, task: impl Future<Output = T>) -> Result<T, Elapsed> {
    timeout_at(Instant::now() + time, task).await
}

/// Sleeps until an instant.
pub async fn sleep_until(deadline: Instant) {
    // Always ends with the timeout.
    let _ = timeout_at(deadline, std::future::pending::<()>()).await;
}
