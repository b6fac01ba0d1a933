//! The last moments of a node that stops.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use dappleyard_clock::Instant;

/// Time between two looks at what is under way.
const LOOK: Duration = Duration::from_millis(20);
/// Looks in a row without a request after which nothing comes any more: a connection that was accepted
/// just before the doors closed may bring one.
const QUIET_LOOKS: u32 = 4;

/// Accepts no further connection, and waits until no request is under way, or until `last`. Without
/// this a request that comes while the node takes its leave is cut.
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
