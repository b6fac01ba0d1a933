//! Pool of idle connections of one worker thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::connection::Connection;

/// How long an idle connection may be reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleLimit {
    /// If the peer announces no idle timeout.
    pub default: Duration,
    /// Subtracted from the idle timeout that the peer announces.
    pub margin: Duration,
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
        self.take_used_since(address, None)
    }

    /// Takes a reusable connection that was last used at or after `after`, if given.
    pub fn take_used_since(
        &self,
        address: SocketAddr,
        after: Option<Instant>,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            let recent = after.is_none_or(|after| connection.idle_since() >= after);
            if recent && self.is_fresh(&connection) && connection.is_reusable() {
                return Some(connection);
            }
        }
        None
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
