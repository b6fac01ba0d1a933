//! An HTTP/1.1 client connection without pipelining.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::body::BodyReader;
use crate::head::{RequestBytes, ResponseHead, take_head};
use crate::limit::ConnectionPermit;
use crate::malformed::Malformed;
use dappleyard_clock::Instant;

/// Minimum buffer capacity for each read, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Requests that a connection remembers. A late response stands in the place of one of the next.
const REMEMBERED_REQUESTS: usize = 16;
/// Interim responses that may precede a response.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Stage at which an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No connection was established; nothing was sent.
    Connect,
    /// The request may have been sent in part.
    Send,
    /// The request was sent; no complete response head was received.
    Head,
    /// The response head was received.
    Body,
}

#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{stage:?}: {reason}")]
pub struct ExchangeError {
    pub stage: Stage,
    pub reason: String,
    /// Nothing listens at the peer's address.
    pub is_refused: bool,
    /// The peer sent more than a response may have.
    pub exceeds_limit: bool,
    /// The peer sent bytes that are no response, or more than one may have.
    pub is_malformed: bool,
}

impl ExchangeError {
    fn new(stage: Stage, reason: impl ToString) -> Self {
        Self {
            stage,
            reason: reason.to_string(),
            is_refused: false,
            exceeds_limit: false,
            is_malformed: false,
        }
    }

    fn malformed(stage: Stage, malformed: Malformed) -> Self {
        Self {
            exceeds_limit: malformed.exceeds_limit(),
            is_malformed: true,
            ..Self::new(stage, malformed)
        }
    }

    /// Error of an attempt to connect.
    fn connect(error: &io::Error) -> Self {
        Self {
            is_refused: error.kind() == io::ErrorKind::ConnectionRefused,
            ..Self::new(Stage::Connect, error)
        }
    }
}

/// Identifies a request by the name that its responses carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestKey(u64);

impl RequestKey {
    pub fn of(id: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Self(hasher.finish())
    }
}

#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    body: BodyReader,
    reusable: bool,
    keep_alive_s: Option<u64>,
    answered: bool,
    idle_since: Instant,
    /// Requests that were sent on it.
    requests: u64,
    /// Rest of a request to which the peer responded before it was sent whole.
    unsent: RequestBytes,
    /// The last named requests that were sent on it.
    carried: VecDeque<RequestKey>,
    #[expect(dead_code, reason = "counts the connection while it is open")]
    permit: Option<ConnectionPermit>,
}

impl Connection {
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, ExchangeError> {
        Self::open_with(address, limit, None).await
    }

    /// The same for a connection that counts toward a limit.
    pub async fn open_with(
        address: SocketAddr,
        limit: Duration,
        permit: Option<ConnectionPermit>,
    ) -> Result<Self, ExchangeError> {
        let connecting = tokio::time::timeout(limit, TcpStream::connect(address));
        let stream = connecting
            .await
            .map_err(|_| ExchangeError::new(Stage::Connect, "timeout"))?
            .map_err(|error| ExchangeError::connect(&error))?;
        // Avoids the delay of small writes by Nagle's algorithm. A failure only costs latency.
        let _ = stream.set_nodelay(true);
        Ok(Self {
            stream,
            buffer: BytesMut::with_capacity(READ_BYTES),
            body: BodyReader::Done,
            reusable: true,
            keep_alive_s: None,
            answered: false,
            idle_since: Instant::now(),
            requests: 0,
            unsent: RequestBytes::default(),
            carried: VecDeque::new(),
            permit,
        })
    }

    /// Sends a request and waits for the response head.
    pub async fn send(
        &mut self,
        request: impl Into<RequestBytes>,
    ) -> Result<ResponseHead, ExchangeError> {
        self.answered = false;
        self.requests += 1;
        self.write(request.into()).await?;
        self.next_head().await
    }

