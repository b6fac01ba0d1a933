//! An HTTP server on a thread of its own, with its own runtime.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use actix_web::dev::{Server, ServerHandle};
use actix_web::rt::System;

/// How long idle connections are kept: longer than clients keep theirs, so that no client sends on
/// a connection that the server is about to close.
pub(crate) const KEEP_ALIVE: Duration = Duration::from_secs(120);

/// A server that runs.
pub(crate) struct RunningServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl RunningServer {
    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops it at once; open connections break.
    pub(crate) fn stop(&self) {
        // The message is sent when `stop` is called; nobody waits for its answer.
        drop(self.handle.stop(false));
    }
}

/// Starts a thread that builds and runs a server.
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
                        // The receiver waits for this message.
                        let _ = sender.send(Ok((address, server.handle())));
                        if let Err(error) = server.await {
                            tracing::error!(%error, "an HTTP server of the stand-ins ended");
                        }
                    }
                    Err(error) => drop(sender.send(Err(error))),
                }
            });
        })?;
    let ended = || std::io::Error::other("the server's thread ended");
    let (address, handle) = receiver.recv().map_err(|_| ended())??;
    Ok(RunningServer {
        address: address.ok_or_else(ended)?,
        handle,
    })
}
