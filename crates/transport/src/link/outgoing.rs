//! Frames that wait to be sent on one link, counted in bytes.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use dappleyard_clock::Instant;
use dappleyard_wire::messages::{Frame, frame};
use prost::Message;
use tokio::sync::{Notify, mpsc};

use super::LinkError;
use super::session::CloseReason;
use super::settings::LinkSettings;
use crate::policy::SharedPolicy;

/// A frame that waits to be sent.
pub(super) struct Queued {
    /// When it may be written, by the delay of the path.
    pub due: Instant,
    /// The encoded frame.
    pub bytes: Bytes,
}

/// What the two ends of a queue share.
#[derive(Default)]
pub(super) struct QueueState {
    bytes: Cell<usize>,
    ended: Cell<Option<CloseReason>>,
    end: Notify,
}

impl QueueState {
    /// Resolves when this end gives the link up: it was closed, or more waited than the bound
    /// allows, since the peer does not read.
    pub async fn wait_end(&self) -> CloseReason {
        loop {
            if let Some(reason) = self.ended.get() {
                return reason;
            }
            self.end.notified().await;
        }
    }

    fn end(&self, reason: CloseReason) {
        self.ended.set(self.ended.get().or(Some(reason)));
        self.end.notify_one();
    }

    /// A frame was written.
    pub fn written(&self, bytes: usize) {
        self.bytes.set(self.bytes.get().saturating_sub(bytes));
    }
}

/// The sending end of a link's queue.
pub(super) struct Outgoing {
    queue: mpsc::UnboundedSender<Queued>,
    state: Rc<QueueState>,
    policy: SharedPolicy,
    peer: String,
    maximum_frame_bytes: usize,
    maximum_queued_bytes: usize,
}

/// The reading end of a link's queue.
pub(super) struct OutgoingQueue {
    pub frames: mpsc::UnboundedReceiver<Queued>,
    pub state: Rc<QueueState>,
}

impl Outgoing {
    /// A queue towards `peer`, the name by which the policy knows the path.
    pub fn new(
        peer: &str,
        settings: &LinkSettings,
        policy: SharedPolicy,
    ) -> (Rc<Self>, OutgoingQueue) {
        let (sender, frames) = mpsc::unbounded_channel();
        let state = Rc::new(QueueState::default());
        let outgoing = Rc::new(Outgoing {
            queue: sender,
            state: state.clone(),
            policy,
            peer: peer.to_owned(),
            maximum_frame_bytes: settings.maximum_frame_bytes,
            maximum_queued_bytes: settings.maximum_queued_bytes,
        });
        (outgoing, OutgoingQueue { frames, state })
    }

    /// Queues a frame. When more waits than the bound allows, the link is given up.
    pub fn send(&self, stream: u64, body: frame::Body) -> Result<(), LinkError> {
        let bytes = encode(stream, body);
        let size = bytes.len();
        if size > self.maximum_frame_bytes {
            return Err(LinkError::TooLarge { bytes: size });
        }
        let waiting = self.state.bytes.get() + size;
        if waiting > self.maximum_queued_bytes {
            self.state.end(CloseReason::SlowPeer);
        }
        if self.state.ended.get().is_some() {
            return Err(self.lost());
        }
        self.state.bytes.set(waiting);
        let due = Instant::now() + self.policy.path(&self.peer).delay;
        self.queue
            .send(Queued { due, bytes })
            .map_err(|_| self.lost())
    }

    /// Gives the link up.
    pub fn close(&self) {
        self.state.end(CloseReason::LocalEnd);
    }

    fn lost(&self) -> LinkError {
        LinkError::Lost {
            peer: self.peer.clone(),
        }
    }
}

/// A frame in bytes; `stream` 0 is the link itself.
pub(super) fn encode(stream: u64, body: frame::Body) -> Bytes {
    let frame = Frame {
        stream,
        body: Some(body),
    };
    Bytes::from(frame.encode_to_vec())
}
