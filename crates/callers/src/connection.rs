//! Connections of callers: the moment from which no request can begin on them, and what they may use of the machine.
//!
//! A connection holds memory of its own, and the bytes of the message that arrives on it, which its account is charged for.
//! Where there are too many connections, one gives way to a new one: first those on which a request does not come or does
//! not go on, then the one that has rested longest. A request that has arrived whole is never ended for another.
//!
//! A connection is busy from the first byte of a request until the last byte of its answer has left the handler. Once
//! the gate is closed, a connection that is not busy ends as soon as nothing has arrived on it, and a request that crosses
//! its end was never read. A process whose gate is closed and that has no connection left cannot begin a request.
//! A connection on which a head was begun and is never completed is ended a little later.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use actix_http::body::{BodySize, MessageBody};
use actix_web::HttpRequest;
use bytes::Bytes;
use dappleyard_budget::{Account, CallerLimits, MemoryBudget};
use dappleyard_clock::Instant;
use dappleyard_model::EventLog;
use derive_more::Display;
use futures::task::AtomicWaker;
use parking_lot::Mutex;
use rustix::net::{RecvFlags, recv};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Bytes that are read in one turn, so that few pieces of a message are held before its handler has taken them.
const TURN_BYTES: usize = 4 * 1024;
/// Bytes that a caller may send beyond what its request needs: the next head, or a body that nobody reads.
const EXCESS_BYTES: u64 = 32 * 1024;
/// Bytes on the wire for a byte of a body, in chunks of one byte; rounded up for what stands around them.
const FRAMED_BYTES_PER_BYTE: u64 = 8;

/// The library's buffer for a head grows by doubling.
const HEAD_COPIES: usize = 2;

/// What became of connections, counted since the process started.
#[derive(Debug, Default)]
pub struct ConnectionCounters {
    /// Ended inside a head, or inside a request without an answer.
    pub ended_early: AtomicU64,
    /// Gave way to new ones.
    pub given_up: AtomicU64,
    /// Closed at once, since the process has too many.
    pub refused: AtomicU64,
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// All connections of a process.
pub struct ConnectionGate {
    budget: Arc<MemoryBudget>,
    limits: CallerLimits,
    log: Arc<EventLog>,
    counters: ConnectionCounters,
    is_closed: Arc<AtomicBool>,
    /// Connections with an incomplete head end as well.
    ends_incomplete: AtomicBool,
    next_number: AtomicU64,
    connections: Mutex<HashMap<u64, Arc<CallerConnection>>>,
    /// Signals that the last connection has ended.
    emptied: Notify,
}

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[repr(u8)]
enum Use {
    #[display("resting")]
    Resting,
    /// Bytes were read, but no request has begun.
    #[display("reading")]
    Reading,
    /// A request or its answer is in progress.
    #[display("serving")]
    Serving,
}

/// Order in which connections give way to new ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// A request does not come, or does not go on.
    Stalled,
    /// Requests were answered on it.
    Rests,
    /// It was accepted just now.
    New,
}

/// One connection.
#[derive(Debug)]
pub struct CallerConnection {
    number: u64,
    /// Address at which it was accepted.
    pub local: SocketAddr,
    pub accepted: Instant,
    is_gate_closed: Arc<AtomicBool>,
    /// A [`Use`].
    current_use: AtomicU8,
    reader: AtomicWaker,
    /// Memory of the message in progress.
    account: Account,
    /// Bytes that may still be read during the request in progress.
    allowed_bytes: AtomicU64,
    /// Whether a request has begun on it.
    is_used: AtomicBool,
    /// Whether the request in progress has arrived whole.
    is_complete: AtomicBool,
    /// When the last answer ended, or the connection was accepted.
    resting_since: Mutex<Instant>,
    /// The connection gives way to another one.
    gives_way: AtomicBool,
}

impl Default for ConnectionGate {
    /// A gate of a large machine that records nothing.
    fn default() -> Self {
        let limits = CallerLimits::of_machine(4_096, 65_536);
        Self::new(limits, Arc::new(EventLog::silent()))
    }
}

impl ConnectionGate {
    pub fn new(limits: CallerLimits, log: Arc<EventLog>) -> Self {
        Self {
            budget: MemoryBudget::new(limits.messages),
            limits,
            log,
            counters: ConnectionCounters::default(),
            is_closed: Arc::default(),
            ends_incomplete: AtomicBool::default(),
            next_number: AtomicU64::default(),
            connections: Mutex::default(),
            emptied: Notify::default(),
        }
    }

