//! The HTTP client of the engines.

mod line_buffer;

use std::time::Duration;

use async_trait::async_trait;
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use futures::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::port::{
    CacheEvent, Engine, EngineError, EngineEvent, EngineOrder, EngineReport, EventStream,
    GenerateCall, KvExportRequest, KvState,
};
use line_buffer::LineBuffer;

/// Maximum body size of a unary response, bytes.
const MAXIMUM_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Maximum length of a refusal reason; longer ones are truncated.
const MAXIMUM_REASON_CHARACTERS: usize = 300;

/// Statuses that guarantee that the call did not run. After any other failure status, including
/// redirects, it may have run.
const REFUSAL_STATUSES: [u16; 9] = [400, 404, 405, 409, 413, 422, 429, 501, 503];

/// [`Engine`] over HTTP/1.1 with `awc`. Each worker thread has its own client and connection pool.
pub struct HttpEngine {
    client: Client,
    /// For generations, each on a connection of its own: answers name no call, so on a kept connection the refusal of an
    /// earlier one could be taken for that of a generation which runs.
    generate_client: Client,
    idle_timeout: Duration,
}

impl HttpEngine {
    /// `connect_timeout` limits connection setup, `idle_timeout` the wait for a response or for the next
    /// bytes of an event stream.
    pub fn new(connect_timeout: Duration, idle_timeout: Duration) -> HttpEngine {
        HttpEngine {
            client: new_client(connect_timeout),
            generate_client: new_client(connect_timeout),
            idle_timeout,
        }
    }

    async fn get<T: DeserializeOwned>(&self, url: String) -> Result<T, EngineError> {
        let sent = self.client.get(url).send();
        let response = self.with_timeout(sent).await?.map_err(send_error)?;
        self.read(response).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        url: String,
        body: &impl Serialize,
    ) -> Result<T, EngineError> {
        let sent = self.client.post(url).send_json(body);
        let response = self.with_timeout(sent).await?.map_err(send_error)?;
        self.read(response).await
    }

    /// Reads the response to a unary call.
    async fn read<S, T>(&self, mut response: awc::ClientResponse<S>) -> Result<T, EngineError>
    where
        S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
        T: DeserializeOwned,
    {
        if !response.status().is_success() {
            return Err(refusal(&mut response, self.idle_timeout).await);
        }
        let body = response.body().limit(MAXIMUM_ANSWER_BYTES);
        let bytes = self.with_timeout(body).await?.map_err(lost_error)?;
        // An empty body is read as `null`, the JSON form of `()`.
        let json = if bytes.is_empty() {
            b"null"
        } else {
            &bytes[..]
        };
        serde_json::from_slice(json).map_err(lost_error)
    }

    async fn with_timeout<F: Future>(&self, call: F) -> Result<F::Output, EngineError> {
        tokio::time::timeout(self.idle_timeout, call)
            .await
            .map_err(|_| lost_error("the engine did not answer in time"))
    }
}

#[async_trait(?Send)]
impl Engine for HttpEngine {
    async fn generate(&self, base: &str, call: GenerateCall) -> Result<EventStream, EngineError> {
        let sent = self
            .generate_client
            .post(format!("{base}/v1/generate"))
            .force_close()
            .send_json(&call);
        let mut response = self.with_timeout(sent).await?.map_err(send_error)?;
        if !response.status().is_success() {
            return Err(refusal(&mut response, self.idle_timeout).await);
        }
        Ok(Box::pin(events(response, self.idle_timeout)))
    }

    async fn cancel(&self, base: &str, stream: &str) -> Result<(), EngineError> {
        let url = format!("{base}/v1/streams/{stream}/cancel");
        match self.post(url, &()).await {
            Err(EngineError::Refused { status: 404, .. }) => Ok(()),
            other => other,
        }
    }

    async fn cancel_all(&self, base: &str, streams: &[String]) -> Result<(), EngineError> {
        let url = format!("{base}/v1/cancel");
        match self.post(url, &streams).await {
            Err(EngineError::Refused {
                status: 404 | 405, ..
            }) => {}
            other => return other,
        }
        for stream in streams {
            self.cancel(base, stream).await?;
        }
        Ok(())
    }

