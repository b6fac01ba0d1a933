//! Runs an HTTP server on a dedicated thread with its own runtime.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use actix_web::dev::{Server, ServerHandle};
use actix_web::rt::System;

/// Idle timeout of connections. Longer than that of the clients, so that no client sends a request
/// on a connection that the server is closing.
pub(crate) const KEEP_ALIVE: Duration = Duration::from_secs(120);

/// A running HTTP server.
pub(crate) struct RunningServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl RunningServer {
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server immediately and closes open connections.
    pub(crate) fn stop(&self) {
        // `stop` sends the message immediately; awaiting the future is optional.
        drop(self.handle.stop(false));
    }
}

/// Builds and runs a server on a new thread. Returns once the server is bound.
pub(crate) fn start(
    name: &str,
    build: impl FnOnce() -> std::io::Result<(Vec<SocketAddr>, Server)> + Send + 'static,
) -> std::io::Result<RunningServer> {
    let (sender, receiver) = mpsc::channel();
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            System::new().block_on(async move {
                let built = build();
                match built {
                    Ok((addresses, server)) => {
                        let address = addresses.first().copied();
                        // `start` blocks on the receiver, so the send cannot fail.
                        let _ = sender.send(Ok((address, server.handle())));
                        if let Err(error) = server.await {
                            tracing::error!(%error, "stand-in HTTP server failed");
                        }
                    }
                    Err(error) => drop(sender.send(Err(error))),
                }
            });
        })?;
    let ended = || std::io::Error::other("server thread exited during startup");
    let (address, handle) = receiver.recv().map_err(|_| ended())??;
    Ok(RunningServer {
        address: address.ok_or_else(ended)?,
        handle,
    })
}
