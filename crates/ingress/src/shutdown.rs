//! Graceful shutdown of the HTTP server.

use actix_web::dev::ServerHandle;
use dappleyard_clock::Instant;

use crate::caller_connection::ConnectionGate;

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
    dappleyard_clock::timeout_at(last, gate.emptied())
        .await
        .is_ok()
}
