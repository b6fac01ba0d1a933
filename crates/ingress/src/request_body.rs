//! Reads the bodies of requests.

use actix_web::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING, UPGRADE};
use actix_web::{HttpRequest, web};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;

use crate::error_kind::ErrorKind;
use crate::node::Node;

/// Body limit in bytes while no configuration is known, and for calls of other nodes.
pub(crate) const DEFAULT_BODY_LIMIT: usize = 4 * 1024 * 1024;

/// Limit on the body of a request, in bytes.
pub(crate) fn body_limit(node: &Node) -> usize {
    let configuration = node.view.configuration();
    configuration.map_or(DEFAULT_BODY_LIMIT, |it| it.limits.max_body_bytes)
}

/// Whether a request asks for a WebSocket. The HTTP library neither ends the body of such a request nor frames the answer.
pub(crate) fn asks_for_websocket(request: &HttpRequest) -> bool {
    let offers = request.headers().get_all(UPGRADE);
    let mut offers = offers.filter_map(|value| value.to_str().ok());
    offers.any(|value| value.to_ascii_lowercase().contains("websocket"))
}

/// Reads the body of a request that declares one.
pub(crate) async fn read_declared_body(
    request: &HttpRequest,
    payload: web::Payload,
    limit: usize,
) -> Result<Bytes, ErrorKind> {
    let headers = request.headers();
    match headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING) {
        true => read_body(payload, limit).await,
        false => Ok(Bytes::new()),
    }
}

pub(crate) async fn read_body(mut payload: web::Payload, limit: usize) -> Result<Bytes, ErrorKind> {
    let mut body = BytesMut::new();
    while let Some(piece) = payload.next().await {
        let piece = piece.map_err(|_| ErrorKind::Malformed)?;
        if body.len() + piece.len() > limit {
            return Err(ErrorKind::BodyTooLong);
        }
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}