    /// Lets no further request begin, and ends the connections that are not busy.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        self.wake_all();
    }

    /// Ends the connections on which the head of a request is still incomplete. The gate must be closed.
    pub fn end_incomplete(&self) {
        self.ends_incomplete.store(true, Ordering::SeqCst);
        self.wake_all();
    }

    fn wake_all(&self) {
        for connection in self.connections.lock().values() {
            connection.reader.wake();
        }
    }

    /// Whether a connection ends once nothing has arrived on it.
    fn has_ended(&self, connection: &CallerConnection) -> bool {
        self.is_closed()
            && match self.ends_incomplete.load(Ordering::SeqCst) {
                true => !connection.is_in(Use::Serving),
                false => connection.is_in(Use::Resting),
            }
    }

    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst)
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.connections.lock().len()
    }

    /// Number of connections with a request or an answer on them.
    pub fn busy(&self) -> usize {
        let connections = self.connections.lock();
        let busy = connections.values().filter(|it| !it.is_in(Use::Resting));
        busy.count()
    }

    /// Waits until no connection is open.
    pub async fn emptied(&self) {
        loop {
            let emptied = self.emptied.notified();
            if self.open() == 0 {
                return;
            }
            emptied.await;
        }
    }

    /// The memory for messages of callers.
    pub fn budget(&self) -> &Arc<MemoryBudget> {
        &self.budget
    }

    pub fn counters(&self) -> &ConnectionCounters {
        &self.counters
    }

    /// What callers may use of the machine.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Makes room for one more connection. Returns whether there is any.
    fn make_room(&self) -> bool {
        let connections = self.connections.lock();
        // Those that give way already are about to end.
        let staying = connections.values().filter(|it| !it.gives_way());
        if staying.clone().count() < self.limits.connections {
            return true;
        }
        let candidates = staying.filter_map(|it| Some((it.rank()?, it)));
        let first = candidates.min_by_key(|(rank, it)| (*rank, *it.resting_since.lock()));
        let Some((_, ending)) = first else {
            return false;
        };
        ending.give_way();
        count(&self.counters.given_up);
        true
    }

    /// Registers a connection that was accepted at `local`; `None` if the process has too many, all of them in use.
    pub(crate) fn admit(
        self: &Arc<Self>,
        stream: TcpStream,
        local: SocketAddr,
    ) -> Option<GatedStream> {
        if !self.make_room() {
            count(&self.counters.refused);
            self.log.write(
                "connection_refused",
                || serde_json::json!({"port": local.port(), "connections": self.limits.connections}),
            );
            return None;
        }
        let connection = Arc::new(CallerConnection {
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
            local,
            accepted: Instant::now(),
            is_gate_closed: self.is_closed.clone(),
            current_use: AtomicU8::new(Use::Resting as u8),
            reader: AtomicWaker::new(),
            account: self.budget.open(),
            allowed_bytes: AtomicU64::new(EXCESS_BYTES),
            is_used: AtomicBool::default(),
            is_complete: AtomicBool::default(),
            resting_since: Mutex::new(Instant::now()),
            gives_way: AtomicBool::default(),
        });
        let number = connection.number;
        self.connections.lock().insert(number, connection.clone());
        Some(GatedStream {
            stream,
            connection,
            gate: self.clone(),
            turn_bytes: 0,
        })
    }

    /// Records the end of a connection whose head never became whole or valid, or whose request has no answer: its
    /// caller left, or its handler failed. An answer that ends early has records of its own.
    fn note_end(&self, connection: &CallerConnection) {
        let mut early = [Use::Reading, Use::Serving].into_iter();
        let Some(last_use) = early.find(|it| connection.is_in(*it)) else {
            return;
        };
        count(&self.counters.ended_early);
        self.log.write("connection_ended_early", || {
            serde_json::json!({"last_use": last_use.to_string(), "port": connection.local.port(),
                "connection_age_ms": connection.accepted.elapsed().as_millis() as u64,
                "gave_way": connection.gives_way() || connection.account.is_given_up(),
                "is_closing": self.is_closed()})
        });
    }

    fn remove(&self, number: u64) {
        let mut connections = self.connections.lock();
        connections.remove(&number);
        if connections.is_empty() {
            self.emptied.notify_waiters();
        }
    }
}

impl CallerConnection {
    fn is_in(&self, expected: Use) -> bool {
        self.current_use.load(Ordering::SeqCst) == expected as u8
    }

    /// Notes that bytes were read, which may belong to the request in progress.
    fn note_read(&self) {
        self.current_use
            .fetch_max(Use::Reading as u8, Ordering::SeqCst);
    }

    /// Notes that a request begins. Its bytes may have been read together with those of an earlier one.
    pub(crate) fn begin_request(&self) {
        self.is_used.store(true, Ordering::Relaxed);
        self.is_complete.store(false, Ordering::Relaxed);
        self.allowed_bytes.store(EXCESS_BYTES, Ordering::Relaxed);
        self.current_use.store(Use::Serving as u8, Ordering::SeqCst);
    }

    /// Memory of the message in progress.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Lets the caller send a body of at most `limit_bytes`, however it is framed.
    pub fn allow_body(&self, limit_bytes: usize) {
        let framed_bytes = FRAMED_BYTES_PER_BYTE.saturating_mul(limit_bytes as u64);
        let allowed_bytes = framed_bytes.saturating_add(EXCESS_BYTES);
        self.allowed_bytes.store(allowed_bytes, Ordering::Relaxed);
    }

    /// Lets the caller send little more, since the rest of the body is not needed.
    pub fn end_body(&self) {
        self.allowed_bytes.store(EXCESS_BYTES, Ordering::Relaxed);
    }

