//! A set of tasks that can stand still while others go on, like a stopped process.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use tokio::task::LocalSet;

/// Stops and continues a [`PausableSet`].
#[derive(Default)]
pub struct Pause {
    paused: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Pause {
    pub fn stop(&self) {
        self.paused.set(true);
    }

    pub fn go_on(&self) {
        self.paused.set(false);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// Tasks that are not polled while they are paused.
pub struct PausableSet {
    pub set: LocalSet,
    pub pause: Rc<Pause>,
}

impl PausableSet {
    pub fn new() -> PausableSet {
        PausableSet {
            set: LocalSet::new(),
            pause: Rc::default(),
        }
    }
}

impl Future for PausableSet {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        *self.pause.waker.borrow_mut() = Some(context.waker().clone());
        if self.pause.paused.get() {
            return Poll::Pending;
        }
        let _ = Pin::new(&mut self.set).poll(context);
        Poll::Pending
    }
}
