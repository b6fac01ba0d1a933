//! Pool of idle connections of one worker thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::connection::{Connection, RequestKey};

/// How long an idle connection may be reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleLimit {
    /// If the peer announces no idle timeout.
    pub default: Duration,
    /// Subtracted from the idle timeout that the peer announces.
    pub margin: Duration,
}

/// What a connection is wanted for.
#[derive(Debug, Clone, Copy, Default)]
pub struct Wanted {
    /// It was last used then or later.
    pub used_since: Option<Instant>,
    /// It has not carried this request.
    pub request: Option<RequestKey>,
}

/// Idle connections by peer, the most recently used last.
#[derive(Debug)]
pub struct Pool {
    limit: IdleLimit,
    /// Maximum number of idle connections per peer.
    most: usize,
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Creates a pool that keeps at most `most` connections per peer.
    pub fn new(limit: IdleLimit, most: usize) -> Self {
        Self {
            limit,
            most,
            idle: RefCell::default(),
        }
    }

    /// Takes a reusable connection.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.take_for(address, &Wanted::default())
    }

    /// Takes a reusable connection that may carry a certain request. Others stay, except those that are too old.
    pub fn take_for(&self, address: SocketAddr, wanted: &Wanted) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| {
            let used_since = wanted.used_since;
            used_since.is_none_or(|since| connection.idle_since() >= since)
        });
        loop {
            let may_carry = |connection: &Connection| {
                let request = wanted.request;
                !request.is_some_and(|request| connection.has_carried(request))
            };
            let at = connections.iter().rposition(may_carry)?;
            let connection = connections.remove(at);
            if self.is_fresh(&connection) && connection.is_reusable() {
                return Some(connection);
            }
        }
    }

    /// Returns a connection to the pool, or closes it if it is not reusable.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < self.most {
            connections.push(connection);
        }
    }

    /// Closes the connection that has been idle for the longest time. Returns whether there was one.
    pub fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        // The first of a peer is its oldest.
        let first = idle
            .values_mut()
            .filter(|connections| !connections.is_empty());
        match first.min_by_key(|connections| connections[0].idle_since()) {
            Some(connections) => {
                connections.remove(0);
                true
            }
            None => false,
        }
    }

    /// Closes all idle connections to a peer.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that expired or were closed by the peer.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|connection| self.is_fresh(connection) && connection.is_reusable());
            !connections.is_empty()
        });
    }

    fn is_fresh(&self, connection: &Connection) -> bool {
        let limit = match connection.keep_alive_s() {
            Some(seconds) => Duration::from_secs(seconds).saturating_sub(self.limit.margin),
            None => self.limit.default,
        };
        connection.idle_since().elapsed() < limit
    }
}
