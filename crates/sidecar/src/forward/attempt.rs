//! One attempt: a stream to a node, cancelled when it is dropped before its end.

use dappleyard_transport::link::ClientStream;
use dappleyard_transport::{Link, LinkError};
use dappleyard_wire::messages::{Accepted, Cancel, frame};

/// One attempt on one node.
pub struct Attempt {
    /// What the node said when a server took the request.
    pub accepted: Option<Accepted>,
    stream: ClientStream,
    node: String,
    cancels: bool,
    ended: bool,
}

impl Attempt {
    /// Opens a stream with its first frame. `cancels` says whether the node is told to stop when the
    /// attempt is dropped before its end.
    pub fn open(link: &Link, body: frame::Body, cancels: bool) -> Result<Attempt, LinkError> {
        Ok(Attempt {
            accepted: None,
            stream: link.open(body)?,
            node: link.peer().id.clone(),
            cancels,
            ended: false,
        })
    }

    /// Node that has the attempt.
    pub fn node(&self) -> &str {
        &self.node
    }

    /// The node has sent its last frame: nothing is remaining to cancel.
    pub fn end(&mut self) {
        self.ended = true;
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.ended && self.cancels {
            let reason = "the caller has gone or another attempt took over".to_owned();
            let _ = self.stream.send(frame::Body::Cancel(Cancel { reason }));
        }
    }
}

/// Decision frame of any of the attempts, with the attempt's index; an error once its link is lost.
pub async fn receive_any(open: &mut [Attempt]) -> (usize, Result<frame::Body, LinkError>) {
    match open {
        [only] => (0, only.stream.receive().await),
        [first, second, ..] => tokio::select! {
            received = first.stream.receive() => (0, received),
            received = second.stream.receive() => (1, received),
        },
        [] => std::future::pending().await,
    }
}
