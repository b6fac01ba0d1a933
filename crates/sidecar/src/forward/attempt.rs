//! One attempt: a stream to a node, cancelled when it is dropped before its end.

use dappleyard_transport::link::ClientStream;
use dappleyard_transport::{Link, LinkError};
use dappleyard_wire::messages::{Cancel, frame};

/// One attempt on one node.
pub struct Attempt {
    stream: ClientStream,
    node: String,
    cancels: bool,
    open: bool,
}

impl Attempt {
    /// Opens a stream with its first frame. `cancels` says whether the node is told to stop when the
    /// attempt is dropped before its end.
    pub fn open(link: &Link, body: frame::Body, cancels: bool) -> Result<Attempt, LinkError> {
        Ok(Attempt {
            stream: link.open(body)?,
            node: link.peer().id.clone(),
            cancels,
            open: true,
        })
    }

    /// Node that has the attempt.
    pub fn node(&self) -> &str {
        &self.node
    }

    /// Next frame; an error once the link is lost.
    pub async fn receive(&mut self) -> Result<frame::Body, LinkError> {
        let received = self.stream.receive().await;
        if received.is_err() {
            self.open = false;
        }
        received
    }

    /// The node has sent its last frame: nothing is left to cancel.
    pub fn end(&mut self) {
        self.open = false;
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.open && self.cancels {
            let reason = "the caller has gone or another attempt took over".to_owned();
            let _ = self.stream.send(frame::Body::Cancel(Cancel { reason }));
        }
    }
}
