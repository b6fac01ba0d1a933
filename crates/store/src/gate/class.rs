//! Priority classes of calls, derived from the keys that a call touches.

use dappleyard_wire::keys;

use crate::tables::{Transaction, Write};

/// Priority class of a call, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallClass {
    /// At-most-once records, chunk commits, cancels and acceptance of jobs.
    Critical,
    /// Configuration, plans and epochs.
    Control,
    /// Claims, splits, feeds and reads of batch work.
    Batch,
    /// Decision journal and other deferrable work.
    Journal,
}

impl CallClass {
    /// Share of the burst reserved for higher classes, percent.
    pub const fn reserve_percent(self) -> u32 {
        match self {
            CallClass::Critical => 0,
            CallClass::Control => 10,
            CallClass::Batch => 20,
            CallClass::Journal => 50,
        }
    }

    /// Label in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            CallClass::Critical => "promise",
            CallClass::Control => "control",
            CallClass::Batch => "batch",
            CallClass::Journal => "journal",
        }
    }

    /// Class of a call for a key or key prefix.
    pub fn of_key(key: &str) -> CallClass {
        let has_prefix = |prefixes: &[&str]| prefixes.iter().any(|prefix| key.starts_with(prefix));
        if has_prefix(&["once/", "client-key/", keys::JOB_PREFIX]) {
            CallClass::Critical
        } else if has_prefix(&[
            keys::CONFIGURATION_PREFIX,
            keys::CONFIGURATION_HEAD,
            keys::PLAN_PREFIX,
            keys::EPOCH_PREFIX,
            keys::REGION_PREFIX,
        ]) {
            CallClass::Control
        } else if has_prefix(&["journal/", "decision/", "decisions/"]) {
            CallClass::Journal
        } else {
            CallClass::Batch
        }
    }

    /// Highest class among the rows that a transaction writes or compares. A chunk commit, which compares the job row, thus
    /// ranks above a claim, which touches chunk rows only.
    pub fn of_transaction(transaction: &Transaction) -> CallClass {
        let compared = transaction.compare.iter().map(|(key, _)| key.as_str());
        let written = transaction.writes.iter().map(|write| match write {
            Write::Put { key, .. } | Write::Delete { key } => key.as_str(),
        });
        let classes = compared.chain(written).map(CallClass::of_key);
        classes.min().unwrap_or(CallClass::Batch)
    }
}
