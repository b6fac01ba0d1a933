//! Threads that advance engines when they are due, with sub-millisecond precision.
//!
//! Timers of the async runtime have millisecond resolution, too coarse for steps of a few
//! milliseconds. A driver keeps a heap of due times and parks its own thread instead.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, Thread};
use std::time::{Duration, Instant};

use parking_lot::{Mutex, RwLock};

use super::slot::Slot;

/// Maximum sleep of a driver while no engine is scheduled.
const LONGEST_SLEEP: Duration = Duration::from_millis(500);

/// Queue of engines scheduled from other threads.
#[derive(Default)]
pub(super) struct Wakeups {
    inbox: Mutex<Vec<(u64, usize)>>,
    thread: Mutex<Option<Thread>>,
    stopping: AtomicBool,
}

impl Wakeups {
    /// Schedules the engine at `index`.
    pub(super) fn add(&self, due_us: u64, index: usize) {
        self.inbox.lock().push((due_us, index));
        self.wake();
    }

    /// Stops the driver.
    pub(super) fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.wake();
    }

    fn wake(&self) {
        if let Some(thread) = &*self.thread.lock() {
            thread.unpark();
        }
    }
}

/// All engines of a host, by index.
pub(super) type Slots = Arc<RwLock<Vec<Arc<Slot>>>>;

/// Starts a driver thread.
pub(super) fn start(
    name: String,
    wakeups: Arc<Wakeups>,
    slots: Slots,
    started: Instant,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name(name)
        .spawn(move || run(&wakeups, &slots, started))
}

fn run(wakeups: &Wakeups, slots: &Slots, started: Instant) {
    *wakeups.thread.lock() = Some(std::thread::current());
    let mut heap: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    while !wakeups.stopping.load(Ordering::Acquire) {
        heap.extend(wakeups.inbox.lock().drain(..).map(Reverse));
        let now_us = started.elapsed().as_micros() as u64;
        match heap.peek() {
            Some(Reverse((due_us, _))) if *due_us <= now_us => {
                if let Some(Reverse((due_us, index))) = heap.pop() {
                    advance(slots, due_us, index, &mut heap);
                }
            }
            Some(Reverse((due_us, _))) => {
                std::thread::park_timeout(Duration::from_micros(due_us - now_us));
            }
            None => std::thread::park_timeout(LONGEST_SLEEP),
        }
    }
}

fn advance(slots: &Slots, due_us: u64, index: usize, heap: &mut BinaryHeap<Reverse<(u64, usize)>>) {
    let slot = slots.read().get(index).cloned();
    if let Some(next) = slot.and_then(|slot| slot.advance(due_us)) {
        heap.push(Reverse((next, index)));
    }
}
