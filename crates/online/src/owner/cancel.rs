//! Cancels at the engine, in tasks that outlive the run.

use std::rc::Rc;
use std::time::Duration;

use dappleyard_engine::{Engine, EngineEvent, EventStream};
use futures::StreamExt;

use super::{Generating, OwnerRun};
use crate::dispatch::Chosen;

/// Pause before a cancel that failed is sent once more.
const CANCEL_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// How long an engine is waited for to name a stream that is not wanted any more.
const CANCEL_PATIENCE: Duration = Duration::from_secs(5);

impl OwnerRun {
    /// Cancels the stream at the engine, unless a later run reads it.
    pub(super) fn cancel(&mut self, events: EventStream, chosen: &Chosen, cause: &str) {
        if self.is_superseded() {
            return;
        }
        let known = self.reader.is_some();
        let stream = known.then(|| self.earlier.engine_stream.clone());
        self.count_cancel(cause);
        let (engine, base) = (self.worker.engine.clone(), chosen.base_url.clone());
        actix_rt::spawn(cancel_stream(engine, base, events, stream));
    }

    pub(super) fn cancel_later(&self, generating: Generating, chosen: &Chosen, cause: &str) {
        self.count_cancel(cause);
        let (engine, base) = (self.worker.engine.clone(), chosen.base_url.clone());
        actix_rt::spawn(async move {
            let opened = tokio::time::timeout(CANCEL_PATIENCE, generating).await;
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

/// Cancels a stream. Its id is read from the events when it is not known yet.
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
        None => tokio::time::timeout(CANCEL_PATIENCE, accepted)
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
