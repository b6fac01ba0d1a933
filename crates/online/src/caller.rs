//! Connection to the submitter of a request.

use dappleyard_transport::link::ServerStreamSender;
use dappleyard_transport::{ServerStream, StreamReceiver};
use dappleyard_wire::messages::frame;
use tokio::sync::mpsc;

/// How the submitter disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Disconnect {
    /// It cancelled the request.
    Cancelled,
    /// Its link was lost; it may resume through another node.
    LinkLost,
}

enum FrameSink {
    Link(ServerStreamSender),
    Local(mpsc::UnboundedSender<frame::Body>),
}

/// The submitter of a request: another process, or the ingress stage of this worker.
pub(crate) struct Caller {
    sink: FrameSink,
    receiver: StreamReceiver,
    disconnected: Option<Disconnect>,
}

impl Caller {
    /// A submitter connected by a link.
    pub fn from_stream(stream: ServerStream) -> Caller {
        Caller {
            sink: FrameSink::Link(stream.sender()),
            receiver: stream.receiver,
            disconnected: None,
        }
    }

    /// The ingress stage of the same worker.
    pub fn local(sink: mpsc::UnboundedSender<frame::Body>, receiver: StreamReceiver) -> Caller {
        Caller {
            sink: FrameSink::Local(sink),
            receiver,
            disconnected: None,
        }
    }

    /// Sends a frame. Send errors are ignored, since [`Caller::disconnected`] reports a lost link.
    pub fn send(&self, body: frame::Body) {
        match &self.sink {
            FrameSink::Link(sender) => drop(sender.send(body)),
            FrameSink::Local(sender) => drop(sender.send(body)),
        }
    }

    /// Whether [`Caller::disconnected`] has resolved.
    pub fn is_disconnected(&self) -> bool {
        self.disconnected.is_some()
    }

    /// Resolves when the submitter cancels or its link is lost; never resolves again afterwards.
    pub async fn disconnected(&mut self) -> Disconnect {
        if self.disconnected.is_some() {
            return std::future::pending().await;
        }
        let disconnected = loop {
            match self.receiver.recv().await {
                Some(frame::Body::Cancel(_)) => break Disconnect::Cancelled,
                Some(_) => {}
                None => break Disconnect::LinkLost,
            }
        };
        self.disconnected = Some(disconnected);
        disconnected
    }
}
