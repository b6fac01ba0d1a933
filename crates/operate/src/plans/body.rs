//! What a plan states, as JSON for programs and as the source of the operators' tables.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use dappleyard_store::Transaction;
use dappleyard_wire::{ErrorKind, Failure};
use serde::{Deserialize, Serialize};

use crate::intent::Intent;
use crate::jobs::JobAtRisk;

/// What a plan states.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanBody {
    /// The plan in one phrase.
    pub summary: String,
    /// Rows that change at confirmation, in words.
    pub changes: Vec<RowChange>,
    /// What happens, in order.
    pub steps: Vec<Step>,
    /// Deadlines that the plan puts at risk.
    pub deadlines_at_risk: Vec<JobAtRisk>,
    /// Requests in progress on the servers that the plan touches.
    pub requests_affected: RequestsAffected,
    /// Expected duration, milliseconds.
    pub expected_ms: u64,
    /// What the operator should know before confirming.
    pub warnings: Vec<String>,
    /// Rows that the plan rests on, in words as they were.
    pub basis: Vec<BasisDescription>,
    /// Regions in which the change must be in force.
    pub regions: Vec<String>,
    /// Services whose capacity the plan takes or changes.
    pub services: Vec<String>,
    /// Writes of the confirmation.
    pub writes: Vec<PlannedWrite>,
}

/// A row before and after, in words.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// Key of the row.
    pub key: String,
    /// Before.
    pub before: String,
    /// After.
    pub after: String,
}

/// One step of a plan.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// What happens.
    pub what: String,
    /// Servers that it puts out, or brings back.
    pub servers: Vec<String>,
    /// What serves meanwhile.
    pub capacity: Vec<CapacityLeft>,
    /// Expected duration, milliseconds.
    pub expected_ms: u64,
}

/// Servers of a service and zone that serve during a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityLeft {
    /// Service.
    pub service: String,
    /// Zone.
    pub zone: String,
    /// Servers that serve during the step.
    pub serving: u32,
    /// Servers that serve before the plan.
    pub before: u32,
}

/// Requests in progress on the servers that a plan touches. None of them is cut.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestsAffected {
    /// Online requests that must end first.
    pub online: usize,
    /// Batch items that must end or move first.
    pub batch: usize,
}

/// A row that the plan rests on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BasisDescription {
    /// Key of the row.
    pub key: String,
    /// Its revision; 0 when it was absent.
    pub revision: u64,
    /// What it said.
    pub words: String,
}

/// One write of the confirmation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedWrite {
    /// Key of the row.
    pub key: String,
    /// New value in base 64; `None` removes the row.
    pub value: Option<String>,
}

impl PlannedWrite {
    /// A write of a message.
    pub fn put(key: String, message: &impl prost::Message) -> PlannedWrite {
        PlannedWrite {
            key,
            value: Some(BASE64.encode(message.encode_to_vec())),
        }
    }

    /// The removal of a row.
    pub fn delete(key: String) -> PlannedWrite {
        PlannedWrite { key, value: None }
    }

    /// New value; `None` removes the row.
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

    /// Adds the write to a transaction.
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
    /// Servers that the plan is for.
    pub servers: usize,
    /// Servers that are done.
    pub done: Vec<String>,
    /// Servers on their way.
    pub in_progress: Vec<String>,
    /// Online requests that still run on servers on their way.
    pub online: usize,
    /// Batch items that still run there.
    pub batch: usize,
    /// What the plan waits for; empty for nothing.
    pub waiting_for: String,
}

/// A plan as operators get it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanDocument {
    /// Plan id.
    pub id: String,
    /// Kind of its intent.
    pub kind: String,
    /// `proposed`, `confirmed`, `running`, `done`, `aborted`, `failed` or `overtaken`.
    pub phase: String,
    /// What the operator asked for.
    pub intent: Intent,
    /// What the plan states.
    pub body: PlanBody,
    /// How far it has come.
    pub progress: Progress,
    /// What happened to it last, in words.
    pub message: String,
    /// Who asked for it.
    pub created_by: String,
    /// When, milliseconds since 1970.
    pub created_unix_ms: u64,
    /// When it changed last, milliseconds since 1970.
    pub changed_unix_ms: u64,
}
