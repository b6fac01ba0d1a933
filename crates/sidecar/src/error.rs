//! Error responses: OpenAI's error object, extended by the kind, whether the request ran, and a
//! retry-after hint.

use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use actix_web::{HttpResponse, ResponseError};
use dappleyard_wire::error::ran_label;
use dappleyard_wire::{ErrorKind, Failure};
use derive_more::{Display, Error};
use serde::Serialize;

/// Response header with the request id.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Response header with the model version of a generation.
pub const VERSION_HEADER: HeaderName = HeaderName::from_static("x-dappleyard-version");
/// Response header that states whether a failed request ran: `no`, `maybe` or `yes`.
pub const RAN_HEADER: HeaderName = HeaderName::from_static("x-dappleyard-ran");

/// A failure with the details of its HTTP response.
#[derive(Debug, Clone, Display, Error)]
#[display("{failure}")]
pub struct ApiError {
    pub failure: Failure,
    /// Invalid field or header; empty for none.
    pub parameter: String,
    /// Empty if the failure occurred before an id was assigned.
    pub request_id: String,
}

impl ApiError {
    /// An invalid request; `parameter` names the invalid field or header.
    pub fn invalid(parameter: impl Into<String>, message: impl Into<String>) -> ApiError {
        ApiError {
            failure: Failure::not_run(ErrorKind::InvalidRequest, message),
            parameter: parameter.into(),
            request_id: String::new(),
        }
    }

    #[must_use]
    pub fn with_request_id(mut self, request_id: &str) -> ApiError {
        request_id.clone_into(&mut self.request_id);
        self
    }

    pub fn body(&self) -> ErrorBody<'_> {
        let answer = self.failure.kind.answer();
        ErrorBody {
            error: ErrorObject {
                message: &self.failure.message,
                error_type: answer.error_type,
                param: (!self.parameter.is_empty()).then_some(&self.parameter),
                code: answer.code,
                kind: answer.code,
                ran: ran_label(self.failure.ran),
                retry_after_ms: self.failure.retry_after_ms,
            },
        }
    }
}

impl From<Failure> for ApiError {
    fn from(failure: Failure) -> Self {
        ApiError {
            failure,
            parameter: String::new(),
            request_id: String::new(),
        }
    }
}

impl ResponseError for ApiError {
    fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.failure.kind.answer().status)
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status_code());
        response.insert_header((
            RAN_HEADER,
            HeaderValue::from_static(ran_label(self.failure.ran)),
        ));
        if self.failure.retry_after_ms > 0 {
            let seconds = self.failure.retry_after_ms.div_ceil(1000);
            response.insert_header((RETRY_AFTER, seconds));
        }
        if let Ok(id) = HeaderValue::from_str(&self.request_id) {
            response.insert_header((REQUEST_ID_HEADER, id));
        }
        response.json(self.body())
    }
}

#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    pub error: ErrorObject<'a>,
}

/// OpenAI's error object with extensions.
#[derive(Debug, Serialize)]
pub struct ErrorObject<'a> {
    /// Human-readable message.
    pub message: &'a str,
    /// Error type as defined by OpenAI.
    #[serde(rename = "type")]
    pub error_type: &'static str,
    /// Invalid field or header.
    pub param: Option<&'a String>,
    /// Stable name of the error kind.
    pub code: &'static str,
    /// Same as `code`.
    pub kind: &'static str,
    /// Whether the request ran: `no`, `maybe` or `yes`.
    pub ran: &'static str,
    /// Retry-after hint, milliseconds; 0 for none.
    pub retry_after_ms: u32,
}
