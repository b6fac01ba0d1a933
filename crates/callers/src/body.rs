//! Reads the bodies of requests, within limits on size and time and within the memory for callers.

use std::time::Duration;

use actix_web::dev::Payload;
use actix_web::http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use bytes::Bytes;
use dappleyard_budget::{Account, MemoryShort};
use derive_more::{Display, Error};
use futures::StreamExt;

use crate::chunk_queue::ChunkQueue;
use crate::connection::CallerConnection;

/// Time for which the body of a refused request is still read, so that the caller gets the refusal.
pub const REFUSED_BODY_TIME: Duration = Duration::from_secs(1);

/// What a body may take.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    pub bytes: usize,
    /// Time without a byte after which it is given up.
    pub stall: Duration,
}

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    #[display("the body is longer than allowed")]
    TooLong,
    /// The process has no memory for it.
    #[display("the memory for messages of callers is used up")]
    MemoryShort,
    /// It made no progress, or was given up for others while it made none.
    #[display("the body made no progress")]
    Stalled,
    #[display("the body is not framed as the protocol asks")]
    Malformed,
}

/// Whether a request declares a body.
pub fn has_body(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Reads the body of a request that declares one, and charges the account of its connection for it until the answer ends.
pub async fn read_body(
    connection: Option<&CallerConnection>,
    headers: &HeaderMap,
    payload: &mut Payload,
    limits: BodyLimits,
) -> Result<Bytes, BodyError> {
    if !has_body(headers) {
        return Ok(Bytes::new());
    }
    if let Some(connection) = connection {
        connection.allow_body(limits.bytes);
    }
    let account = connection.map(CallerConnection::account);
    let announced = announced_bytes(headers).unwrap_or(0);
    let read = match announced > limits.bytes as u64 {
        true => Err(BodyError::TooLong),
        false => collect(payload, account, limits).await,
    };
    match (&read, connection) {
        (Ok(_), Some(connection)) => connection.complete_request(),
        (Err(error), _) => refuse(connection, payload, limits, *error).await,
        (Ok(_), None) => {}
    }
    read
}

/// Frees what was read of a refused body, and reads on for a while without keeping it.
async fn refuse(
    connection: Option<&CallerConnection>,
    payload: &mut Payload,
    limits: BodyLimits,
    error: BodyError,
) {
    if let Some(connection) = connection {
        connection.account().restart();
    }
    if matches!(error, BodyError::TooLong | BodyError::MemoryShort) {
        discard(payload, limits.bytes).await;
    }
    if let Some(connection) = connection {
        connection.end_body();
    }
}

/// Reads the body of a request that is refused anyway, without keeping it.
pub async fn discard_body(
    connection: Option<&CallerConnection>,
    headers: &HeaderMap,
    payload: &mut Payload,
    limits: BodyLimits,
) {
    if let Some(connection) = connection {
        connection.allow_body(limits.bytes);
    }
    if has_body(headers) {
        discard(payload, limits.bytes).await;
    }
}

fn announced_bytes(headers: &HeaderMap) -> Option<u64> {
    let length = headers.get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

async fn collect(
    payload: &mut Payload,
    account: Option<&Account>,
    limits: BodyLimits,
) -> Result<Bytes, BodyError> {
    let mut body = ChunkQueue::default();
    let mut length = 0;
    while let Some(piece) = next_piece(payload, account, limits.stall).await? {
        length += piece.len();
        if length > limits.bytes {
            return Err(BodyError::TooLong);
        }
        let charged = account.map_or(Ok(()), |account| account.charge(piece.len()));
        charged.map_err(|MemoryShort| BodyError::MemoryShort)?;
        // One growing buffer would leave gaps of all sizes behind where many bodies arrive at a time.
        body.push(&piece);
    }
    Ok(body.join(length))
}

/// The next piece of a body. An error once the body has made no progress for `stall`, or is given up for others.
async fn next_piece(
    payload: &mut Payload,
    account: Option<&Account>,
    stall: Duration,
) -> Result<Option<Bytes>, BodyError> {
    let given_up = async {
        match account {
            Some(account) => account.given_up().await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        piece = payload.next() => piece.transpose().map_err(|_| BodyError::Malformed),
        () = given_up => Err(BodyError::Stalled),
        () = tokio::time::sleep(stall) => Err(BodyError::Stalled),
    }
}

/// Reads the rest of a body without keeping it, for a limited time and up to `limit_bytes`.
async fn discard(payload: &mut Payload, limit_bytes: usize) {
    let reading = async {
        let mut discarded_bytes = 0;
        while let Some(Ok(piece)) = payload.next().await {
            discarded_bytes += piece.len();
            if discarded_bytes > limit_bytes {
                return;
            }
        }
    };
    // The refusal is sent however the rest ends.
    let _ = tokio::time::timeout(REFUSED_BODY_TIME, reading).await;
}
