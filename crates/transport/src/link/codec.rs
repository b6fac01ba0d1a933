//! The frame codec. A frame that has not arrived whole is charged to the memory for messages.

use std::io;

use bytes::{Bytes, BytesMut};
use dappleyard_budget::Account;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Frames with a length prefix of four bytes.
#[derive(Debug)]
pub(super) struct FrameCodec {
    frames: LengthDelimitedCodec,
    /// Account of the link; `None` at the end that opened it.
    account: Option<Account>,
    /// Bytes that the account is charged for.
    charged_bytes: usize,
}

impl FrameCodec {
    /// Frames of at most this many bytes.
    pub(super) fn new(maximum_bytes: usize, account: Option<Account>) -> Self {
        let mut builder = LengthDelimitedCodec::builder();
        Self {
            frames: builder.max_frame_length(maximum_bytes).new_codec(),
            account,
            charged_bytes: 0,
        }
    }

    /// Changes the bound on frames.
    pub(super) fn allow(&mut self, maximum_bytes: usize) {
        self.frames.set_max_frame_length(maximum_bytes);
    }

    fn charge(&mut self, buffered_bytes: usize) -> io::Result<()> {
        let more_bytes = buffered_bytes.saturating_sub(self.charged_bytes);
        if let Some(account) = &self.account {
            let charged = account.charge(more_bytes);
            charged.map_err(|short| io::Error::new(io::ErrorKind::OutOfMemory, short))?;
            self.charged_bytes += more_bytes;
        }
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        self.charge(buffer.len())?;
        let frame = self.frames.decode(buffer)?;
        if let Some(account) = self.account.as_ref().filter(|_| frame.is_some()) {
            account.restart();
            self.charged_bytes = 0;
        }
        Ok(frame)
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, buffer: &mut BytesMut) -> io::Result<()> {
        self.frames.encode(frame, buffer)
    }
}
