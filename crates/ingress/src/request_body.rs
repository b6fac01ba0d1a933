//! Limits on the bodies of requests, and the refusals of those that are not read.

use std::time::Duration;

use actix_web::http::header::UPGRADE;
use actix_web::{HttpRequest, web};
use bytes::Bytes;
use dappleyard_callers::{BodyError, BodyLimits, connection_of, discard_body, read_body};

use crate::error_kind::ErrorKind;
use crate::node::Node;

/// Body limit in bytes while no configuration is known, and for calls of other nodes.
const DEFAULT_BODY_LIMIT: usize = 4 * 1024 * 1024;
/// Time without a byte after which a body is given up, while no configuration is known and for calls of other nodes.
const DEFAULT_STALL: Duration = Duration::from_secs(15);
/// Limits on calls of other nodes.
pub(crate) const PEER_LIMITS: BodyLimits = BodyLimits {
    bytes: DEFAULT_BODY_LIMIT,
    stall: DEFAULT_STALL,
};

/// The operators' limits on bodies of callers.
pub(crate) fn body_limits(node: &Node) -> BodyLimits {
    let Some(configuration) = node.view.configuration() else {
        return PEER_LIMITS;
    };
    let limits = &configuration.limits;
    BodyLimits {
        bytes: limits.max_body_bytes,
        stall: match limits.idle_timeout_ms {
            0 => DEFAULT_STALL,
            idle_ms => Duration::from_millis(idle_ms),
        },
    }
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
    limits: BodyLimits,
) -> Result<Bytes, ErrorKind> {
    let connection = connection_of(request).map(AsRef::as_ref);
    let mut payload = payload.into_inner();
    let read = read_body(connection, request.headers(), &mut payload, limits).await;
    read.map_err(|error| match error {
        BodyError::TooLong => ErrorKind::BodyTooLong,
        BodyError::MemoryShort => ErrorKind::MemoryShort,
        BodyError::Stalled => ErrorKind::BodyTimeout,
        BodyError::Malformed => ErrorKind::Malformed,
    })
}

/// Reads the body of a request that is refused anyway, without keeping it.
pub(crate) async fn discard_declared_body(
    request: &HttpRequest,
    payload: web::Payload,
    limits: BodyLimits,
) {
    let connection = connection_of(request).map(AsRef::as_ref);
    let mut payload = payload.into_inner();
    discard_body(connection, request.headers(), &mut payload, limits).await;
}
