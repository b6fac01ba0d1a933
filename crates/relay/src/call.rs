//! Calls from node to node.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_model::StoreError;
use dappleyard_upstream::{Connection, ExchangeError, IdleLimit, Pool, Stage, request_bytes};
use http::header::HOST;
use http::{HeaderValue, Method};
use prost::Message;

use crate::messages::{AnswerKind, CallKind, RelayAnswer, RelayCall};

/// Time for a connection to come up.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Longest answer, bytes.
const LONGEST_ANSWER: usize = 16 * 1024 * 1024;
/// Resting connections to one node.
const RESTING: usize = 4;
/// How long a resting connection may be used again.
const IDLE: IdleLimit = IdleLimit {
    default: Duration::from_secs(20),
    margin: Duration::from_millis(500),
};

/// Connections to other nodes, of one thread.
pub(crate) struct PeerCalls {
    pool: Pool,
}

impl PeerCalls {
    /// No connection yet.
    pub fn new() -> Self {
        Self {
            pool: Pool::new(IDLE, RESTING),
        }
    }

    /// Makes a call. *Unavailable* says that nothing was done.
    pub async fn call(
        &self,
        address: SocketAddr,
        kind: CallKind,
        limit: Duration,
    ) -> Result<AnswerKind, StoreError> {
        let call = RelayCall { kind: Some(kind) };
        let body = Bytes::from(call.encode_to_vec());
        let exchange = self.exchange(address, &body);
        let answer = match dappleyard_clock::timeout(limit, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) if error.stage == Stage::Connect => {
                return Err(StoreError::Unavailable {
                    reason: format!("node at {address}: {error}"),
                });
            }
            Ok(Err(error)) => return Err(lost(address, &error.to_string())),
            Err(_) => return Err(lost(address, "no answer in time")),
        };
        let answer = RelayAnswer::decode(answer).ok().and_then(|held| held.kind);
        match answer {
            Some(AnswerKind::Failure(failure)) => Err(failure.into()),
            Some(answer) => Ok(answer),
            None => Err(lost(address, "not an answer")),
        }
    }

    async fn exchange(&self, address: SocketAddr, body: &Bytes) -> Result<Bytes, ExchangeError> {
        let host = HeaderValue::from_static("node");
        let headers = [(&HOST, &host)];
        let request = request_bytes(&Method::POST, "/", headers.into_iter(), body);
        let mut connection = match self.pool.take(address) {
            Some(connection) => connection,
            None => Connection::open(address, CONNECT_LIMIT).await?,
        };
        connection.send(&request).await?;
        let answer = connection.whole_body(LONGEST_ANSWER).await?;
        self.pool.put(address, connection);
        Ok(answer)
    }
}

fn lost(address: SocketAddr, reason: &str) -> StoreError {
    StoreError::Ambiguous {
        reason: format!("node at {address}: {reason}"),
    }
}
