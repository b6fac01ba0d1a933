//! Signals that request a graceful stop.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers of the signals that request a stop. Installed before anything listens, so that no signal
/// ends a process that has callers.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    pub fn install() -> std::io::Result<StopSignals> {
        Ok(StopSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Resolves when SIGTERM or SIGINT has arrived.
    pub async fn stop_requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
