//! Requests that come while the node stops.

use std::sync::Arc;
use std::time::Duration;

use actix_web::{HttpRequest, HttpResponse, web};
use dappleyard_clock::Instant;

use crate::admission::Refusal;
use crate::caller_connection::CallerConnection;
use crate::completion::{ExpectedDuration, TimeLimit, can_finish};
use crate::deadline::Deadline;
use crate::error_kind::ErrorKind;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::refusals::refuse;
use crate::request_body::{body_limit, read_declared_body};
use crate::responses::header_map;

/// Time for which the body of a refused request is still read.
const REFUSED_BODY_TIME: Duration = Duration::from_secs(1);

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

/// The connection of a request; `None` for a call within the process.
pub(crate) fn connection_of(request: &HttpRequest) -> Option<&Arc<CallerConnection>> {
    request.conn_data()
}

/// Refuses a request because the node stops.
pub(crate) async fn refuse_late_request(
    node: &Arc<Node>,
    request: &HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let facts = node.dialect.request_metadata(&header_map(request));
    // A client that still sends may miss a response. The length does not matter, nor how reading ends.
    let deadline = Deadline::new(Instant::now() + REFUSED_BODY_TIME, node.process_end.clone());
    let reading = read_declared_body(request, payload, body_limit(node));
    let _ = deadline.wait(reading).await;
    let refused = Refusal::new(ErrorKind::Stopping, "the node stops");
    refuse(node, &facts.id, &refused)
}

/// Refuses a request that is not expected to end before the process does. `deadline` is the time until its own.
pub(crate) fn check_time_left(
    node: &Node,
    id: &str,
    service: &str,
    tokens_out: u32,
    deadline: Duration,
) -> Result<(), Refusal> {
    let Some(time_left) = node.process_end.time_left() else {
        return Ok(());
    };
    let expected = ExpectedDuration::of(node, service, tokens_out);
    let admitted = can_finish(time_left, TimeLimit::ProcessEnd { deadline }, &expected);
    node.log.write("late_request_checked", || {
        serde_json::json!({"request": id, "admitted": admitted, "tokens_out": tokens_out,
            "process_end_ms": time_left.as_millis() as u64, "deadline_ms": deadline.as_millis() as u64,
            "mean_ms": expected.mean.as_millis() as u64,
            "high_ms": expected.range.map(|range| range.high.as_millis() as u64)})
    });
    match admitted {
        true => Ok(()),
        false => Err(Refusal::new(ErrorKind::Stopping, "the node stops too soon")),
    }
}
