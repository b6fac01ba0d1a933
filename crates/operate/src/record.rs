//! Decision records of this crate.

use dappleyard_tables::NodeTables;
use dappleyard_tables::decisions::{Decision, DecisionKind, Subject};

/// A decision record in the making.
pub struct Record<'a> {
    tables: &'a NodeTables,
    decision: Decision,
}

/// Begins the record of a decision of this node.
pub fn record(tables: &NodeTables, kind: DecisionKind, cause: impl Into<String>) -> Record<'_> {
    Record {
        decision: Decision {
            unix_ms: tables.clock.unix_ms(),
            node: tables.identity.node.to_string(),
            kind,
            subjects: Vec::new(),
            cause: cause.into(),
            inputs: Vec::new(),
            outcome: String::new(),
        },
        tables,
    }
}

impl Record<'_> {
    /// Adds a subject.
    #[must_use]
    pub fn about(mut self, subject: Subject) -> Self {
        self.decision.subjects.push(subject);
        self
    }

    /// Adds an input.
    #[must_use]
    pub fn input(mut self, name: &str, value: impl ToString) -> Self {
        self.decision
            .inputs
            .push((name.to_owned(), value.to_string()));
        self
    }

    /// States the outcome and keeps the record.
    pub fn outcome(mut self, outcome: impl Into<String>) {
        self.decision.outcome = outcome.into();
        self.tables.decisions.record(self.decision);
    }
}