    async fn report(&self, base: &str) -> Result<EngineReport, EngineError> {
        self.get(format!("{base}/v1/report")).await
    }

    async fn status(&self, base: &str) -> Result<EngineReport, EngineError> {
        self.get(format!("{base}/v1/status")).await
    }

    async fn cache_events(&self, base: &str, after: u64) -> Result<Vec<CacheEvent>, EngineError> {
        self.get(format!("{base}/v1/cache-events?after={after}"))
            .await
    }

    async fn order(&self, base: &str, order: EngineOrder) -> Result<(), EngineError> {
        self.post(format!("{base}/v1/orders"), &order).await
    }

    async fn export_kv(&self, base: &str, query: KvExportRequest) -> Result<KvState, EngineError> {
        self.post(format!("{base}/v1/kv/export"), &query).await
    }

    async fn import_kv(&self, base: &str, state: KvState) -> Result<(), EngineError> {
        self.post(format!("{base}/v1/kv/import"), &state).await
    }
}

fn new_client(connect_timeout: Duration) -> Client {
    let connector = Connector::new().timeout(connect_timeout).limit(0);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Events of a chunked response. The stream ends after [`EngineEvent::Finished`] or after an error, such
/// as a premature end of the response or an idle timeout.
fn events<S>(
    response: awc::ClientResponse<S>,
    idle_timeout: Duration,
) -> impl futures::Stream<Item = Result<EngineEvent, EngineError>>
where
    S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin + 'static,
{
    let state = EventReader {
        response,
        line_buffer: LineBuffer::default(),
        finished: false,
    };
    futures::stream::unfold(state, move |mut state| async move {
        if state.finished {
            return None;
        }
        let next = state.next_event(idle_timeout).await;
        state.finished = matches!(next, Err(_) | Ok(EngineEvent::Finished { .. }));
        Some((next, state))
    })
}

struct EventReader<S> {
    response: awc::ClientResponse<S>,
    line_buffer: LineBuffer,
    finished: bool,
}

impl<S> EventReader<S>
where
    S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    async fn next_event(&mut self, idle_timeout: Duration) -> Result<EngineEvent, EngineError> {
        loop {
            if let Some(line) = self.line_buffer.next_line() {
                return serde_json::from_slice(&line).map_err(lost_error);
            }
            let read = tokio::time::timeout(idle_timeout, self.response.next()).await;
            match read {
                Err(_) => return Err(lost_error("the engine fell silent")),
                Ok(None) => return Err(lost_error("the answer ended before its last event")),
                Ok(Some(Err(error))) => return Err(lost_error(error)),
                Ok(Some(Ok(bytes))) => self.line_buffer.push(&bytes).map_err(lost_error)?,
            }
        }
    }
}

async fn refusal<S>(response: &mut awc::ClientResponse<S>, timeout: Duration) -> EngineError
where
    S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
{
    let status = response.status().as_u16();
    let body = tokio::time::timeout(timeout, response.body()).await;
    let reason = match body {
        Ok(Ok(bytes)) => String::from_utf8_lossy(&bytes)
            .chars()
            .take(MAXIMUM_REASON_CHARACTERS)
            .collect(),
        _ => String::new(),
    };
    if REFUSAL_STATUSES.contains(&status) {
        EngineError::Refused { status, reason }
    } else {
        lost_error(format!("status {status}: {reason}"))
    }
}

fn send_error(error: SendRequestError) -> EngineError {
    match error {
        // `awc` reports a connection that breaks after the request was sent as `Disconnected`.
        SendRequestError::Connect(ConnectError::Disconnected) => lost_error(error),
        SendRequestError::Connect(cause) => EngineError::Unreachable {
            reason: cause.to_string(),
        },
        SendRequestError::Url(cause) => EngineError::Unreachable {
            reason: cause.to_string(),
        },
        other => lost_error(other),
    }
}

fn lost_error(reason: impl ToString) -> EngineError {
    EngineError::Lost {
        reason: reason.to_string(),
    }
}
