//! Client for calls to other nodes that stand in for calls to the row store, so they fail with [`StoreError`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dappleyard_model::StoreError;
use dappleyard_upstream::{Connection, ExchangeError, IdleLimit, Pool, Stage, request_bytes};
use http::header::HOST;
use http::{HeaderValue, Method};
use prost::Message;

use crate::messages::{AnswerKind, CallKind, RelayAnswer, RelayCall};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Idle connections kept per node.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// How long an idle connection is kept for reuse: `default` if the peer announces no idle timeout, otherwise the
/// announced timeout less `margin`.
const IDLE_LIMIT: IdleLimit = IdleLimit {
    default: Duration::from_secs(20),
    margin: Duration::from_millis(500),
};

/// Longest gap between two chunks of a response body. The total time is not limited, because a node that sends many
/// rows may be serving many other nodes at once.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// One thread's pool of connections to other nodes.
pub(crate) struct PeerCalls {
    pool: Pool,
}

impl PeerCalls {
    pub fn new() -> Self {
        Self {
            pool: Pool::new(IDLE_LIMIT, MAX_IDLE_CONNECTIONS),
        }
    }

    /// Makes a call; the response head must arrive within `head_timeout`. Fails with [`StoreError::Unavailable`] if the
    /// call had no effect and with [`StoreError::Ambiguous`] if it may have had one.
    pub async fn call(
        &self,
        address: SocketAddr,
        kind: CallKind,
        head_timeout: Duration,
    ) -> Result<AnswerKind, StoreError> {
        let call = RelayCall { kind: Some(kind) };
        let body = Bytes::from(call.encode_to_vec());
        let response = match self.exchange(address, &body, head_timeout).await {
            Ok(response) => response,
            Err(error) if error.stage == Stage::Connect => {
                return Err(StoreError::Unavailable {
                    reason: format!("node at {address}: {error}"),
                });
            }
            Err(error) => return Err(ambiguous(address, &error.to_string())),
        };
        let answer = RelayAnswer::decode(response)
            .ok()
            .and_then(|decoded| decoded.kind);
        match answer {
            Some(AnswerKind::Failure(failure)) => Err(failure.into()),
            Some(answer) => Ok(answer),
            None => Err(ambiguous(address, "not an answer")),
        }
    }

    /// Sends a call and reads the response body. The response head must arrive within `head_timeout`.
    async fn exchange(
        &self,
        address: SocketAddr,
        body: &Bytes,
        head_timeout: Duration,
    ) -> Result<Bytes, ExchangeError> {
        let host = HeaderValue::from_static("node");
        let headers = [(&HOST, &host)];
        let request = request_bytes(&Method::POST, "/", headers.into_iter(), body);
        let mut connection = match self.pool.take(address) {
            Some(connection) => connection,
            None => Connection::open(address, CONNECT_TIMEOUT).await?,
        };
        let response_head = connection.send(&request);
        let head = dappleyard_clock::timeout(head_timeout, response_head).await;
        head.map_err(|_| exchange_error(Stage::Head, "no answer in time"))??;
        let response = read_response(&mut connection).await?;
        self.pool.put(address, connection);
        Ok(response)
    }
}

async fn read_response(connection: &mut Connection) -> Result<Bytes, ExchangeError> {
    let mut response = BytesMut::new();
    loop {
        let chunk = dappleyard_clock::timeout(STALL_TIMEOUT, connection.next_piece()).await;
        let chunk = chunk.map_err(|_| exchange_error(Stage::Body, "the answer has stalled"))??;
        let Some(chunk) = chunk else {
            return Ok(response.freeze());
        };
        if response.len() + chunk.len() > MAX_ANSWER_BYTES {
            return Err(exchange_error(Stage::Body, "answer too long"));
        }
        response.extend_from_slice(&chunk);
    }
}

fn exchange_error(stage: Stage, reason: &str) -> ExchangeError {
    ExchangeError {
        stage,
        reason: reason.to_owned(),
        is_refused: false,
        exceeds_limit: false,
        is_malformed: false,
    }
}

fn ambiguous(address: SocketAddr, reason: &str) -> StoreError {
    StoreError::Ambiguous {
        reason: format!("node at {address}: {reason}"),
    }
}
