//! All connections of callers of a process: the moment from which no request can begin on them, and their number.
//!
//! A connection holds memory of its own, and the bytes of the message that arrives on it, which its account is charged for.
//! Where there are too many connections, one gives way to a new one: first those on which a request does not come or does
//! not go on, then the one that has rested longest. A request that has arrived whole is never ended for another.
//!
//! A connection is busy from the first byte of a request until the last byte of its answer has left the handler. Once
//! the gate is closed, a connection that is not busy ends as soon as nothing has arrived on it, and a request that crosses
//! its end was never read. A process whose gate is closed and that has no connection left cannot begin a request.
//! A connection on which a head was begun and is never completed is ended a little later.
//!
//! Order of locks: the connections of the gate, then the accounts of the budget or the state of one connection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use dappleyard_budget::{CallerLimits, MemoryBudget};
use dappleyard_model::EventLog;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::connection::{CallerConnection, Use};
use crate::stream::GatedStream;

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
    pub(crate) fn has_ended(&self, connection: &CallerConnection) -> bool {
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
        if connections.len() < self.limits.connections {
            return true;
        }
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
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let is_closed = self.is_closed.clone();
        let connection = CallerConnection::new(number, local, is_closed, self.budget.open());
        let connection = Arc::new(connection);
        self.connections.lock().insert(number, connection.clone());
        Some(GatedStream::new(stream, connection, self.clone()))
    }

    /// Records the end of a connection whose head never became whole or valid, or whose request has no answer: its
    /// caller left, or its handler failed. An answer that ends early has records of its own.
    pub(crate) fn note_end(&self, connection: &CallerConnection) {
        let mut early = [Use::Reading, Use::Serving].into_iter();
        let Some(last_use) = early.find(|it| connection.is_in(*it)) else {
            return;
        };
        count(&self.counters.ended_early);
        self.log.write("connection_ended_early", || {
            serde_json::json!({"last_use": last_use.to_string(), "port": connection.local.port(),
                "connection_age_ms": connection.accepted.elapsed().as_millis() as u64,
                "gave_way": connection.gives_way() || connection.account().is_given_up(),
                "is_closing": self.is_closed()})
        });
    }

    pub(crate) fn remove(&self, number: u64) {
        let mut connections = self.connections.lock();
        connections.remove(&number);
        if connections.is_empty() {
            self.emptied.notify_waiters();
        }
    }
}
