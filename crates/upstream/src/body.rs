//! Response body framing.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum length of a chunk size line, in bytes.
const MAX_SIZE_LINE: usize = 256;

/// How the end of a response body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// Content-Length.
    Length(u64),
    /// Chunked transfer encoding.
    Chunked,
    /// End of the connection.
    UntilClose,
}

/// Incremental body decoder.
#[derive(Debug)]
pub(crate) enum BodyReader {
    /// Remaining bytes.
    Length(u64),
    /// At a chunk size line.
    ChunkSize,
    /// Remaining bytes of the chunk.
    ChunkData(u64),
    /// At the CRLF after a chunk.
    ChunkEnd,
    /// In the trailers.
    Trailers,
    UntilClose,
    Done,
}

impl BodyReader {
    pub(crate) fn new(framing: BodyFraming) -> Self {
        match framing {
            BodyFraming::Length(0) => BodyReader::Done,
            BodyFraming::Length(length) => BodyReader::Length(length),
            BodyFraming::Chunked => BodyReader::ChunkSize,
            BodyFraming::UntilClose => BodyReader::UntilClose,
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        matches!(self, BodyReader::Done)
    }

    /// Handles the end of the connection. Returns whether the body is complete.
    pub(crate) fn end_of_connection(&mut self) -> bool {
        if matches!(self, BodyReader::UntilClose) {
            *self = BodyReader::Done;
        }
        self.is_done()
    }

    /// Takes the next piece of the body off the buffer. Returns `None` if more bytes are needed or
    /// the body is complete.
    pub(crate) fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, &'static str> {
        loop {
            match self {
                BodyReader::Done => return Ok(None),
                BodyReader::UntilClose => {
                    return Ok((!buffer.is_empty()).then(|| buffer.split().freeze()));
                }
                BodyReader::Length(left) => {
                    let Some((piece, rest)) = take_up_to(buffer, *left) else {
                        return Ok(None);
                    };
                    *self = match rest {
                        0 => BodyReader::Done,
                        rest => BodyReader::Length(rest),
                    };
                    return Ok(Some(piece));
                }
                BodyReader::ChunkData(left) => {
                    let Some((piece, rest)) = take_up_to(buffer, *left) else {
                        return Ok(None);
                    };
                    *self = match rest {
                        0 => BodyReader::ChunkEnd,
                        rest => BodyReader::ChunkData(rest),
                    };
                    return Ok(Some(piece));
                }
                BodyReader::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(None);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err("chunk end");
                    }
                    buffer.advance(2);
                    *self = BodyReader::ChunkSize;
                }
                BodyReader::ChunkSize => match chunk_size(buffer)? {
                    None => return Ok(None),
                    Some(0) => *self = BodyReader::Trailers,
                    Some(size) => *self = BodyReader::ChunkData(size),
                },
                BodyReader::Trailers => match take_line(buffer)? {
                    None => return Ok(None),
                    Some(true) => *self = BodyReader::Done,
                    Some(false) => {}
                },
            }
        }
    }
}

fn take_up_to(buffer: &mut BytesMut, left: u64) -> Option<(Bytes, u64)> {
    if buffer.is_empty() {
        return None;
    }
    let size = usize::try_from(left).map_or(buffer.len(), |left| left.min(buffer.len()));
    Some((buffer.split_to(size).freeze(), left - size as u64))
}

fn chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, &'static str> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((length, size))) => {
            buffer.advance(length);
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if buffer.len() > MAX_SIZE_LINE => Err("chunk size"),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err("chunk size"),
    }
}

/// Consumes a line and returns whether it was empty.
fn take_line(buffer: &mut BytesMut) -> Result<Option<bool>, &'static str> {
    match buffer.windows(2).position(|pair| pair == b"\r\n") {
        Some(length) => {
            buffer.advance(length + 2);
            Ok(Some(length == 0))
        }
        None if buffer.len() > MAX_SIZE_LINE * 16 => Err("trailer"),
        None => Ok(None),
    }
}
