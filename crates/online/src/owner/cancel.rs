//! Cancellation of engine streams, in tasks that outlive the run.

use std::rc::Rc;
use std::time::Duration;

use dappleyard_engine::{Engine, EngineEvent, EventStream};
use futures::StreamExt;

use super::{OwnerRun, PendingStream};
use crate::dispatch::SelectedServer;

/// Delay before the single retry of a failed cancel call.
const CANCEL_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Time to wait for an engine to accept a call or report the id of a stream to cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

impl OwnerRun {
    /// Cancels the stream at the engine unless a later run has become its reader.
    pub(super) fn cancel(&mut self, events: EventStream, selected: &SelectedServer, cause: &str) {
        if self.is_superseded() {
            return;
        }
        let known = self.reader.is_some();
        let stream = known.then(|| self.earlier.engine_stream.clone());
        self.count_cancel(cause);
        let (engine, base) = (self.worker.engine.clone(), selected.base_url.clone());
        actix_rt::spawn(cancel_stream(engine, base, events, stream));
    }

    pub(super) fn cancel_when_opened(
        &self,
        pending: PendingStream,
        selected: &SelectedServer,
        cause: &str,
    ) {
        self.count_cancel(cause);
        let (engine, base) = (self.worker.engine.clone(), selected.base_url.clone());
        actix_rt::spawn(async move {
            let opened = tokio::time::timeout(CANCEL_TIMEOUT, pending).await;
            if let Ok(Ok(events)) = opened {
                cancel_stream(engine, base, events, None).await;
            }
        });
    }

    fn count_cancel(&self, cause: &str) {
        let cancelled = &self.worker.shared.metrics.cancelled;
        cancelled.with_label_values(&[cause]).inc();
    }
}

/// Cancels a stream. An unknown stream id is read from the events.
async fn cancel_stream(
    engine: Rc<dyn Engine>,
    base: String,
    mut events: EventStream,
    known: Option<String>,
) {
    let accepted = async {
        while let Some(Ok(event)) = events.next().await {
            if let EngineEvent::Accepted { stream, .. } = event {
                return Some(stream);
            }
        }
        None
    };
    let stream = match known {
        Some(stream) => Some(stream),
        None => tokio::time::timeout(CANCEL_TIMEOUT, accepted)
            .await
            .ok()
            .flatten(),
    };
    if let Some(stream) = stream
        && engine.cancel(&base, &stream).await.is_err()
    {
        tokio::time::sleep(CANCEL_RETRY_PAUSE).await;
        let _ = engine.cancel(&base, &stream).await;
    }
}
