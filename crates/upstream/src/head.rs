//! Request and response heads.

use std::ops::RangeInclusive;

use bytes::{BufMut, Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::body::BodyFraming;
use crate::malformed::Malformed;

/// Maximum number of response headers.
const MAX_HEADERS: usize = 64;
/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Numbers that are a status.
const STATUSES: RangeInclusive<u16> = 100..=599;
/// The client never asks for another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Response head.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    pub status: u16,
    pub headers: HeaderMap,
    pub framing: BodyFraming,
    /// The connection may be used for another request.
    pub keep_alive: bool,
    /// Idle timeout announced by the peer, in seconds.
    pub keep_alive_s: Option<u64>,
}

/// Bodies up to this length are sent together with the head, larger ones without being copied.
const JOINED_BODY_BYTES: usize = 8 * 1024;

/// A request as it is sent. Copies share the bytes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestBytes {
    /// The head, and a short body.
    first: Bytes,
    /// A longer body.
    rest: Bytes,
}

impl RequestBytes {
    pub(crate) fn is_empty(&self) -> bool {
        self.first.is_empty() && self.rest.is_empty()
    }

    /// The bytes to send next.
    pub(crate) fn next(&mut self) -> &mut Bytes {
        match self.first.is_empty() {
            true => &mut self.rest,
            false => &mut self.first,
        }
    }
}

impl From<&RequestBytes> for RequestBytes {
    fn from(request: &RequestBytes) -> Self {
        request.clone()
    }
}

impl From<&[u8]> for RequestBytes {
    fn from(bytes: &[u8]) -> Self {
        Self {
            first: Bytes::copy_from_slice(bytes),
            rest: Bytes::new(),
        }
    }
}

impl<const LENGTH: usize> From<&[u8; LENGTH]> for RequestBytes {
    fn from(bytes: &[u8; LENGTH]) -> Self {
        bytes.as_slice().into()
    }
}

/// Serializes a request.
pub fn request_bytes<'a>(
    method: &Method,
    target: &str,
    headers: impl Iterator<Item = (&'a HeaderName, &'a HeaderValue)>,
    body: &Bytes,
) -> RequestBytes {
    let (joined, rest) = match body.len() <= JOINED_BODY_BYTES {
        true => (body.clone(), Bytes::new()),
        false => (Bytes::new(), body.clone()),
    };
    let mut out = BytesMut::with_capacity(512 + joined.len());
    out.put_slice(method.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(target.as_bytes());
    out.put_slice(b" HTTP/1.1\r\n");
    for (name, value) in headers {
        out.put_slice(name.as_str().as_bytes());
        out.put_slice(b": ");
        out.put_slice(value.as_bytes());
        out.put_slice(b"\r\n");
    }
    if !body.is_empty() || *method == Method::POST || *method == Method::PUT {
        out.put_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    out.put_slice(b"\r\n");
    out.put_slice(&joined);
    let first = out.freeze();
    RequestBytes { first, rest }
}

/// Takes a response head off the front of `buffer`; `None` if it is incomplete.
pub(crate) fn take_head(buffer: &mut BytesMut) -> Result<Option<ResponseHead>, Malformed> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut slots);
    let parsed = response.parse(buffer).map_err(|error| match error {
        httparse::Error::TooManyHeaders => Malformed::TooLong("list of headers"),
        _ => Malformed::Invalid("not an answer"),
    })?;
    let httparse::Status::Complete(length) = parsed else {
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(Malformed::TooLong("head"));
        }
        return Ok(None);
    };
    let status = response.code.unwrap_or(0);
    if !STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
        return Err(Malformed::Invalid("status"));
    }
    let http11 = response.version == Some(1);
    let mut headers = HeaderMap::with_capacity(response.headers.len());
    for header in response.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes())
            .map_err(|_| Malformed::Invalid("header name"))?;
        let value = HeaderValue::from_bytes(header.value)
            .map_err(|_| Malformed::Invalid("header value"))?;
        headers.append(name, value);
    }
    let framing = framing(status, http11, &headers)?;
    let keep_alive = http11 && !has_close_option(&headers) && framing != BodyFraming::UntilClose;
    let keep_alive_s = keep_alive_seconds(&headers);
    let _ = buffer.split_to(length);
    Ok(Some(ResponseHead {
        status,
        headers,
        framing,
        keep_alive,
        keep_alive_s,
    }))
}

/// How the body is framed. Framing that others might read differently is refused.
fn framing(status: u16, http11: bool, headers: &HeaderMap) -> Result<BodyFraming, Malformed> {
    let is_chunked = is_chunked(headers)?;
    let length = content_length(headers)?;
    if is_chunked && (length.is_some() || !http11) {
        return Err(Malformed::Invalid("transfer encoding"));
    }
    if status / 100 == 1 || status == 204 || status == 304 {
        return Ok(BodyFraming::Length(0));
    }
    Ok(match (is_chunked, length) {
        (true, _) => BodyFraming::Chunked,
        (false, Some(length)) => BodyFraming::Length(length),
        (false, None) => BodyFraming::UntilClose,
    })
}

fn is_chunked(headers: &HeaderMap) -> Result<bool, Malformed> {
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    match (encodings.next(), encodings.next()) {
        (None, _) => Ok(false),
        (Some(only), None) if only.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(Malformed::Invalid("transfer encoding")),
    }
}

fn content_length(headers: &HeaderMap) -> Result<Option<u64>, Malformed> {
    let mut found = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        let length = decimal(value.as_bytes()).ok_or(Malformed::Invalid("content length"))?;
        if found.is_some_and(|found| found != length) {
            return Err(Malformed::Invalid("two content lengths"));
        }
        found = Some(length);
    }
    Ok(found)
}

/// A number of digits alone; the parser of the standard library takes a sign as well.
fn decimal(bytes: &[u8]) -> Option<u64> {
    let is_number = !bytes.is_empty() && bytes.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(bytes).ok().filter(|_| is_number)?;
    text.parse().ok()
}

fn has_close_option(headers: &HeaderMap) -> bool {
    headers.get_all(CONNECTION).iter().any(|value| {
        value.to_str().is_ok_and(|text| {
            text.split(',')
                .any(|token| token.trim().eq_ignore_ascii_case("close"))
        })
    })
}

fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    text.split(',')
        .find_map(|token| token.trim().strip_prefix("timeout="))
        .and_then(|seconds| seconds.trim().parse().ok())
}
