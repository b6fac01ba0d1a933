//! Graceful shutdown of the HTTP server.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use dappleyard_clock::Instant;

const LOOK: Duration = Duration::from_millis(20);
/// Consecutive polls without a request in flight before the server counts as idle. A connection
/// accepted just before the pause may still deliver one.
const QUIET_LOOKS: u32 = 4;

/// Stops accepting connections and waits until no request is in flight, or until `last`.
pub async fn close(server: &ServerHandle, under_way: &AtomicU64, last: Instant) {
    server.pause().await;
    let mut quiet = 0;
    while quiet < QUIET_LOOKS && Instant::now() < last {
        tokio::time::sleep(LOOK).await;
        quiet = match under_way.load(Ordering::Relaxed) {
            0 => quiet + 1,
            _ => 0,
        };
    }
}