    /// Waits for the next response head, skipping interim (1xx) responses.
    pub async fn next_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        let mut interim = 0;
        loop {
            let head = take_head(&mut self.buffer)
                .map_err(|malformed| ExchangeError::malformed(Stage::Head, malformed))?;
            if let Some(head) = head {
                if head.status / 100 == 1 {
                    interim += 1;
                    if interim > MAX_INTERIM_RESPONSES {
                        let too_long = Malformed::TooLong("list of interim responses");
                        return Err(ExchangeError::malformed(Stage::Head, too_long));
                    }
                    continue;
                }
                self.answered = true;
                self.reusable &= head.keep_alive;
                self.keep_alive_s = head.keep_alive_s;
                self.body = BodyReader::new(head.framing);
                return Ok(head);
            }
            if self.fill(Stage::Head).await? == 0 {
                return Err(ExchangeError::new(Stage::Head, "closed before the answer"));
            }
        }
    }

    /// The next piece of the response body; `None` at its end.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            let piece = self
                .body
                .take(&mut self.buffer)
                .map_err(|malformed| ExchangeError::malformed(Stage::Body, malformed))?;
            if piece.is_some() {
                return Ok(piece);
            }
            if self.body.is_done() {
                self.idle_since = Instant::now();
                return Ok(None);
            }
            if self.fill(Stage::Body).await? == 0 && !self.body.end_of_connection() {
                return Err(ExchangeError::new(Stage::Body, "closed inside the answer"));
            }
        }
    }

    /// Reads the rest of the body; fails if it is longer than `limit` bytes.
    pub async fn whole_body(&mut self, limit: usize) -> Result<Bytes, ExchangeError> {
        self.whole_body_while(limit, |_| true).await
    }

    /// The same while so many bytes may be held.
    pub async fn whole_body_while(
        &mut self,
        limit: usize,
        mut may_hold: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, ExchangeError> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.next_piece().await? {
            let length = whole.len() + piece.len();
            if length > limit || !may_hold(length) {
                let too_long = Malformed::TooLong("body");
                return Err(ExchangeError::malformed(Stage::Body, too_long));
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    /// Reads the rest of the body and throws it away; fails if it is longer than `limit` bytes.
    pub async fn discard_body(&mut self, limit: usize) -> Result<(), ExchangeError> {
        let mut length = 0;
        while let Some(piece) = self.next_piece().await? {
            length += piece.len();
            if length > limit {
                let too_long = Malformed::TooLong("body");
                return Err(ExchangeError::malformed(Stage::Body, too_long));
            }
        }
        Ok(())
    }

    /// Whether another request may be sent: the response was read completely, no bytes are left
    /// over and the peer has not closed the connection.
    pub fn is_reusable(&self) -> bool {
        if !self.reusable || !self.body.is_done() || !self.buffer.is_empty() {
            return false;
        }
        let mut probe = [0_u8; 1];
        match self.stream.try_read(&mut probe) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Remembers that a named request is sent on it.
    pub fn note_carried(&mut self, request: RequestKey) {
        if self.carried.len() == REMEMBERED_REQUESTS {
            self.carried.pop_front();
        }
        self.carried.push_back(request);
    }

    /// Whether a request was sent on it. A late response to that run could not be told from the response to another run.
    pub fn has_carried(&self, request: RequestKey) -> bool {
        self.carried.contains(&request)
    }

    /// Whether an earlier request was sent on it.
    pub fn is_reused(&self) -> bool {
        self.requests > 1
    }

    /// Idle timeout announced by the peer, in seconds.
    pub fn keep_alive_s(&self) -> Option<u64> {
        self.keep_alive_s
    }

    /// When the last response was completely read.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// Sends a request until the peer sends something; the rest stays in `unsent`.
    async fn write(&mut self, mut request: RequestBytes) -> Result<(), ExchangeError> {
        let (reader, mut writer) = self.stream.split();
        while !request.is_empty() {
            let is_readable = tokio::select! {
                biased;
                written = writer.write_buf(request.next()) => written.map(|written| written == 0),
                readable = reader.readable() => readable.map(|()| true),
            };
            if is_readable.map_err(|error| ExchangeError::new(Stage::Send, error))? {
                break;
            }
        }
        // The peer responded before it had read the whole request, so the connection cannot be reused.
        self.reusable &= request.is_empty();
        self.unsent = request;
        Ok(())
    }

    /// Reads into the buffer, and meanwhile goes on sending a request that is not sent whole.
    async fn fill(&mut self, stage: Stage) -> Result<usize, ExchangeError> {
        self.buffer.reserve(READ_BYTES);
        let (mut reader, mut writer) = self.stream.split();
        loop {
            let has_unsent = !self.unsent.is_empty();
            tokio::select! {
                biased;
                length = reader.read_buf(&mut self.buffer) => {
                    return length.map_err(|error| ExchangeError::new(stage, error));
                }
                written = writer.write_buf(self.unsent.next()), if has_unsent => {
                    // A peer that reads no more may still respond.
                    if written.is_err() {
                        self.unsent = RequestBytes::default();
                    }
                }
            }
        }
    }
}
