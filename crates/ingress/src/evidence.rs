//! What became of a server whose answer broke off: the server ended, or only the connection did.

use std::time::Duration;

use dappleyard_cluster::Exclusion;
use dappleyard_model::ServerRecord;
use derive_more::Display;
use tokio::net::TcpStream;

use crate::attempt::Upstreams;

/// Longest wait for a server's address to take or refuse a connection: the way to another region and back, twice. A
/// dead process's port refuses in one such way.
const LOOK_LIMIT: Duration = Duration::from_millis(100);

/// What was seen at a server's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Evidence {
    /// Its port refuses connections: the process has ended.
    #[display("ended")]
    Ended,
    /// It takes connections: only the one connection broke.
    #[display("alive")]
    Alive,
    /// It was known to leave: it may have ended as planned.
    #[display("leaving")]
    Leaving,
    /// Nothing answered in time: the server, its machine or the way there may be gone.
    #[display("unknown")]
    Unknown,
}

impl Upstreams {
    /// Looks at the address of a server, right after an answer of it broke off.
    pub async fn look_at(&self, server: &ServerRecord) -> Evidence {
        let leaves = self.node.view.exclusion(&server.id);
        if matches!(leaves, Some(Exclusion::Draining | Exclusion::Gone)) {
            return Evidence::Leaving;
        }
        match tokio::time::timeout(LOOK_LIMIT, TcpStream::connect(server.address)).await {
            Ok(Ok(_)) => Evidence::Alive,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                Evidence::Ended
            }
            Ok(Err(_)) | Err(_) => Evidence::Unknown,
        }
    }
}