    /// Notes that the request in progress has arrived whole.
    pub fn complete_request(&self) {
        self.account.complete();
        self.is_complete.store(true, Ordering::Relaxed);
        self.end_body();
    }

    fn gives_way(&self) -> bool {
        self.gives_way.load(Ordering::Acquire)
    }

    fn give_way(&self) {
        self.gives_way.store(true, Ordering::Release);
        self.account.give_up();
        self.reader.wake();
    }

    /// Order in which it gives way; `None` while a request on it arrives or is answered.
    fn rank(&self) -> Option<Rank> {
        let (is_serving, is_stalled) = (self.is_in(Use::Serving), self.account.is_stalled());
        match (is_serving, self.is_used.load(Ordering::Relaxed)) {
            (true, _) => is_stalled.then_some(Rank::Stalled),
            (false, true) if self.is_in(Use::Resting) => Some(Rank::Rests),
            _ if is_stalled => Some(Rank::Stalled),
            _ => Some(Rank::New),
        }
    }

    /// Whether the connection ends for others. One that rests is spared once something has arrived on it.
    fn has_given_way(&self, stream: &TcpStream) -> bool {
        match (self.is_in(Use::Reading), self.is_in(Use::Resting)) {
            (true, _) => self.account.is_given_up(),
            (_, true) if self.gives_way() && has_arrived(stream) => {
                self.gives_way.store(false, Ordering::Release);
                self.account.restart();
                false
            }
            (_, true) => self.gives_way(),
            // The handler ends the request.
            _ => false,
        }
    }

    /// Accounts for bytes that were read. An error if the caller has sent more than its request may have, or if there is no
    /// memory for a head.
    fn note_bytes(&self, bytes: usize) -> io::Result<()> {
        if self.is_in(Use::Serving) {
            let allowed = self.allowed_bytes.load(Ordering::Relaxed);
            let left = allowed.checked_sub(bytes as u64);
            let left = left.ok_or_else(|| io::Error::other("more bytes than the request needs"))?;
            self.allowed_bytes.store(left, Ordering::Relaxed);
            if !self.is_complete.load(Ordering::Relaxed) {
                // The handler charges for the body.
                return Ok(());
            }
        }
        self.note_read();
        self.account
            .charge(HEAD_COPIES * bytes)
            .map_err(io::Error::other)
    }

    fn end_answer(&self) {
        self.account.restart();
        *self.resting_since.lock() = Instant::now();
        self.current_use.store(Use::Resting as u8, Ordering::SeqCst);
        // A gate that is closed after this check wakes the reader itself.
        if self.is_gate_closed.load(Ordering::SeqCst) {
            self.reader.wake();
        }
    }
}

/// The connection of a request; `None` for a call within the process.
pub fn connection_of(request: &HttpRequest) -> Option<&Arc<CallerConnection>> {
    request.conn_data()
}

/// The stream of a connection, which ends once the gate is closed and the connection is not busy.
pub(crate) struct GatedStream {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
    gate: Arc<ConnectionGate>,
    /// Bytes read in this turn.
    turn_bytes: usize,
}

impl GatedStream {
    pub(crate) fn connection(&self) -> &Arc<CallerConnection> {
        &self.connection
    }
}

impl Drop for GatedStream {
    fn drop(&mut self) {
        self.gate.note_end(&self.connection);
        self.gate.remove(self.connection.number);
    }
}

/// Whether bytes can be read. Asks the socket itself, since the runtime may not have been told of them yet.
fn has_arrived(stream: &TcpStream) -> bool {
    let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    // An error shows at the next read; the connection ends in either case.
    recv(stream, &mut [0; 1], flags).is_ok_and(|(_, arrived)| arrived > 0)
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Registered before the check, so that a gate that is closed after it wakes the reader.
        self.connection.reader.register(context.waker());
        if self.gate.has_ended(&self.connection) {
            if !has_arrived(&self.stream) {
                return Poll::Ready(Ok(()));
            }
            self.connection.note_read();
        }
        if self.connection.has_given_way(&self.stream) {
            return Poll::Ready(Ok(()));
        }
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let limit = buffer.remaining().min(TURN_BYTES);
        let mut piece = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut piece);
        let length = piece.filled().len();
        if read.is_pending() {
            self.turn_bytes = 0;
        }
        ready!(read)?;
        buffer.advance(length);
        self.turn_bytes += length;
        if length > 0 {
            self.connection.note_bytes(length)?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, pieces)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// The body of an answer. Its connection is no longer busy once the HTTP library has taken the last byte and drops
/// it; the library writes what it has taken before it closes the connection.
pub(crate) struct AnswerBody<B> {
    body: Pin<Box<B>>,
    connection: Option<Arc<CallerConnection>>,
}

impl<B> AnswerBody<B> {
    pub(crate) fn new(body: B, connection: Option<Arc<CallerConnection>>) -> Self {
        Self {
            body: Box::pin(body),
            connection,
        }
    }
}

impl<B> Drop for AnswerBody<B> {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.end_answer();
        }
    }
}

impl<B: MessageBody> MessageBody for AnswerBody<B> {
    type Error = B::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        self.body.as_mut().poll_next(context)
    }
}
