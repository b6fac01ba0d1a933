//! HTTP calls to the platform, with errors classified by whether the call may have taken effect.

use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::{Method, StatusCode};
use awc::{Client, Connector};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::protocol::{ConflictBody, OBJECT_SIZE_HEADER, RateLimitedBody};
use crate::tables::StoreError;

const MAXIMUM_ANSWER_BYTES: usize = 256 * 1024 * 1024;
/// Used if a rate-limited answer has no valid retry time.
const DEFAULT_RETRY_AFTER_MS: u32 = 100;

/// Whether a call may change data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Effect {
    Read,
    Write,
}

/// A successful answer.
pub(super) struct Answer {
    pub(super) bytes: Bytes,
    /// Size of the whole object, if the service sent it.
    pub(super) object_size: Option<u64>,
}

/// HTTP client of one worker thread.
pub(super) struct Http {
    client: Client,
    timeout: Duration,
}

/// Parameters of a call.
pub(super) struct Call<'a, Q> {
    pub(super) method: Method,
    pub(super) url: &'a str,
    pub(super) query: &'a Q,
    pub(super) body: Bytes,
    pub(super) effect: Effect,
    /// Added to the timeout, for long polls.
    pub(super) extra: Duration,
}

impl Http {
    pub(super) fn new(timeout: Duration) -> Http {
        let connector = Connector::new().timeout(timeout).limit(0);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .finish();
        Http { client, timeout }
    }

    /// Sends a GET and parses the JSON answer.
    pub(super) async fn read<T: DeserializeOwned>(
        &self,
        url: &str,
        query: &impl Serialize,
        extra: Duration,
    ) -> Result<T, StoreError> {
        let answer = self
            .call(Call {
                method: Method::GET,
                url,
                query,
                body: Bytes::new(),
                effect: Effect::Read,
                extra,
            })
            .await?;
        parse(&answer.bytes, Effect::Read)
    }

    /// Sends a call and reads the whole answer.
    pub(super) async fn call<Q: Serialize>(&self, call: Call<'_, Q>) -> Result<Answer, StoreError> {
        let effect = call.effect;
        let total_timeout = self.timeout + call.extra;
        match tokio::time::timeout(total_timeout, self.send(call)).await {
            Ok(result) => result,
            Err(_) => Err(unanswered(effect, "no answer in time")),
        }
    }

    async fn send<Q: Serialize>(&self, call: Call<'_, Q>) -> Result<Answer, StoreError> {
        let effect = call.effect;
        let request = self
            .client
            .request(call.method, call.url)
            .query(call.query)
            .map_err(invalid)?;
        let mut response = request
            .send_body(call.body)
            .await
            .map_err(|error| send_error(effect, &error))?;
        let object_size = response
            .headers()
            .get(OBJECT_SIZE_HEADER)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let status = response.status();
        let body = response.body().limit(MAXIMUM_ANSWER_BYTES).await;
        match (status.is_success(), body) {
            (true, Ok(bytes)) => Ok(Answer { bytes, object_size }),
            (true, Err(error)) => Err(unanswered(effect, error)),
            (false, body) => Err(status_error(effect, status, &body.unwrap_or_default())),
        }
    }
}

/// Parses the JSON of a successful answer. A write whose answer cannot be parsed is ambiguous.
pub(super) fn parse<T: DeserializeOwned>(bytes: &[u8], effect: Effect) -> Result<T, StoreError> {
    serde_json::from_slice(bytes).map_err(|error| unanswered(effect, error))
}

fn status_error(effect: Effect, status: StatusCode, body: &[u8]) -> StoreError {
    let reason = || format!("{status}: {}", String::from_utf8_lossy(body));
    match status {
        StatusCode::CONFLICT => match serde_json::from_slice::<ConflictBody>(body) {
            Ok(conflict) => StoreError::Conflict {
                key: conflict.key,
                actual: conflict.actual,
            },
            Err(_) => unanswered(effect, reason()),
        },
        StatusCode::TOO_MANY_REQUESTS => {
            let advice = serde_json::from_slice::<RateLimitedBody>(body);
            StoreError::RateLimited {
                retry_after_ms: advice.map_or(DEFAULT_RETRY_AFTER_MS, |body| body.retry_after_ms),
            }
        }
        StatusCode::SERVICE_UNAVAILABLE => StoreError::Unavailable { reason: reason() },
        StatusCode::REQUEST_TIMEOUT => unanswered(effect, reason()),
        status if status.is_client_error() => StoreError::Invalid { reason: reason() },
        _ => unanswered(effect, reason()),
    }
}

fn send_error(effect: Effect, error: &SendRequestError) -> StoreError {
    match error {
        // `awc` reports this if the connection breaks after the call was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => unanswered(effect, error),
        SendRequestError::Connect(_) | SendRequestError::Url(_) => StoreError::Unavailable {
            reason: error.to_string(),
        },
        _ => unanswered(effect, error),
    }
}

pub(super) fn unanswered(effect: Effect, reason: impl ToString) -> StoreError {
    let reason = reason.to_string();
    match effect {
        Effect::Read => StoreError::Unavailable { reason },
        Effect::Write => StoreError::Ambiguous { reason },
    }
}

/// Error of a call that could not be encoded and was never sent.
pub(super) fn invalid(reason: impl ToString) -> StoreError {
    StoreError::Invalid {
        reason: reason.to_string(),
    }
}
