//! One connection of a caller: what it is used for, and what its caller may still send.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};

use actix_web::HttpRequest;
use dappleyard_budget::Account;
use dappleyard_clock::Instant;
use derive_more::Display;
use futures::task::AtomicWaker;
use parking_lot::Mutex;

/// Bytes that a caller may send beyond what its request needs: the next head, or a body that nobody reads.
const EXCESS_BYTES: u64 = 32 * 1024;
/// Bytes on the wire for a byte of a body, in chunks of one byte; rounded up for what stands around them.
const FRAMED_BYTES_PER_BYTE: u64 = 8;

/// The library's buffer for a head grows by doubling.
const HEAD_COPIES: usize = 2;

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[repr(u8)]
pub(crate) enum Use {
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
pub(crate) enum Rank {
    /// A request does not come, or does not go on.
    Stalled,
    /// Requests were answered on it.
    Rests,
    /// It was accepted just now.
    New,
}

/// One connection of a caller.
#[derive(Debug)]
pub struct CallerConnection {
    pub(crate) number: u64,
    /// Address at which it was accepted.
    pub local: SocketAddr,
    pub accepted: Instant,
    is_gate_closed: Arc<AtomicBool>,
    /// A [`Use`].
    current_use: AtomicU8,
    pub(crate) reader: AtomicWaker,
    /// Memory of the message in progress.
    account: Account,
    /// Bytes that may still be read during the request in progress.
    allowed_bytes: AtomicU64,
    /// Whether a request has begun on it.
    is_used: AtomicBool,
    /// Whether the request in progress has arrived whole.
    is_complete: AtomicBool,
    /// When the last answer ended, or the connection was accepted.
    pub(crate) resting_since: Mutex<Instant>,
    /// The connection gives way to another one.
    gives_way: AtomicBool,
}

impl CallerConnection {
    /// A connection that was accepted just now.
    pub(crate) fn new(
        number: u64,
        local: SocketAddr,
        is_gate_closed: Arc<AtomicBool>,
        account: Account,
    ) -> Self {
        Self {
            number,
            local,
            accepted: Instant::now(),
            is_gate_closed,
            current_use: AtomicU8::new(Use::Resting as u8),
            reader: AtomicWaker::new(),
            account,
            allowed_bytes: AtomicU64::new(EXCESS_BYTES),
            is_used: AtomicBool::default(),
            is_complete: AtomicBool::default(),
            resting_since: Mutex::new(Instant::now()),
            gives_way: AtomicBool::default(),
        }
    }

    pub(crate) fn is_in(&self, expected: Use) -> bool {
        self.current_use.load(Ordering::SeqCst) == expected as u8
    }

    /// Notes that bytes were read, which may belong to the request in progress.
    pub(crate) fn note_read(&self) {
        self.current_use
            .fetch_max(Use::Reading as u8, Ordering::SeqCst);
    }

    /// Notes that a request begins. Its bytes may have been read together with those of an earlier one.
    pub(crate) fn begin_request(&self, has_body: bool) {
        self.is_used.store(true, Ordering::Relaxed);
        self.is_complete.store(false, Ordering::Relaxed);
        self.end_body();
        self.current_use.store(Use::Serving as u8, Ordering::SeqCst);
        if !has_body {
            self.complete_request();
        }
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

    pub(crate) fn gives_way(&self) -> bool {
        self.gives_way.load(Ordering::Acquire)
    }

    pub(crate) fn give_way(&self) {
        self.gives_way.store(true, Ordering::Release);
        self.account.give_up();
        self.reader.wake();
    }

    /// Order in which it gives way; `None` while a request on it arrives or is answered.
    pub(crate) fn rank(&self) -> Option<Rank> {
        let (is_serving, is_stalled) = (self.is_in(Use::Serving), self.account.is_stalled());
        match (is_serving, self.is_used.load(Ordering::Relaxed)) {
            (true, _) => is_stalled.then_some(Rank::Stalled),
            (false, true) if self.is_in(Use::Resting) => Some(Rank::Rests),
            _ if is_stalled => Some(Rank::Stalled),
            _ => Some(Rank::New),
        }
    }

    /// Whether the connection ends for others. A request that has arrived on it is not read.
    pub(crate) fn has_given_way(&self) -> bool {
        // The handler ends a request that has begun.
        let is_unused = self.is_in(Use::Resting) || self.is_in(Use::Reading);
        is_unused && (self.gives_way() || self.account.is_given_up())
    }

    /// Accounts for bytes that were read. An error if the caller has sent more than its request may have, or if there is no
    /// memory for a head.
    pub(crate) fn note_bytes(&self, bytes: usize) -> io::Result<()> {
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

    pub(crate) fn end_answer(&self) {
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
