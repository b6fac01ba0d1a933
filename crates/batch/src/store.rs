//! Typed rows of the table service, and writes whose lost answers are resolved by reading back.

use std::time::Duration;

use bytes::Bytes;
use dappleyard_store::{StoreError, TableStore, Transaction};
use dappleyard_wire::{ErrorKind, Failure};
use prost::Message;
use rand::Rng;

/// A row as read: its message and the revision at which it was written.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<M> {
    /// The row.
    pub row: M,
    /// Revision at which it was written.
    pub revision: u64,
}

/// Reads one row; `None` when it is absent. A row that does not decode counts as an invalid answer.
pub async fn read_row<M: Message + Default>(
    tables: &dyn TableStore,
    key: &str,
) -> Result<Option<Versioned<M>>, StoreError> {
    match tables.get(key).await? {
        None => Ok(None),
        Some(row) => decode(key, &row.value, row.revision).map(Some),
    }
}

/// Decodes a row's value.
pub fn decode<M: Message + Default>(
    key: &str,
    value: &Bytes,
    revision: u64,
) -> Result<Versioned<M>, StoreError> {
    match M::decode(value.clone()) {
        Ok(row) => Ok(Versioned { row, revision }),
        Err(error) => Err(StoreError::Invalid {
            reason: format!("row {key} does not decode: {error}"),
        }),
    }
}

/// What became of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// It took effect, now or under an answer that was lost.
    Yes {
        /// Revision of the written rows.
        revision: u64,
    },
    /// A row had changed: nothing was written.
    Conflict,
}

/// Attempts to resolve a write whose answer was lost before the caller is told that it is unknown.
const RESOLVE_ATTEMPTS: u32 = 5;
/// First wait between two attempts, milliseconds; doubles with each.
const RESOLVE_WAIT_MS: u64 = 50;

/// Sends a conditional write. When an answer is lost, the row under `key` is read back: `ours` says
/// whether it holds what this write puts there. Repeating the write is safe, since its comparisons
/// hold at most once.
///
/// # Errors
/// [`StoreError::Ambiguous`] when it could not be learnt whether the write took effect; any other
/// error when it is certain that nothing was written.
pub async fn apply(
    tables: &dyn TableStore,
    transaction: &Transaction,
    key: &str,
    ours: impl Fn(&Bytes) -> bool,
) -> Result<Applied, StoreError> {
    let mut lost = false;
    let mut last = None;
    for attempt in 0..RESOLVE_ATTEMPTS {
        if attempt > 0 {
            wait_jittered(RESOLVE_WAIT_MS << attempt).await;
        }
        match tables.transact(transaction.clone()).await {
            Ok(revision) => return Ok(Applied::Yes { revision }),
            Err(StoreError::Conflict { .. }) if !lost => return Ok(Applied::Conflict),
            Err(StoreError::Conflict { .. }) => {
                if let Ok(read) = read_back(tables, key, &ours).await {
                    return Ok(read);
                }
            }
            Err(StoreError::Ambiguous { reason }) => {
                lost = true;
                last = Some(reason);
            }
            Err(error) if !lost => return Err(error),
            Err(error) => last = Some(error.to_string()),
        }
    }
    Err(StoreError::Ambiguous {
        reason: last.unwrap_or_default(),
    })
}

async fn read_back(
    tables: &dyn TableStore,
    key: &str,
    ours: &impl Fn(&Bytes) -> bool,
) -> Result<Applied, StoreError> {
    Ok(match tables.get(key).await? {
        Some(row) if ours(&row.value) => Applied::Yes {
            revision: row.revision,
        },
        _ => Applied::Conflict,
    })
}

/// Waits between half of and the whole of some milliseconds.
pub async fn wait_jittered(milliseconds: u64) {
    let jittered = rand::rng().random_range(milliseconds / 2..=milliseconds.max(1));
    tokio::time::sleep(Duration::from_millis(jittered)).await;
}

/// The answer to a caller whose call needed the store and failed.
pub fn failure(error: &StoreError) -> Failure {
    match error {
        StoreError::RateLimited { retry_after_ms } => {
            Failure::not_run(ErrorKind::StoreUnavailable, error.to_string())
                .retry_after(*retry_after_ms)
        }
        StoreError::Ambiguous { .. } => {
            Failure::maybe_ran(ErrorKind::StoreUnavailable, error.to_string())
                .retry_after(STORE_RETRY_AFTER_MS)
        }
        StoreError::Unavailable { .. } => {
            Failure::not_run(ErrorKind::StoreUnavailable, error.to_string())
                .retry_after(STORE_RETRY_AFTER_MS)
        }
        StoreError::Conflict { .. } => Failure::not_run(ErrorKind::Conflict, error.to_string()),
        StoreError::Invalid { .. } => Failure::not_run(ErrorKind::Internal, error.to_string()),
    }
}

/// Advice to callers while the store does not answer, milliseconds.
const STORE_RETRY_AFTER_MS: u32 = 1_000;
