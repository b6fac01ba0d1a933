//! The mutex under the tables: `parking_lot`'s, or one under the control of `shuttle`'s scheduler when
//! schedules are explored.

#[cfg(not(feature = "shuttle"))]
pub(crate) use parking_lot::{Mutex, MutexGuard};
#[cfg(feature = "shuttle")]
pub(crate) use shuttle::{
    sync::{Mutex, MutexGuard},
    thread_local,
};
#[cfg(not(feature = "shuttle"))]
pub(crate) use std::thread_local;

/// Takes the lock.
#[cfg(not(feature = "shuttle"))]
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock()
}

/// Takes the lock; a schedule in which a holder panicked has failed anyway.
#[cfg(feature = "shuttle")]
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panicked")
}
