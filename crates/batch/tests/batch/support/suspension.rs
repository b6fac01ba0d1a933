//! A task set that can be suspended while other tasks run, like a stopped process.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use tokio::task::LocalSet;

/// Suspends and resumes a [`SuspendableSet`].
#[derive(Default)]
pub struct Suspension {
    suspended: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Suspension {
    pub fn suspend(&self) {
        self.suspended.set(true);
    }

    pub fn resume(&self) {
        self.suspended.set(false);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// Tasks that are not polled while they are suspended.
pub struct SuspendableSet {
    pub set: LocalSet,
    pub suspension: Rc<Suspension>,
}

impl SuspendableSet {
    pub fn new() -> SuspendableSet {
        SuspendableSet {
            set: LocalSet::new(),
            suspension: Rc::default(),
        }
    }
}

impl Future for SuspendableSet {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        *self.suspension.waker.borrow_mut() = Some(context.waker().clone());
        if self.suspension.suspended.get() {
            return Poll::Pending;
        }
        let _ = Pin::new(&mut self.set).poll(context);
        Poll::Pending
    }
}
