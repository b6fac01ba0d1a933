//! Response body framing.

use bytes::{Buf, Bytes, BytesMut};
use http::HeaderName;

use crate::malformed::Malformed;

/// Maximum length of a chunk size line, in bytes.
const MAX_SIZE_LINE: usize = 256;
/// Maximum length of all trailers, in bytes.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// Length of a line end.
const EMPTY_LINE_BYTES: usize = 2;

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
    /// In the trailers, after this many bytes of them.
    Trailers(usize),
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
    pub(crate) fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, Malformed> {
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
                        return Err(Malformed::Invalid("chunk end"));
                    }
                    buffer.advance(2);
                    *self = BodyReader::ChunkSize;
                }
                BodyReader::ChunkSize => match chunk_size(buffer)? {
                    None => return Ok(None),
                    Some(0) => *self = BodyReader::Trailers(0),
                    Some(size) => *self = BodyReader::ChunkData(size),
                },
                BodyReader::Trailers(before) => match take_line(buffer, *before)? {
                    None => return Ok(None),
                    Some(EMPTY_LINE_BYTES) => *self = BodyReader::Done,
                    Some(length) => *before += length,
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

fn chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, Malformed> {
    let invalid = Malformed::Invalid("chunk size");
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((length, size))) => {
            // The parser takes a line without a size for the last chunk, and any byte in an extension.
            let line = &buffer[..length - EMPTY_LINE_BYTES];
            let has_size = line.first().is_some_and(u8::is_ascii_hexdigit);
            if !has_size || !line.iter().all(|byte| is_field_byte(*byte)) {
                return Err(invalid);
            }
            buffer.advance(length);
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if buffer.len() > MAX_SIZE_LINE => {
            Err(Malformed::TooLong("chunk size"))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(invalid),
    }
}

/// Whether a byte may stand in the value of a field.
fn is_field_byte(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}

/// Whether a line of the trailers, without its end, is a field.
fn is_field(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return false;
    };
    let (name, value) = line.split_at(colon);
    HeaderName::from_bytes(name).is_ok() && value.iter().all(|byte| is_field_byte(*byte))
}

/// Consumes a line of the trailers, `before` bytes after their beginning. Returns its length with the line end.
fn take_line(buffer: &mut BytesMut, before: usize) -> Result<Option<usize>, Malformed> {
    let end = buffer.windows(2).position(|pair| pair == b"\r\n");
    let length = end.map(|end| end + EMPTY_LINE_BYTES);
    if before + length.unwrap_or(buffer.len()) > MAX_TRAILER_BYTES {
        return Err(Malformed::TooLong("trailers"));
    }
    if let Some(length) = length {
        let line = &buffer[..length - EMPTY_LINE_BYTES];
        if !line.is_empty() && !is_field(line) {
            return Err(Malformed::Invalid("trailers"));
        }
        buffer.advance(length);
    }
    Ok(length)
}
