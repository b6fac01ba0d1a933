//! Request and response bodies of the admin API, shared with its client.

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, ResponseError};
use dappleyard_wire::error::ran_label;
use dappleyard_wire::messages::{DrainRow, ServiceRow, TenantRow, WindowRow};
use dappleyard_wire::{ErrorKind, Failure};
use serde::{Deserialize, Serialize};

use crate::describe::describe_row;
use crate::intent::Intent;
use crate::plans::confirm::{ChangedRow, Refusal};

/// Body of `POST /admin/v1/plans`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProposeBody {
    pub intent: Intent,
    /// Name of the operator.
    #[serde(default)]
    pub operator: String,
}

/// Body of `POST /admin/v1/plans/{id}/confirm`; optional.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmBody {
    /// Idempotency token chosen by the client.
    #[serde(default)]
    pub token: String,
}

/// Body of every error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    pub error: ErrorDetail,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable name of the error kind.
    pub code: String,
    /// Explanation with a suggested action.
    pub message: String,
    /// Whether the change took effect: `no`, `maybe` or `yes`.
    pub ran: String,
    /// Suggested delay before a retry; 0 for none.
    pub retry_after_ms: u32,
    /// Rows that changed since the plan was made.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<ChangedRow>,
}

/// A refusal as an HTTP error response.
#[derive(Debug, Clone, derive_more::Display)]
#[display("{}", _0.failure)]
pub struct Refused(pub Refusal);

impl From<Failure> for Refused {
    fn from(failure: Failure) -> Self {
        Refused(failure.into())
    }
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Refused(refusal)
    }
}

impl ResponseError for Refused {
    fn status_code(&self) -> StatusCode {
        let status = self.0.failure.kind.answer().status;
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn error_response(&self) -> HttpResponse {
        let failure = &self.0.failure;
        HttpResponse::build(self.status_code()).json(ErrorBody {
            error: ErrorDetail {
                code: failure.kind.answer().code.to_owned(),
                message: failure.message.clone(),
                ran: ran_label(failure.ran).to_owned(),
                retry_after_ms: failure.retry_after_ms,
                changed: self.0.changed.clone(),
            },
        })
    }
}

/// Error for a malformed request.
pub fn invalid(message: impl Into<String>) -> Refused {
    Failure::not_run(ErrorKind::InvalidRequest, message).into()
}

/// Description of a configuration row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationRow {
    pub key: String,
    /// Description of the value.
    pub words: String,
}

/// Configuration in force on the responding node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationBody {
    pub revision: u64,
    pub rows: Vec<ConfigurationRow>,
}

/// Describes all configuration rows.
pub fn configuration_rows(
    configuration: &dappleyard_tables::configuration::Configuration,
) -> Vec<ConfigurationRow> {
    use dappleyard_wire::keys;
    use prost::Message;
    let line = |key: String, value: Vec<u8>| ConfigurationRow {
        words: describe_row(&key, Some(&value)),
        key,
    };
    let services = configuration.services.values();
    let tenants = configuration.tenants.values();
    let drains = configuration.drains.values();
    let windows = configuration.windows.values();
    let mut lines: Vec<ConfigurationRow> = Vec::new();
    lines.extend(
        services.map(|row: &ServiceRow| line(keys::service(&row.name), row.encode_to_vec())),
    );
    lines.extend(tenants.map(|row: &TenantRow| line(keys::tenant(&row.name), row.encode_to_vec())));
    lines.extend(
        drains.map(|row: &DrainRow| line(keys::drain(&row.kind, &row.name), row.encode_to_vec())),
    );
    lines.extend(windows.map(|row: &WindowRow| line(keys::window(&row.name), row.encode_to_vec())));
    lines
}
