//! The outgoing frame queue of one link, bounded in bytes.

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
use crate::gate::RequestGuard;
use crate::policy::SharedPolicy;

/// A queued frame.
pub(super) struct Queued {
    /// Earliest time of the write, after the path's delay.
    pub due: Instant,
    /// The encoded frame.
    pub bytes: Bytes,
    /// Counts the frame as a part of its answer until it is flushed.
    pub guard: Option<RequestGuard>,
}

/// State shared by the two ends of a queue.
#[derive(Default)]
pub(super) struct QueueState {
    bytes: Cell<usize>,
    close_reason: Cell<Option<CloseReason>>,
    end: Notify,
}

impl QueueState {
    /// Resolves when this end closes the link, explicitly or because the queue overflowed.
    pub async fn wait_closed(&self) -> CloseReason {
        loop {
            if let Some(reason) = self.close_reason.get() {
                return reason;
            }
            self.end.notified().await;
        }
    }

    fn end(&self, reason: CloseReason) {
        self.close_reason
            .set(self.close_reason.get().or(Some(reason)));
        self.end.notify_one();
    }

    /// Releases the queue space of a written frame.
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

/// The receiving end of a link's queue.
pub(super) struct OutgoingQueue {
    pub frames: mpsc::UnboundedReceiver<Queued>,
    pub state: Rc<QueueState>,
}

impl Outgoing {
    /// Creates a queue to `peer`, the name of the path in the policy.
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

    /// Queues a frame. Closes the link if the queue would exceed its limit.
    pub fn send(&self, stream: u64, body: frame::Body) -> Result<(), LinkError> {
        self.send_counted(stream, body, None)
    }

    /// Queues a frame that `guard` counts until it is flushed or the link is lost.
    pub fn send_counted(
        &self,
        stream: u64,
        body: frame::Body,
        guard: Option<RequestGuard>,
    ) -> Result<(), LinkError> {
        let bytes = encode(stream, body);
        let size = bytes.len();
        if size > self.maximum_frame_bytes {
            return Err(LinkError::TooLarge { bytes: size });
        }
        let queued_bytes = self.state.bytes.get() + size;
        if queued_bytes > self.maximum_queued_bytes {
            self.state.end(CloseReason::SlowPeer);
        }
        if self.state.close_reason.get().is_some() {
            return Err(self.lost());
        }
        self.state.bytes.set(queued_bytes);
        let due = Instant::now() + self.policy.path(&self.peer).delay;
        self.queue
            .send(Queued { due, bytes, guard })
            .map_err(|_| self.lost())
    }

    /// Closes the link.
    pub fn close(&self) {
        self.state.end(CloseReason::LocalEnd);
    }

    fn lost(&self) -> LinkError {
        LinkError::Lost {
            peer: self.peer.clone(),
        }
    }
}

/// Encodes a frame; `stream` 0 carries control frames of the link.
pub(super) fn encode(stream: u64, body: frame::Body) -> Bytes {
    let frame = Frame {
        stream,
        body: Some(body),
    };
    Bytes::from(frame.encode_to_vec())
}
