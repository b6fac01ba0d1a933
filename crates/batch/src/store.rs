//! Typed rows of the table service, and conditional writes that resolve lost responses by reading
//! the row back.

use std::time::Duration;

use bytes::Bytes;
use dappleyard_store::{StoreError, TableStore, Transaction};
use dappleyard_wire::{ErrorKind, Failure};
use prost::Message;
use rand::Rng;

/// A decoded row with its revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<M> {
    pub row: M,
    /// Revision of the transaction that last wrote the row.
    pub revision: u64,
}

/// Reads one row; `None` when it is absent. A row that does not decode is
/// [`StoreError::Invalid`].
pub async fn read_row<M: Message + Default>(
    tables: &dyn TableStore,
    key: &str,
) -> Result<Option<Versioned<M>>, StoreError> {
    match tables.get(key).await? {
        None => Ok(None),
        Some(row) => decode(key, &row.value, row.revision).map(Some),
    }
}

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

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect, possibly in an earlier attempt whose response was lost.
    Written {
        /// Revision of the written rows.
        revision: u64,
    },
    /// A condition did not hold; nothing was written.
    Conflict,
}

/// Attempts to write before an unresolved outcome is returned as [`StoreError::Ambiguous`].
const RESOLVE_ATTEMPTS: u32 = 5;
/// Base of the exponential backoff between attempts, milliseconds.
const RESOLVE_BACKOFF_MS: u64 = 50;

/// Sends a conditional write and retries it when the response is lost. If a retry conflicts, the
/// row under `key` is read back and `is_own_value` tells whether it holds the value of this write.
/// Retrying is safe because the conditions hold at most once.
///
/// # Errors
/// [`StoreError::Ambiguous`] if it is unknown whether the write took effect. After any other error,
/// nothing was written.
pub async fn transact_resolved(
    tables: &dyn TableStore,
    transaction: &Transaction,
    key: &str,
    is_own_value: impl Fn(&Bytes) -> bool,
) -> Result<WriteOutcome, StoreError> {
    let mut ambiguous = false;
    let mut last_reason = None;
    for attempt in 0..RESOLVE_ATTEMPTS {
        if attempt > 0 {
            sleep_jittered(RESOLVE_BACKOFF_MS << attempt).await;
        }
        match tables.transact(transaction.clone()).await {
            Ok(revision) => return Ok(WriteOutcome::Written { revision }),
            Err(StoreError::Conflict { .. }) if !ambiguous => return Ok(WriteOutcome::Conflict),
            Err(StoreError::Conflict { .. }) => {
                if let Ok(read) = read_back(tables, key, &is_own_value).await {
                    return Ok(read);
                }
            }
            Err(StoreError::Ambiguous { reason }) => {
                ambiguous = true;
                last_reason = Some(reason);
            }
            Err(error) if !ambiguous => return Err(error),
            Err(error) => last_reason = Some(error.to_string()),
        }
    }
    Err(StoreError::Ambiguous {
        reason: last_reason.unwrap_or_default(),
    })
}

async fn read_back(
    tables: &dyn TableStore,
    key: &str,
    is_own_value: &impl Fn(&Bytes) -> bool,
) -> Result<WriteOutcome, StoreError> {
    Ok(match tables.get(key).await? {
        Some(row) if is_own_value(&row.value) => WriteOutcome::Written {
            revision: row.revision,
        },
        _ => WriteOutcome::Conflict,
    })
}

/// Sleeps for a random time between half of `milliseconds` and all of it.
pub async fn sleep_jittered(milliseconds: u64) {
    let jittered = rand::rng().random_range(milliseconds / 2..=milliseconds.max(1));
    tokio::time::sleep(Duration::from_millis(jittered)).await;
}

/// Converts a store error to the failure that the caller receives.
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

/// `retry_after` sent to callers while the store is unavailable, milliseconds.
const STORE_RETRY_AFTER_MS: u32 = 1_000;
