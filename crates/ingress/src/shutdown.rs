//! Graceful shutdown of the HTTP server.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use dappleyard_callers::ConnectionGate;
use dappleyard_clock::Instant;

/// Time after the gate is closed in which a head that has begun may become complete.
const HEAD_TIME: Duration = Duration::from_millis(300);

/// When requests must have ended because the process stops; unknown until it is asked to.
#[derive(Debug, Clone, Default)]
pub struct ProcessEnd(Arc<OnceLock<Instant>>);

impl ProcessEnd {
    /// Sets the end, once.
    pub fn set(&self, end: Instant) {
        self.0.get_or_init(|| end);
    }

    /// Time until the end, if it is known.
    pub fn time_left(&self) -> Option<Duration> {
        let end = self.0.get()?;
        Some(end.saturating_duration_since(Instant::now()))
    }

    /// The deadline, or the end if that is earlier.
    pub fn limit(&self, deadline: Instant) -> Instant {
        self.0.get().map_or(deadline, |end| deadline.min(*end))
    }
}

/// Closes the listeners and all connections, each once the request on it is answered. Returns whether none is left;
/// some may be left at `last`. No request can begin after this, unless one is left.
pub async fn close_connections(
    server: &ServerHandle,
    gate: &ConnectionGate,
    last: Instant,
) -> bool {
    gate.close();
    // The gate tells when the connections have ended; the server looks for that only once a second.
    drop(server.stop(true));
    let heads_end = last.min(Instant::now() + HEAD_TIME);
    let emptied = dappleyard_clock::timeout_at(heads_end, gate.emptied()).await;
    if emptied.is_ok() {
        return true;
    }
    gate.end_incomplete();
    let emptied = dappleyard_clock::timeout_at(last, gate.emptied()).await;
    emptied.is_ok()
}
