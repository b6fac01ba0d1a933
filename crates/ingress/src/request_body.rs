//! Reads the bodies of requests.

use actix_web::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
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

/// Reads the body of a request that declares one. The library never ends that of a request which offers an upgrade.
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
