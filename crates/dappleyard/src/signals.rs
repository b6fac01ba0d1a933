//! Signals that request a graceful stop.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers of the signals that request a stop. Installed before anything listens, so that no signal
/// ends a process that has callers.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl StopSignals {
    pub fn install() -> std::io::Result<StopSignals> {
        Ok(StopSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Resolves when SIGTERM or SIGINT has arrived. SIGHUP changes nothing: the settings are read at
    /// the start only.
    pub async fn stop_requested(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hang_up.recv() => {
                    tracing::warn!("SIGHUP ignored; settings are read at the start only");
                }
            }
        }
    }
}
