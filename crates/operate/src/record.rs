//! Builder for decision records.

use dappleyard_tables::NodeTables;
use dappleyard_tables::decisions::{Decision, DecisionKind, Subject};

/// Builder of a decision record.
pub struct Record<'a> {
    tables: &'a NodeTables,
    decision: Decision,
}

/// Starts a record of a decision made by this node.
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
    #[must_use]
    pub fn about(mut self, subject: Subject) -> Self {
        self.decision.subjects.push(subject);
        self
    }

    #[must_use]
    pub fn input(mut self, name: &str, value: impl ToString) -> Self {
        self.decision
            .inputs
            .push((name.to_owned(), value.to_string()));
        self
    }

    /// Sets the outcome and stores the record.
    pub fn outcome(mut self, outcome: impl Into<String>) {
        self.decision.outcome = outcome.into();
        self.tables.decisions.record(self.decision);
    }
}
