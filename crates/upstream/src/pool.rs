//! Resting connections of one worker thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::connection::Connection;

/// How long a resting connection may be used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleLimit {
    /// Where the peer says nothing.
    pub default: Duration,
    /// Taken off the time that the peer says.
    pub margin: Duration,
}

/// Resting connections by peer, the last used first.
#[derive(Debug)]
pub struct Pool {
    limit: IdleLimit,
    most: usize,
    resting: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// A pool that keeps at most `most` connections to a peer.
    pub fn new(limit: IdleLimit, most: usize) -> Self {
        Self {
            limit,
            most,
            resting: RefCell::default(),
        }
    }

    /// Takes a connection that is fit for use.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.take_after(address, None)
    }

    /// Takes a connection that is fit for use, and was used after a moment where one is named.
    pub fn take_after(&self, address: SocketAddr, after: Option<Instant>) -> Option<Connection> {
        let mut resting = self.resting.borrow_mut();
        let connections = resting.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            let recent = after.is_none_or(|after| connection.rested() >= after);
            if recent && self.is_fresh(&connection) && connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Puts a connection back; one that is not fit is closed.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        let mut resting = self.resting.borrow_mut();
        let connections = resting.entry(address).or_default();
        if connections.len() < self.most {
            connections.push(connection);
        }
    }

    /// Closes the connections to a peer.
    pub fn forget(&self, address: SocketAddr) {
        self.resting.borrow_mut().remove(&address);
    }

    /// Closes connections that rested too long or that the peer closed.
    pub fn sweep(&self) {
        let mut resting = self.resting.borrow_mut();
        resting.retain(|_, connections| {
            connections.retain(|connection| self.is_fresh(connection) && connection.is_reusable());
            !connections.is_empty()
        });
    }

    fn is_fresh(&self, connection: &Connection) -> bool {
        let limit = match connection.keep_alive_s() {
            Some(seconds) => Duration::from_secs(seconds).saturating_sub(self.limit.margin),
            None => self.limit.default,
        };
        connection.rested().elapsed() < limit
    }
}
