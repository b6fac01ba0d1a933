//! Graceful shutdown of the HTTP server.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use dappleyard_clock::Instant;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Consecutive polls without a request in flight before the server counts as idle. A connection
/// accepted just before the pause may still deliver one.
const IDLE_POLLS: u32 = 4;

/// Stops accepting connections and waits until no request is in flight, but no later than `last`.
pub async fn finish_requests(server: &ServerHandle, in_flight: &AtomicU64, last: Instant) {
    server.pause().await;
    let mut idle_polls = 0;
    while idle_polls < IDLE_POLLS && Instant::now() < last {
        tokio::time::sleep(POLL_INTERVAL).await;
        idle_polls = match in_flight.load(Ordering::Relaxed) {
            0 => idle_polls + 1,
            _ => 0,
        };
    }
}
