//! Lock ranks, which define the order of lock acquisition.

use std::cell::RefCell;
use std::ops::{Deref, DerefMut};

use crate::mutex::{Mutex, MutexGuard, lock, thread_local};

/// Rank of a lock. A thread must acquire locks in increasing order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    Members = 1,
    /// Servers of the fleet and their owners.
    Directory = 2,
    Configuration = 3,
    /// Owned servers.
    Servers = 4,
    Loads = 5,
    /// Admission state of tenants.
    Tenants = 6,
    /// Running batch work.
    Batch = 7,
    CancelledJobs = 8,
    /// Requests that crashed engines.
    Crashes = 9,
    Gate = 10,
    Decisions = 11,
}

thread_local! {
    static HELD_RANKS: RefCell<Vec<Rank>> = const { RefCell::new(Vec::new()) };
}

/// Mutex with a rank.
#[derive(Debug)]
pub struct RankedMutex<T> {
    rank: Rank,
    inner: Mutex<T>,
}

impl<T> RankedMutex<T> {
    pub fn new(rank: Rank, value: T) -> Self {
        Self {
            rank,
            inner: Mutex::new(value),
        }
    }

    /// Acquires the lock. Debug builds panic if this thread holds a lock of the same or a higher rank.
    pub fn lock(&self) -> RankedGuard<'_, T> {
        if cfg!(debug_assertions) {
            HELD_RANKS.with(|held| {
                let mut held = held.borrow_mut();
                if let Some(highest) = held.iter().max() {
                    assert!(
                        self.rank > *highest,
                        "{:?} taken while holding {highest:?}",
                        self.rank
                    );
                }
                held.push(self.rank);
            });
        }
        RankedGuard {
            rank: self.rank,
            inner: lock(&self.inner),
        }
    }
}

/// Guard of a [`RankedMutex`] lock.
#[derive(Debug)]
pub struct RankedGuard<'a, T> {
    rank: Rank,
    inner: MutexGuard<'a, T>,
}

impl<T> Deref for RankedGuard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.inner
    }
}

impl<T> DerefMut for RankedGuard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.inner
    }
}

impl<T> Drop for RankedGuard<'_, T> {
    fn drop(&mut self) {
        if cfg!(debug_assertions) {
            HELD_RANKS.with(|held| {
                let mut held = held.borrow_mut();
                if let Some(position) = held.iter().rposition(|rank| *rank == self.rank) {
                    held.remove(position);
                }
            });
        }
    }
}
