//! Request headers that select class, tenant, session, deadline and repeat policy.

use std::time::Duration;

use actix_web::http::header::{HeaderMap, HeaderName};
use dappleyard_settings::SidecarSettings;
use dappleyard_wire::ids::RequestId;
use dappleyard_wire::{Class, Repeat};

use dappleyard_clock::Instant;

use crate::error::ApiError;

/// Service class: `online` (default) or `batch`.
pub const CLASS: HeaderName = HeaderName::from_static("dappleyard-class");
pub const TENANT: HeaderName = HeaderName::from_static("dappleyard-tenant");
/// Session key; requests of one conversation share it.
pub const SESSION: HeaderName = HeaderName::from_static("dappleyard-session");
/// Time limit for the complete response, milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("dappleyard-deadline-ms");
/// Whether the request may run more than once: `allowed` (default) or `never`.
pub const REPEAT: HeaderName = HeaderName::from_static("dappleyard-repeat");
/// Idempotency key of a `never` request or of a batch job.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Request id: 32 lower-case hexadecimal digits.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("dappleyard-request-id");

/// Maximum length of a tenant, session or key.
pub const MAXIMUM_NAME_BYTES: usize = 128;
const REQUEST_ID_DIGITS: usize = 32;
/// One day.
const MAXIMUM_DEADLINE_MS: u32 = 86_400_000;

/// Parsed request headers, with defaults applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Taken from the header, or generated.
    pub request_id: String,
    pub class: Class,
    pub tenant: String,
    /// Empty for none.
    pub session: String,
    pub deadline_ms: u32,
    pub repeat: Repeat,
    /// Empty for none.
    pub idempotency_key: String,
}

impl CallerHeaders {
    /// Parses and validates the headers.
    pub fn read(
        headers: &HeaderMap,
        settings: &SidecarSettings,
    ) -> Result<CallerHeaders, ApiError> {
        let read = CallerHeaders {
            request_id: request_id(headers)?,
            class: match header_text(headers, &CLASS)? {
                None | Some("online") => Class::Online,
                Some("batch") => Class::Batch,
                Some(other) => return Err(invalid_header(&CLASS, other, "online or batch")),
            },
            tenant: name_header(headers, &TENANT)?
                .unwrap_or_else(|| settings.default_tenant.clone()),
            session: name_header(headers, &SESSION)?.unwrap_or_default(),
            deadline_ms: deadline(headers, settings)?,
            repeat: match header_text(headers, &REPEAT)? {
                None | Some("allowed") => Repeat::Allowed,
                Some("never") => Repeat::Never,
                Some(other) => return Err(invalid_header(&REPEAT, other, "allowed or never")),
            },
            idempotency_key: name_header(headers, &IDEMPOTENCY_KEY)?.unwrap_or_default(),
        };
        Ok(read)
    }

    /// Deadline of the complete response, counted from now.
    pub fn deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(u64::from(self.deadline_ms))
    }
}

fn header_text<'a>(
    headers: &'a HeaderMap,
    header: &HeaderName,
) -> Result<Option<&'a str>, ApiError> {
    let mut values = headers.get_all(header);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(ApiError::invalid(
            header.as_str(),
            format!("the header {header} is given more than once"),
        ));
    }
    match value.to_str() {
        Ok(value) => Ok(Some(value.trim())),
        Err(_) => Err(ApiError::invalid(
            header.as_str(),
            format!("the header {header} is not plain text"),
        )),
    }
}

fn name_header(headers: &HeaderMap, header: &HeaderName) -> Result<Option<String>, ApiError> {
    let Some(value) = header_text(headers, header)? else {
        return Ok(None);
    };
    if is_valid_name(value) {
        return Ok(Some(value.to_owned()));
    }
    Err(invalid_header(
        header,
        value,
        "1 to 128 letters, digits or any of - _ . : @ +",
    ))
}

/// Whether `text` is valid as a tenant, session, key or id.
pub fn is_valid_name(text: &str) -> bool {
    let fits = !text.is_empty() && text.len() <= MAXIMUM_NAME_BYTES;
    fits && text.chars().all(is_valid_name_char)
}

/// `/` is excluded because it separates the components of a row key.
fn is_valid_name_char(character: char) -> bool {
    character.is_ascii_alphanumeric() || "-_.:@+".contains(character)
}

fn request_id(headers: &HeaderMap) -> Result<String, ApiError> {
    let Some(value) = header_text(headers, &REQUEST_ID)? else {
        return Ok(RequestId::random().to_string());
    };
    let is_digit = |digit: char| digit.is_ascii_digit() || ('a'..='f').contains(&digit);
    if value.len() == REQUEST_ID_DIGITS && value.chars().all(is_digit) {
        return Ok(value.to_owned());
    }
    Err(invalid_header(
        &REQUEST_ID,
        value,
        "32 lower-case hexadecimal digits",
    ))
}

fn deadline(headers: &HeaderMap, settings: &SidecarSettings) -> Result<u32, ApiError> {
    let Some(value) = header_text(headers, &DEADLINE)? else {
        return Ok(settings.default_deadline_ms);
    };
    match value.parse::<u32>() {
        Ok(milliseconds @ 1..=MAXIMUM_DEADLINE_MS) => Ok(milliseconds),
        _ => Err(invalid_header(
            &DEADLINE,
            value,
            "1 to 86400000 milliseconds",
        )),
    }
}

fn invalid_header(header: &HeaderName, value: &str, expected: &str) -> ApiError {
    let shown: String = value.chars().take(64).collect();
    ApiError::invalid(
        header.as_str(),
        format!("the header {header} is {shown:?}, but must be {expected}"),
    )
}
