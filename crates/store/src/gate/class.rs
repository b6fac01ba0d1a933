//! Classes of calls, chosen by the rows that a call touches.

use dappleyard_wire::keys;

use crate::tables::{Transaction, Write};

/// Class of a call; the first one goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallClass {
    /// At-most-once records, chunk commits, cancels and acceptance of jobs.
    Promise,
    /// Configuration, plans and epochs.
    Control,
    /// Claims, splits, feeds and reads of batch work.
    Batch,
    /// Decision journal and other things that may wait.
    Journal,
}

impl CallClass {
    /// Share of the burst that stays untouched by this class, percent.
    pub const fn reserve_percent(self) -> u32 {
        match self {
            CallClass::Promise => 0,
            CallClass::Control => 10,
            CallClass::Batch => 20,
            CallClass::Journal => 50,
        }
    }

    /// Name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            CallClass::Promise => "promise",
            CallClass::Control => "control",
            CallClass::Batch => "batch",
            CallClass::Journal => "journal",
        }
    }

    /// Class of a read.
    pub fn of_key(key: &str) -> CallClass {
        let begins = |prefixes: &[&str]| prefixes.iter().any(|prefix| key.starts_with(prefix));
        if begins(&["once/", "client-key/", keys::JOB_PREFIX]) {
            CallClass::Promise
        } else if begins(&[
            keys::CONFIGURATION_PREFIX,
            keys::CONFIGURATION_HEAD,
            keys::PLAN_PREFIX,
            keys::EPOCH_PREFIX,
            keys::REGION_PREFIX,
        ]) {
            CallClass::Control
        } else if begins(&["journal/", "decision/", "decisions/"]) {
            CallClass::Journal
        } else {
            CallClass::Batch
        }
    }

    /// Class of a transaction: the first one among its rows, written or compared. So a chunk commit,
    /// which compares the job row, is a promise, and a claim, which touches chunk rows only, is not.
    pub fn of_transaction(transaction: &Transaction) -> CallClass {
        let compared = transaction.compare.iter().map(|(key, _)| key.as_str());
        let written = transaction.writes.iter().map(|write| match write {
            Write::Put { key, .. } | Write::Delete { key } => key.as_str(),
        });
        let classes = compared.chain(written).map(CallClass::of_key);
        classes.min().unwrap_or(CallClass::Batch)
    }
}
