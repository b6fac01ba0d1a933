//! Typed decision records, bounded in memory: what was decided, why, and from which inputs.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::rank::{Rank, Ranked};

/// Most records kept in memory.
pub const MAXIMUM_RECORDS: usize = 4096;

/// What a record is about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// A request.
    Request(String),
    /// A batch job.
    Job(String),
    /// A server.
    Server(String),
    /// A node.
    Node(String),
    /// A service.
    Service(String),
    /// A plan.
    Plan(String),
}

/// What was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// A request was refused before anything ran.
    Refused,
    /// A request was placed again after a bounce or a loss.
    PlacedAgain,
    /// Batch work was paused for online work.
    Preempted,
    /// A chunk or a controlled resource was taken over.
    TakenOver,
    /// A result was not committed, since its epoch was old.
    Fenced,
    /// An order was given to an engine.
    Ordered,
    /// A step of a plan was taken or held back.
    PlanStep,
    /// A server or node takes no new work.
    Withdrawn,
    /// A member was suspected, declared dead or came back.
    MemberChanged,
    /// A configuration revision was put in force.
    ConfigurationApplied,
    /// The store gate opened or closed its breaker.
    StoreGate,
    /// A job was accepted, finished, failed or cancelled.
    JobChanged,
    /// A rollout moved forward, was held or was rolled back.
    Rollout,
}

/// One decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Wall-clock time, milliseconds since 1970.
    pub unix_ms: u64,
    /// Node that decided.
    pub node: String,
    /// What was decided.
    pub kind: DecisionKind,
    /// What it is about; several when a decision ties them together.
    pub subjects: Vec<Subject>,
    /// Why, in plain words.
    pub cause: String,
    /// Inputs by name, in the order in which they mattered.
    pub inputs: Vec<(String, String)>,
    /// What came of it.
    pub outcome: String,
}

#[derive(Debug, Default)]
struct Records {
    recent: VecDeque<Decision>,
    unsaved: Vec<Decision>,
    dropped: u64,
}

/// Table of decision records.
pub struct DecisionsTable {
    records: Ranked<Records>,
}

impl Default for DecisionsTable {
    fn default() -> Self {
        Self {
            records: Ranked::new(Rank::Decisions, Records::default()),
        }
    }
}

impl DecisionsTable {
    /// Adds a record; the oldest one goes when the table is full.
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

    /// Records about a subject, oldest first.
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

    /// Takes the records that are not yet in the object store.
    pub fn take_unsaved(&self) -> Vec<Decision> {
        std::mem::take(&mut self.records.lock().unsaved)
    }
}
