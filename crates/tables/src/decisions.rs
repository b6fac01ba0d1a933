//! Bounded in-memory log of decisions with their causes and inputs.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::rank::{Rank, RankedMutex};

pub const MAXIMUM_RECORDS: usize = 4096;

/// Subject of a decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    Request(String),
    Job(String),
    Server(String),
    Node(String),
    Service(String),
    Plan(String),
}

/// Kind of decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// A request was refused before anything ran.
    Refused,
    /// A request was placed again after a rejection or a lost server.
    PlacedAgain,
    /// Batch work was preempted by online work.
    Preempted,
    /// A chunk or a controlled resource was taken over from another node.
    TakenOver,
    /// A result was not committed because its epoch was outdated.
    Fenced,
    /// A command was sent to an engine.
    Ordered,
    /// A step of a plan was executed or held back.
    PlanStep,
    /// A server or node stopped taking new work.
    Withdrawn,
    /// A member was suspected, declared dead or recovered.
    MemberChanged,
    /// A configuration revision took effect.
    ConfigurationApplied,
    /// The circuit breaker of a store opened or closed.
    StoreGate,
    /// A job was accepted, finished, failed or cancelled.
    JobChanged,
    /// A rollout advanced, was paused or was rolled back.
    Rollout,
}

/// Record of a decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Wall-clock time in Unix milliseconds.
    pub unix_ms: u64,
    /// Node that decided.
    pub node: String,
    /// Kind of decision.
    pub kind: DecisionKind,
    /// Everything that the decision concerns.
    pub subjects: Vec<Subject>,
    /// Human-readable reason.
    pub cause: String,
    /// Names and values of the inputs, in order of importance.
    pub inputs: Vec<(String, String)>,
    /// Human-readable result.
    pub outcome: String,
}

#[derive(Debug, Default)]
struct Records {
    recent: VecDeque<Decision>,
    unsaved: Vec<Decision>,
    dropped: u64,
}

pub struct DecisionsTable {
    records: RankedMutex<Records>,
}

impl Default for DecisionsTable {
    fn default() -> Self {
        Self {
            records: RankedMutex::new(Rank::Decisions, Records::default()),
        }
    }
}

impl DecisionsTable {
    /// Adds a record and drops the oldest one when the table is full. If too many records are unsaved, the new one is kept in
    /// memory only.
    pub fn record(&self, decision: Decision) {
        let mut records = self.records.lock();
        if records.recent.len() == MAXIMUM_RECORDS {
            records.recent.pop_front();
        }
        if records.unsaved.len() < MAXIMUM_RECORDS {
            records.unsaved.push(decision.clone());
        } else {
            records.dropped += 1;
        }
        records.recent.push_back(decision);
    }

    /// Records of a subject, oldest first.
    pub fn about(&self, subject: &Subject) -> Vec<Decision> {
        let records = self.records.lock();
        records
            .recent
            .iter()
            .filter(|decision| decision.subjects.contains(subject))
            .cloned()
            .collect()
    }

    /// The most recent records, oldest first.
    pub fn recent(&self, limit: usize) -> Vec<Decision> {
        let records = self.records.lock();
        let skipped = records.recent.len().saturating_sub(limit);
        records.recent.iter().skip(skipped).cloned().collect()
    }

    /// Takes the records added since the last call, to be written to the object store.
    pub fn take_unsaved(&self) -> Vec<Decision> {
        std::mem::take(&mut self.records.lock().unsaved)
    }
}
