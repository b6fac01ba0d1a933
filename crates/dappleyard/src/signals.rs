//! Signals that request a graceful stop.

use tokio::signal::unix::{SignalKind, signal};

/// Resolves when SIGTERM or SIGINT arrives.
pub async fn stop_requested() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
