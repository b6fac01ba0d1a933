//! Panics of request handlers.

use std::any::Any;
use std::panic::AssertUnwindSafe;

use dappleyard_wire::{ErrorKind, Failure};
use futures::FutureExt;

/// Runs a handler. A panic in it is logged, and becomes a failure of a request that may have run.
pub async fn catch_panic<T>(handler: impl Future<Output = T>) -> Result<T, Failure> {
    let outcome = AssertUnwindSafe(handler).catch_unwind().await;
    outcome.map_err(|payload| {
        let cause = panic_message(&*payload);
        tracing::error!(cause, "a handler panicked; its caller got a failure");
        let message = "the node failed while it handled the request";
        Failure::maybe_ran(ErrorKind::Internal, message)
    })
}

fn panic_message(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("unknown")
}
