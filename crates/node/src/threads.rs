//! Threads of a node, each one an actix arbiter.

use std::future::Future;
use std::time::Duration;

use actix_rt::{Arbiter, ArbiterHandle};
use tokio::sync::oneshot;

use crate::error::NodeError;

#[derive(Default)]
pub struct Threads {
    arbiters: Vec<Arbiter>,
}

impl Threads {
    /// Starts a thread, runs `start` on it and returns its output.
    pub async fn spawn<T, F>(
        &mut self,
        name: &'static str,
        start: impl FnOnce() -> F + Send + 'static,
    ) -> Result<T, NodeError>
    where
        T: Send + 'static,
        F: Future<Output = T> + 'static,
    {
        let arbiter = Arbiter::new();
        let (sender, receiver) = oneshot::channel();
        arbiter.spawn_fn(move || {
            actix_rt::spawn(async move {
                let _ = sender.send(start().await);
            });
        });
        self.arbiters.push(arbiter);
        receiver.await.map_err(|_| NodeError::Thread { name })
    }

    pub fn handles(&self) -> Vec<ArbiterHandle> {
        self.arbiters.iter().map(Arbiter::handle).collect()
    }
}

/// Stops all threads; tasks that are still running are dropped.
pub fn kill(threads: &[ArbiterHandle]) {
    for thread in threads {
        thread.stop();
    }
}

/// Blocks all threads for `duration`, as SIGSTOP and SIGCONT would.
pub fn pause(threads: &[ArbiterHandle], duration: Duration) {
    for thread in threads {
        thread.spawn_fn(move || std::thread::sleep(duration));
    }
}
