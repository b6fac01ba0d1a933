//! Errors as callers see them: OpenAI's error object with the kind, what is known of execution, and
//! when to come back.

use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use actix_web::{HttpResponse, ResponseError};
use dappleyard_wire::error::ran_name;
use dappleyard_wire::{ErrorKind, Failure};
use derive_more::{Display, Error};
use serde::Serialize;

/// Header that carries the request id of each answer.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Header that carries the model version of each generation.
pub const VERSION_HEADER: HeaderName = HeaderName::from_static("x-dappleyard-version");
/// Header that carries what is known of whether a failed request ran.
pub const RAN_HEADER: HeaderName = HeaderName::from_static("x-dappleyard-ran");

/// A failure on its way to a caller.
#[derive(Debug, Clone, Display, Error)]
#[display("{failure}")]
pub struct ApiError {
    /// Kind, execution truth, advice and message.
    pub failure: Failure,
    /// Field or header at fault; empty for none.
    pub parameter: String,
    /// Request id; empty when none was given yet.
    pub request_id: String,
}

impl ApiError {
    /// A request that is malformed at `parameter`.
    pub fn invalid(parameter: impl Into<String>, message: impl Into<String>) -> ApiError {
        ApiError {
            failure: Failure::not_run(ErrorKind::InvalidRequest, message),
            parameter: parameter.into(),
            request_id: String::new(),
        }
    }

    /// The same error about the request of this id.
    #[must_use]
    pub fn with_request_id(mut self, request_id: &str) -> ApiError {
        request_id.clone_into(&mut self.request_id);
        self
    }

    /// The body: OpenAI's error object.
    pub fn body(&self) -> ErrorBody<'_> {
        let answer = self.failure.kind.answer();
        ErrorBody {
            error: ErrorObject {
                message: &self.failure.message,
                error_type: answer.error_type,
                param: (!self.parameter.is_empty()).then_some(&self.parameter),
                code: answer.code,
                kind: answer.code,
                ran: ran_name(self.failure.ran),
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
            HeaderValue::from_static(ran_name(self.failure.ran)),
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

/// Body of an error answer.
#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    /// The error.
    pub error: ErrorObject<'a>,
}

/// OpenAI's error object with our additions.
#[derive(Debug, Serialize)]
pub struct ErrorObject<'a> {
    /// One sentence for a person.
    pub message: &'a str,
    /// OpenAI's type.
    #[serde(rename = "type")]
    pub error_type: &'static str,
    /// Field or header at fault.
    pub param: Option<&'a String>,
    /// Stable name of the kind.
    pub code: &'static str,
    /// The same name, under our own key.
    pub kind: &'static str,
    /// Whether the request ran: `no`, `maybe` or `yes`.
    pub ran: &'static str,
    /// When to come back, milliseconds; 0 for no advice.
    pub retry_after_ms: u32,
}
