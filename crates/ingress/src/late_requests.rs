//! Requests that come while the node stops.

use std::sync::Arc;

use actix_web::{HttpRequest, HttpResponse, web};
use dappleyard_callers::{REFUSED_BODY_TIME, connection_of};
use dappleyard_clock::Instant;

use crate::admission::Refusal;
use crate::deadline::Deadline;
use crate::error_kind::ErrorKind;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::refusals::refuse;
use crate::request_body::{body_limits, discard_declared_body};
use crate::responses::header_map;

/// Records a request that came after the stop was asked for, and the age of its connection.
pub(crate) fn note_late_request(node: &Node, request: &HttpRequest) {
    Metrics::count(&node.metrics.requests_while_stopping);
    node.log.write("request_while_stopping", || {
        let age = connection_of(request).map(|it| it.accepted.elapsed());
        let age_ms = age.map(|age| age.as_millis() as u64);
        let facts = node.dialect.request_metadata(&header_map(request));
        serde_json::json!({"request": facts.id, "connection_age_ms": age_ms})
    });
}

/// Refuses a request because the node stops.
pub(crate) async fn refuse_late_request(
    node: &Arc<Node>,
    request: &HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let facts = node.dialect.request_metadata(&header_map(request));
    // A client that still sends may miss a response.
    let deadline = Deadline::new(Instant::now() + REFUSED_BODY_TIME, node.process_end.clone());
    let reading = discard_declared_body(request, payload, body_limits(node));
    // The refusal is sent however the body ends.
    let _ = deadline.wait(reading).await;
    let refused = Refusal::new(ErrorKind::Stopping, "the node stops");
    refuse(node, &facts.id, &refused)
}
