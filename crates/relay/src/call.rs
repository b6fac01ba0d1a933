//! Client for calls to other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dappleyard_model::StoreError;
use dappleyard_upstream::{Connection, ExchangeError, IdleLimit, Pool, Stage, request_bytes};
use http::header::HOST;
use http::{HeaderValue, Method};
use prost::Message;

use crate::messages::{AnswerKind, CallKind, RelayAnswer, RelayCall};

const CONNECT_LIMIT: Duration = Duration::from_millis(250);
const LONGEST_ANSWER: usize = 16 * 1024 * 1024;
/// Idle connections kept per node.
const RESTING: usize = 4;
/// How long an idle connection may be reused.
const IDLE: IdleLimit = IdleLimit {
    default: Duration::from_secs(20),
    margin: Duration::from_millis(500),
};

/// Longest gap between two chunks of an answer. There is no limit on the whole answer: the sender of a snapshot may be
/// serving many nodes at once.
const STALLED: Duration = Duration::from_millis(1_000);

/// Connection pool of one thread to other nodes.
pub(crate) struct PeerCalls {
    pool: Pool,
}

impl PeerCalls {
    pub fn new() -> Self {
        Self {
            pool: Pool::new(IDLE, RESTING),
        }
    }

    /// Makes a call. [`StoreError::Unavailable`] means that it had no effect.
    pub async fn call(
        &self,
        address: SocketAddr,
        kind: CallKind,
        limit: Duration,
    ) -> Result<AnswerKind, StoreError> {
        let call = RelayCall { kind: Some(kind) };
        let body = Bytes::from(call.encode_to_vec());
        let answer = match self.exchange(address, &body, limit).await {
            Ok(answer) => answer,
            Err(error) if error.stage == Stage::Connect => {
                return Err(StoreError::Unavailable {
                    reason: format!("node at {address}: {error}"),
                });
            }
            Err(error) => return Err(lost(address, &error.to_string())),
        };
        let answer = RelayAnswer::decode(answer).ok().and_then(|held| held.kind);
        match answer {
            Some(AnswerKind::Failure(failure)) => Err(failure.into()),
            Some(answer) => Ok(answer),
            None => Err(lost(address, "malformed answer")),
        }
    }

    /// Sends a call; the head of the answer must arrive within `limit`.
    async fn exchange(
        &self,
        address: SocketAddr,
        body: &Bytes,
        limit: Duration,
    ) -> Result<Bytes, ExchangeError> {
        let host = HeaderValue::from_static("node");
        let headers = [(&HOST, &host)];
        let request = request_bytes(&Method::POST, "/", headers.into_iter(), body);
        let mut connection = match self.pool.take(address) {
            Some(connection) => connection,
            None => Connection::open(address, CONNECT_LIMIT).await?,
        };
        let sending = connection.send(&request);
        let head = dappleyard_clock::timeout(limit, sending).await;
        head.map_err(|_| late(Stage::Head, "no answer in time"))??;
        let answer = read_answer(&mut connection).await?;
        self.pool.put(address, connection);
        Ok(answer)
    }
}

async fn read_answer(connection: &mut Connection) -> Result<Bytes, ExchangeError> {
    let mut answer = BytesMut::new();
    loop {
        let piece = dappleyard_clock::timeout(STALLED, connection.next_piece()).await;
        let piece = piece.map_err(|_| late(Stage::Body, "the answer has stalled"))??;
        let Some(piece) = piece else {
            return Ok(answer.freeze());
        };
        if answer.len() + piece.len() > LONGEST_ANSWER {
            return Err(late(Stage::Body, "answer too long"));
        }
        answer.extend_from_slice(&piece);
    }
}

fn late(stage: Stage, reason: &str) -> ExchangeError {
    ExchangeError {
        stage,
        reason: reason.to_owned(),
    }
}

fn lost(address: SocketAddr, reason: &str) -> StoreError {
    StoreError::Ambiguous {
        reason: format!("node at {address}: {reason}"),
    }
}
