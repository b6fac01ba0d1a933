//! Signals that a process handles.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalRequest {
    Stop,
    /// Reads the settings again.
    Reload,
}

/// Handlers of SIGTERM, SIGINT and SIGHUP. Installed before anything listens, so that no signal ends a
/// process that has callers.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Handles the signals from now on. Those that arrive before `next` is called are not lost.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::Stop,
            _ = self.interrupt.recv() => SignalRequest::Stop,
            _ = self.hang_up.recv() => SignalRequest::Reload,
        }
    }

    /// Waits for a stop in a process that reads its settings at the start only.
    pub async fn stop_requested(&mut self) {
        while self.next().await == SignalRequest::Reload {
            tracing::warn!("SIGHUP ignored; settings are read at the start only");
        }
    }
}
