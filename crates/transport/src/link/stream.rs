//! Open streams of one link, each with a buffer of received frames.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};

use dappleyard_wire::messages::frame;
use tokio::sync::mpsc;

/// Result of delivering a received frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Delivery {
    /// The frame was buffered.
    Delivered,
    /// The stream is not open.
    Unknown,
    /// The buffer limit was exceeded, and the stream was closed.
    Overflow,
}

/// Open streams of one link.
pub(super) struct StreamTable {
    open: RefCell<HashMap<u64, StreamSender>>,
    maximum_stream_bytes: usize,
}

struct StreamSender {
    frames: mpsc::UnboundedSender<BufferedFrame>,
    bytes: Rc<Cell<usize>>,
}

struct BufferedFrame {
    body: frame::Body,
    size: usize,
}

impl StreamTable {
    pub fn new(maximum_stream_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            open: RefCell::default(),
            maximum_stream_bytes,
        })
    }

    /// Opens a stream; it is removed when its receiver is dropped.
    pub fn insert(self: &Rc<Self>, id: u64) -> StreamReceiver {
        let (sender, frames) = mpsc::unbounded_channel();
        let bytes = Rc::new(Cell::new(0));
        let sender = StreamSender {
            frames: sender,
            bytes: bytes.clone(),
        };
        self.open.borrow_mut().insert(id, sender);
        StreamReceiver(Source::Link {
            frames,
            bytes,
            id,
            table: Rc::downgrade(self),
        })
    }

    /// Delivers a frame of `size` bytes to its stream.
    pub fn deliver(&self, id: u64, body: frame::Body, size: usize) -> Delivery {
        let mut open = self.open.borrow_mut();
        let Some(sender) = open.get(&id) else {
            return Delivery::Unknown;
        };
        let buffered = sender.bytes.get() + size;
        if buffered > self.maximum_stream_bytes {
            open.remove(&id);
            return Delivery::Overflow;
        }
        sender.bytes.set(buffered);
        match sender.frames.send(BufferedFrame { body, size }) {
            Ok(()) => Delivery::Delivered,
            Err(_) => Delivery::Unknown,
        }
    }

    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Closes all streams; their receivers return `None` after the buffered frames.
    pub fn clear(&self) {
        let ended = std::mem::take(&mut *self.open.borrow_mut());
        drop(ended);
    }
}

/// Frames received on one stream. Dropping it closes the stream at this end.
pub struct StreamReceiver(Source);

enum Source {
    Link {
        frames: mpsc::UnboundedReceiver<BufferedFrame>,
        bytes: Rc<Cell<usize>>,
        id: u64,
        table: Weak<StreamTable>,
    },
    Local(mpsc::UnboundedReceiver<frame::Body>),
}

impl StreamReceiver {
    /// Receives the next frame; `None` once the link is lost or the stream is closed.
    pub async fn recv(&mut self) -> Option<frame::Body> {
        match &mut self.0 {
            Source::Link { frames, bytes, .. } => {
                let buffered = frames.recv().await?;
                bytes.set(bytes.get().saturating_sub(buffered.size));
                Some(buffered.body)
            }
            Source::Local(frames) => frames.recv().await,
        }
    }
}

impl From<mpsc::UnboundedReceiver<frame::Body>> for StreamReceiver {
    /// Creates the receiver of a stream within one worker.
    fn from(frames: mpsc::UnboundedReceiver<frame::Body>) -> Self {
        Self(Source::Local(frames))
    }
}

impl Drop for StreamReceiver {
    fn drop(&mut self) {
        if let Source::Link { id, table, .. } = &self.0
            && let Some(table) = table.upgrade()
        {
            table.open.borrow_mut().remove(id);
        }
    }
}
