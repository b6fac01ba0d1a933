//! Connections of callers, and the moment from which no request can begin on them.
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
use bytes::Bytes;
use dappleyard_clock::Instant;
use dappleyard_model::EventLog;
use derive_more::Display;
use futures::task::AtomicWaker;
use parking_lot::Mutex;
use rustix::net::{RecvFlags, recv};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::metrics::Metrics;

/// All connections of a process.
pub struct ConnectionGate {
    log: Arc<EventLog>,
    metrics: Arc<Metrics>,
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

/// One connection.
#[derive(Debug)]
pub struct CallerConnection {
    number: u64,
    /// Address at which it was accepted.
    pub(crate) local: SocketAddr,
    pub(crate) accepted: Instant,
    is_gate_closed: Arc<AtomicBool>,
    /// A [`Use`].
    current_use: AtomicU8,
    reader: AtomicWaker,
}

impl Default for ConnectionGate {
    /// A gate that records nothing.
    fn default() -> Self {
        Self::new(Arc::new(EventLog::silent()), Arc::default())
    }
}

impl ConnectionGate {
    pub fn new(log: Arc<EventLog>, metrics: Arc<Metrics>) -> Self {
        Self {
            log,
            metrics,
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

    /// Registers a connection that was accepted at `local`.
    pub(crate) fn admit(self: &Arc<Self>, stream: TcpStream, local: SocketAddr) -> GatedStream {
        let connection = Arc::new(CallerConnection {
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
            local,
            accepted: Instant::now(),
            is_gate_closed: self.is_closed.clone(),
            current_use: AtomicU8::new(Use::Resting as u8),
            reader: AtomicWaker::new(),
        });
        let number = connection.number;
        self.connections.lock().insert(number, connection.clone());
        GatedStream {
            stream,
            connection,
            gate: self.clone(),
        }
    }

    /// Records the end of a connection whose head never became whole or valid, or whose request has no answer: its
    /// caller left, or its handler failed. An answer that ends early has records of its own.
    fn note_end(&self, connection: &CallerConnection) {
        let mut early = [Use::Reading, Use::Serving].into_iter();
        let Some(last_use) = early.find(|it| connection.is_in(*it)) else {
            return;
        };
        Metrics::count(&self.metrics.connections_ended_early);
        self.log.write("connection_ended_early", || {
            serde_json::json!({"last_use": last_use.to_string(), "port": connection.local.port(),
                "connection_age_ms": connection.accepted.elapsed().as_millis() as u64,
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
        self.current_use.store(Use::Serving as u8, Ordering::SeqCst);
    }

    fn end_answer(&self) {
        self.current_use.store(Use::Resting as u8, Ordering::SeqCst);
        // A gate that is closed after this check wakes the reader itself.
        if self.is_gate_closed.load(Ordering::SeqCst) {
            self.reader.wake();
        }
    }
}

/// The stream of a connection, which ends once the gate is closed and the connection is not busy.
pub(crate) struct GatedStream {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
    gate: Arc<ConnectionGate>,
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
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > filled {
            self.connection.note_read();
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
