//! The signals that ask for a planned stop.

use tokio::signal::unix::{SignalKind, signal};

/// Resolves when the process is asked to stop, by SIGTERM or SIGINT.
pub async fn stop_requested() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
