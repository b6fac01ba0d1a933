//! Finds the response to a request among the responses that arrive on its connection. A faulty server may send others in
//! its place: late ones to earlier requests, or ones that name no request.

use std::time::Duration;

use dappleyard_model::ResponseMetadata;
use dappleyard_upstream::{Connection, RequestBytes, ResponseHead};

use crate::attempt::{AttemptError, Upstreams, exchange_failed, invalid_response};
use crate::metrics::Metrics;

/// Responses to no request or to another one that are discarded on one connection before it is given up.
const MAX_STRAY_RESPONSES: usize = 2;
/// Longest such response that is read and discarded.
pub(crate) const MAX_STRAY_RESPONSE_BYTES: usize = 1024 * 1024;
/// Time to read it. It was sent before the request, so it is there already.
const STRAY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// What a response answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answered {
    /// The request that waits.
    This,
    /// Another request, or none.
    Stray,
    /// No request, on a connection without an earlier one, so it cannot be a late response.
    Unnamed,
}

impl Answered {
    /// Judges a response by the request that it names. Nothing else ties it to a request: neither its status nor its place.
    pub fn by(named: Option<&str>, waiting: &str, is_reused_connection: bool) -> Self {
        match named {
            Some(named) if named == waiting => Self::This,
            Some(_) => Self::Stray,
            None if is_reused_connection => Self::Stray,
            None => Self::Unnamed,
        }
    }
}

impl Upstreams {
    /// Sends the request and returns the head of its response. Stray responses are discarded.
    pub(crate) async fn receive_head(
        &self,
        connection: &mut Connection,
        request: RequestBytes,
        id: &str,
    ) -> Result<(ResponseHead, ResponseMetadata), AttemptError> {
        let mut head = connection.send(request).await.map_err(exchange_failed)?;
        for _ in 0..MAX_STRAY_RESPONSES {
            let facts = self
                .node
                .dialect
                .response_metadata(head.status, &head.headers);
            let named = facts.request_id.as_deref();
            match Answered::by(named, id, connection.is_reused()) {
                Answered::This => return check_success(head, facts),
                Answered::Unnamed => return Err(invalid_response("response without a request ID")),
                Answered::Stray => self.note_stray(connection, id, &head, named),
            }
            discard_body(connection).await?;
            head = connection.next_head().await.map_err(exchange_failed)?;
        }
        Err(invalid_response("only responses to other requests"))
    }

    fn note_stray(
        &self,
        connection: &Connection,
        id: &str,
        head: &ResponseHead,
        named: Option<&str>,
    ) {
        Metrics::count(&self.node.metrics.stray_responses);
        self.node.log.write("answer_of_another_request", || {
            serde_json::json!({"request": id, "answers": named, "status": head.status,
                "reused_connection": connection.is_reused()})
        });
    }
}

/// Reads the body of a stray response and throws it away.
async fn discard_body(connection: &mut Connection) -> Result<(), AttemptError> {
    let discarding = connection.discard_body(MAX_STRAY_RESPONSE_BYTES);
    match tokio::time::timeout(STRAY_RESPONSE_TIMEOUT, discarding).await {
        Ok(discarded) => discarded.map_err(exchange_failed),
        Err(_) => Err(invalid_response("stray response without an end")),
    }
}

/// Rejects a success that cannot be one.
fn check_success(
    head: ResponseHead,
    facts: ResponseMetadata,
) -> Result<(ResponseHead, ResponseMetadata), AttemptError> {
    let is_success = head.status / 100 == 2;
    if is_success && facts.not_run {
        return Err(invalid_response("success of a request that did not run"));
    }
    if is_success && !facts.sealed {
        return Err(invalid_response("successful response without a signature"));
    }
    Ok((head, facts))
}
