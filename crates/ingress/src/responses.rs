//! HTTP responses to clients.

use actix_web::http::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use actix_web::http::{ConnectionType, StatusCode};
use actix_web::{HttpRequest, HttpResponse};
use http::HeaderMap;

use crate::admission::Refusal;
use crate::attempt::is_end_to_end;
use crate::node::Node;

/// Starts a response. A node that shuts down asks the client to close the connection.
pub(crate) fn start_response(node: &Node, status: u16) -> actix_web::HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    if node.is_leaving() {
        response.force_close();
        response.insert_header((CONNECTION, "close"));
    }
    response
}

/// Headers of a client request.
pub(crate) fn header_map(request: &HttpRequest) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(request.headers().len());
    for (name, value) in request.headers() {
        headers.append(name.clone(), value.clone());
    }
    headers
}

/// Copies the end-to-end headers of a server's response.
pub(crate) fn copy_headers(response: &mut actix_web::HttpResponseBuilder, headers: &HeaderMap) {
    for (name, value) in headers {
        if is_end_to_end(name, headers) {
            response.append_header((name.clone(), value.clone()));
        }
    }
}

/// The error response for a request that is not served.
pub(crate) fn error_response(node: &Node, refusal: &Refusal) -> HttpResponse {
    let kind = refusal.kind;
    let mut response = start_response(node, kind.status());
    if let Some(wait) = refusal.retry_after_ms {
        response.insert_header((RETRY_AFTER, format!("{:.3}", wait as f64 / 1000.0)));
    }
    response.json(serde_json::json!({"error": kind.to_string(), "detail": refusal.detail}))
}

/// Ends the connection after a response, since the rest of the request is not read.
pub(crate) fn ending_connection(mut response: HttpResponse) -> HttpResponse {
    let head = response.head_mut();
    head.set_connection_type(ConnectionType::Close);
    head.headers
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
