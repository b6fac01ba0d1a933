//! Mutex of the tables: `parking_lot`'s, or `shuttle`'s in tests that explore schedules.

#[cfg(not(feature = "shuttle"))]
pub(crate) use parking_lot::{Mutex, MutexGuard};
#[cfg(feature = "shuttle")]
pub(crate) use shuttle::{
    sync::{Mutex, MutexGuard},
    thread_local,
};
#[cfg(not(feature = "shuttle"))]
pub(crate) use std::thread_local;

#[cfg(not(feature = "shuttle"))]
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock()
}

/// Panics if a holder panicked; that schedule has failed anyway.
#[cfg(feature = "shuttle")]
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panicked")
}
