//! One attempt: a stream to a node, cancelled when it is dropped before it has ended.

use dappleyard_transport::link::ClientStream;
use dappleyard_transport::{Link, LinkError};
use dappleyard_wire::messages::{Accepted, Cancel, frame};

pub struct Attempt {
    /// Received once a server has accepted the request.
    pub accepted: Option<Accepted>,
    stream: ClientStream,
    node: String,
    cancel_on_drop: bool,
    ended: bool,
}

impl Attempt {
    /// Opens a stream with its first frame. `cancel_on_drop` says whether the request is cancelled
    /// when the attempt is dropped before it has ended.
    pub fn open(
        link: &Link,
        body: frame::Body,
        cancel_on_drop: bool,
    ) -> Result<Attempt, LinkError> {
        Ok(Attempt {
            accepted: None,
            stream: link.open(body)?,
            node: link.peer().id.clone(),
            cancel_on_drop,
            ended: false,
        })
    }

    /// Id of the node.
    pub fn node(&self) -> &str {
        &self.node
    }

    /// Marks the attempt as ended by the node, so that it is not cancelled on drop.
    pub fn end(&mut self) {
        self.ended = true;
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.ended && self.cancel_on_drop {
            let reason = "the caller has gone or another attempt took over".to_owned();
            let _ = self.stream.send(frame::Body::Cancel(Cancel { reason }));
        }
    }
}

/// Receives the next frame of any attempt, with the attempt's index. Fails when its link is lost.
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
