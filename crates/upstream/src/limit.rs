//! Bound on the connections to servers of a process.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Connections that may be open at a time.
#[derive(Debug)]
pub struct ConnectionLimit {
    open: AtomicUsize,
    most: usize,
}

/// One of these connections; counts until it is dropped.
#[derive(Debug)]
pub struct ConnectionPermit(Arc<ConnectionLimit>);

impl ConnectionLimit {
    pub fn new(most: usize) -> Arc<Self> {
        let open = AtomicUsize::new(0);
        Arc::new(Self { open, most })
    }

    /// A permit for one more connection; `None` if there are too many.
    pub fn acquire(self: &Arc<Self>) -> Option<ConnectionPermit> {
        let one_more = |open| (open < self.most).then_some(open + 1);
        let acquired = self
            .open
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_more);
        acquired.ok().map(|_| ConnectionPermit(self.clone()))
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
