//! Reads request bodies with limits on size and time, and parses them.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::web::{Bytes, Payload};
use dappleyard_callers::{BodyError, BodyLimits, connection_of};
use dappleyard_settings::SidecarSettings;
use dappleyard_wire::{ErrorKind, Failure};
use serde::de::DeserializeOwned;

use crate::error::ApiError;

/// Retry-after hint when the memory for messages of callers is used up.
const MEMORY_RETRY_AFTER_MS: u32 = 500;

/// Reads the complete body. The timeout covers the whole body, so a slow but active sender times out
/// as well.
pub async fn read_body(
    request: &HttpRequest,
    payload: Payload,
    settings: &SidecarSettings,
) -> Result<Bytes, ApiError> {
    let limit = Duration::from_millis(settings.body_timeout_ms);
    let limits = BodyLimits {
        bytes: settings.maximum_body_bytes,
        stall: limit,
    };
    let connection = connection_of(request).map(AsRef::as_ref);
    let mut payload = payload.into_inner();
    let reading =
        dappleyard_callers::read_body(connection, request.headers(), &mut payload, limits);
    let read = tokio::time::timeout(limit, reading).await;
    read.unwrap_or(Err(BodyError::Stalled))
        .map_err(|error| match error {
            BodyError::TooLong => body_too_large(limits.bytes as u64),
            BodyError::MemoryShort => memory_short(),
            BodyError::Stalled => body_timeout(settings.body_timeout_ms),
            BodyError::Malformed => {
                ApiError::invalid("", format!("the body could not be read: {error}"))
            }
        })
}

fn memory_short() -> ApiError {
    tracing::warn!("request refused; the memory for messages of callers is used up");
    let message = "the memory for requests is used up; come back later";
    Failure::not_run(ErrorKind::Overloaded, message)
        .retry_after(MEMORY_RETRY_AFTER_MS)
        .into()
}

pub fn body_timeout(timeout_ms: u64) -> ApiError {
    let message = format!("the body did not arrive within {timeout_ms} ms; send it faster");
    Failure::not_run(ErrorKind::SlowSender, message).into()
}

pub fn body_too_large(limit: u64) -> ApiError {
    let message = format!("the body is larger than {limit} bytes; send less");
    Failure::not_run(ErrorKind::TooLarge, message).into()
}

/// Parses a JSON body. Errors carry the path of the invalid field.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, ApiError> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    let parsed: T = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let path = field_path(error.path());
        let cause = error.inner().to_string();
        let field = missing_field(&cause).map_or(path.clone(), |name| join(&path, name));
        ApiError::invalid(
            field.clone(),
            if field.is_empty() {
                format!("the body is not valid: {cause}")
            } else {
                format!("the body is not valid at {field}: {cause}")
            },
        )
    })?;
    reader
        .end()
        .map_err(|error| ApiError::invalid("", format!("the body has a second value: {error}")))?;
    Ok(parsed)
}

/// Path of the invalid field; empty when the error has no path.
fn field_path(path: &serde_path_to_error::Path) -> String {
    let path = path.to_string();
    if matches!(path.as_str(), "." | "?") {
        return String::new();
    }
    path
}

/// Extracts the field name from serde's "missing field" message.
fn missing_field(cause: &str) -> Option<&str> {
    cause.strip_prefix("missing field `")?.split('`').next()
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
