//! JSON form of a plan: its stored body and the document returned to operators.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use dappleyard_store::Transaction;
use dappleyard_wire::{ErrorKind, Failure};
use serde::{Deserialize, Serialize};

use crate::intent::Intent;
use crate::jobs::JobAtRisk;

/// Contents of a plan, stored as JSON in the plan row.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanBody {
    /// One-line summary.
    pub summary: String,
    /// Descriptions of the rows that the confirmation changes.
    pub changes: Vec<RowChange>,
    /// Steps in order of execution.
    pub steps: Vec<Step>,
    /// Batch jobs that may miss their deadline because of the plan.
    pub deadlines_at_risk: Vec<JobAtRisk>,
    /// Requests in progress on the affected servers.
    pub requests_affected: RequestsAffected,
    pub expected_ms: u64,
    /// Warnings to show before confirmation.
    pub warnings: Vec<String>,
    /// Rows that the plan was computed from, as described at that time.
    pub basis: Vec<BasisDescription>,
    /// Regions that must apply the change.
    pub regions: Vec<String>,
    /// Services whose capacity the plan changes.
    pub services: Vec<String>,
    /// Rows that the confirmation writes.
    pub writes: Vec<PlannedWrite>,
}

/// Description of a row before and after the confirmation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    pub key: String,
    pub before: String,
    pub after: String,
}

/// One step of a plan.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Description of the action.
    pub what: String,
    /// Servers that the step takes out of service or returns to it.
    pub servers: Vec<String>,
    /// Serving capacity during the step.
    pub capacity: Vec<CapacityLeft>,
    pub expected_ms: u64,
}

/// Number of servers of a service in a zone that keep serving during a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityLeft {
    pub service: String,
    pub zone: String,
    pub serving: u32,
    /// Serving servers before the plan starts.
    pub before: u32,
}

/// Requests in progress on the affected servers. A plan interrupts none of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestsAffected {
    /// Online requests that must finish first.
    pub online: usize,
    /// Batch items that must finish or be moved first.
    pub batch: usize,
}

/// A row that the plan was computed from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BasisDescription {
    pub key: String,
    /// Revision; 0 if the row did not exist.
    pub revision: u64,
    /// Description of its contents.
    pub words: String,
}

/// A row written or deleted by the confirmation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedWrite {
    pub key: String,
    /// New value in base64; `None` deletes the row.
    pub value: Option<String>,
}

impl PlannedWrite {
    pub fn put(key: String, message: &impl prost::Message) -> PlannedWrite {
        PlannedWrite {
            key,
            value: Some(BASE64.encode(message.encode_to_vec())),
        }
    }

    pub fn delete(key: String) -> PlannedWrite {
        PlannedWrite { key, value: None }
    }

    /// Decoded value; `None` deletes the row.
    pub fn bytes(&self) -> Result<Option<Vec<u8>>, Failure> {
        let Some(text) = &self.value else {
            return Ok(None);
        };
        let bytes = BASE64.decode(text).map_err(|error| {
            Failure::not_run(
                ErrorKind::Internal,
                format!("the plan cannot be read: {error}"),
            )
        })?;
        Ok(Some(bytes))
    }

    pub fn add_to(&self, transaction: Transaction) -> Result<Transaction, Failure> {
        Ok(match self.bytes()? {
            Some(bytes) => transaction.put(self.key.clone(), bytes),
            None => transaction.delete(self.key.clone()),
        })
    }
}

/// Progress of a running plan.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Number of servers in the plan.
    pub servers: usize,
    /// Servers that are finished.
    pub done: Vec<String>,
    /// Servers being drained or loaded.
    pub in_progress: Vec<String>,
    /// Online requests still running on the servers in progress.
    pub online: usize,
    /// Batch items still running on the servers in progress.
    pub batch: usize,
    /// Condition that blocks the plan; empty if none.
    pub waiting_for: String,
}

/// A plan as returned by the admin API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanDocument {
    pub id: String,
    pub kind: String,
    /// `proposed`, `confirmed`, `running`, `done`, `aborted`, `failed` or `overtaken`.
    pub phase: String,
    /// Requested change.
    pub intent: Intent,
    pub body: PlanBody,
    pub progress: Progress,
    /// Description of the last state change.
    pub message: String,
    /// Name of the operator.
    pub created_by: String,
    pub created_unix_ms: u64,
    pub changed_unix_ms: u64,
}
