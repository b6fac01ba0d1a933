//! Reads the bodies of requests.

use std::time::Duration;

use actix_web::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING, UPGRADE};
use actix_web::{HttpRequest, web};
use bytes::Bytes;
use dappleyard_budget::{Account, MemoryShort};
use futures::StreamExt;

use crate::caller_connection::connection_of;
use crate::error_kind::ErrorKind;
use crate::node::Node;
use crate::response_buffer::ChunkQueue;

/// Body limit in bytes while no configuration is known, and for calls of other nodes.
const DEFAULT_BODY_LIMIT: usize = 4 * 1024 * 1024;

/// Time without a byte after which a body is given up, while no configuration is known and for calls of other nodes.
const DEFAULT_STALL: Duration = Duration::from_secs(15);

/// What a body may take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimits {
    pub bytes: usize,
    /// Time without a byte after which it is given up.
    pub stall: Duration,
}

impl BodyLimits {
    /// Limits of the operators on callers' bodies.
    pub(crate) fn of(node: &Node) -> Self {
        let configuration = node.view.configuration();
        configuration.map_or_else(Self::of_peers, |it| Self {
            bytes: it.limits.max_body_bytes,
            stall: match it.limits.idle_timeout_ms {
                0 => DEFAULT_STALL,
                idle_ms => Duration::from_millis(idle_ms),
            },
        })
    }

    /// Limits on calls of other nodes.
    pub(crate) fn of_peers() -> Self {
        Self {
            bytes: DEFAULT_BODY_LIMIT,
            stall: DEFAULT_STALL,
        }
    }
}

/// Whether a request asks for a WebSocket. The HTTP library neither ends the body of such a request nor frames the answer.
pub(crate) fn asks_for_websocket(request: &HttpRequest) -> bool {
    let offers = request.headers().get_all(UPGRADE);
    let mut offers = offers.filter_map(|value| value.to_str().ok());
    offers.any(|value| value.to_ascii_lowercase().contains("websocket"))
}

/// Time for which the body of a refused request is still read, so that the caller gets the refusal.
pub(crate) const REFUSED_BODY_TIME: Duration = Duration::from_secs(1);

/// Reads the body of a request that declares one, and charges the account of its connection for it.
pub(crate) async fn read_declared_body(
    request: &HttpRequest,
    payload: web::Payload,
    limits: BodyLimits,
) -> Result<Bytes, ErrorKind> {
    if !has_body(request) {
        return Ok(Bytes::new());
    }
    let body = read_body(request, payload, limits).await?;
    if let Some(connection) = connection_of(request) {
        connection.complete_request();
    }
    Ok(body)
}

/// Notes that a request without a body has arrived whole.
pub(crate) fn note_bodiless(request: &HttpRequest) {
    if let Some(connection) = connection_of(request).filter(|_| !has_body(request)) {
        connection.complete_request();
    }
}

fn has_body(request: &HttpRequest) -> bool {
    let headers = request.headers();
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

async fn read_body(
    request: &HttpRequest,
    mut payload: web::Payload,
    limits: BodyLimits,
) -> Result<Bytes, ErrorKind> {
    let connection = connection_of(request);
    if let Some(connection) = connection {
        connection.allow_body(limits.bytes);
    }
    let account = connection.map(|it| it.account());
    let announced = announced_bytes(request).unwrap_or(0);
    let read = match announced > limits.bytes as u64 {
        true => Err(ErrorKind::BodyTooLong),
        false => collect(&mut payload, account, limits).await,
    };
    if read.is_err()
        && let Some(account) = account
    {
        account.restart();
    }
    if matches!(read, Err(ErrorKind::BodyTooLong | ErrorKind::MemoryShort)) {
        discard(&mut payload, limits.bytes).await;
    }
    if let Some(connection) = connection.filter(|_| read.is_err()) {
        connection.end_body();
    }
    read
}

fn announced_bytes(request: &HttpRequest) -> Option<u64> {
    let length = request.headers().get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

async fn collect(
    payload: &mut web::Payload,
    account: Option<&Account>,
    limits: BodyLimits,
) -> Result<Bytes, ErrorKind> {
    let mut body = ChunkQueue::default();
    let mut length = 0;
    while let Some(piece) = next_piece(payload, account, limits.stall).await? {
        length += piece.len();
        if length > limits.bytes {
            return Err(ErrorKind::BodyTooLong);
        }
        let charged = account.map_or(Ok(()), |account| account.charge(piece.len()));
        charged.map_err(|MemoryShort| ErrorKind::MemoryShort)?;
        // One growing buffer would leave gaps of all sizes behind where many bodies arrive at a time.
        body.push(&piece);
    }
    Ok(body.join(length))
}

/// The next piece of a body. An error once the body has made no progress for `stall`, or is given up for others.
async fn next_piece(
    payload: &mut web::Payload,
    account: Option<&Account>,
    stall: Duration,
) -> Result<Option<Bytes>, ErrorKind> {
    let given_up = async {
        match account {
            Some(account) => account.given_up().await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        piece = payload.next() => piece.transpose().map_err(|_| ErrorKind::Malformed),
        () = given_up => Err(ErrorKind::BodyTimeout),
        () = tokio::time::sleep(stall) => Err(ErrorKind::BodyTimeout),
    }
}

/// Reads the rest of a body without keeping it, for a limited time and up to `limit_bytes`.
async fn discard(payload: &mut web::Payload, limit_bytes: usize) {
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

/// Reads the body of a request that is refused anyway, without keeping it.
pub(crate) async fn discard_declared_body(
    request: &HttpRequest,
    mut payload: web::Payload,
    limits: BodyLimits,
) {
    if let Some(connection) = connection_of(request) {
        connection.allow_body(limits.bytes);
    }
    if has_body(request) {
        discard(&mut payload, limits.bytes).await;
    }
}
