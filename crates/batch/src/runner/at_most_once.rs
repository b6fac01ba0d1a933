//! At-most-once items. Each is durably marked as started in the chunk row, under the holder's
//! epoch, before it is sent to an engine.

use std::rc::Rc;

use dappleyard_decide::chunks;
use dappleyard_store::tables::Expect;
use dappleyard_store::{StoreError, Transaction};
use dappleyard_wire::keys;
use dappleyard_wire::messages::{ChunkPhase, ChunkRow};
use prost::Message;

use super::Runner;
use super::work::{HeldChunk, StopReason};
use crate::store::{self, Versioned, WriteOutcome, sleep_jittered};

/// Maximum time from the request that confirmed the epoch to the start of an item, milliseconds. A
/// holder that was suspended for longer checks the epoch again.
const MARK_VALID_MS: u64 = 500;

/// Result of marking an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mark {
    /// The mark is in the row and this node holds the chunk.
    Durable,
    /// The row had changed but this node still holds the chunk; the mark must be retried.
    RowChanged,
    /// This node no longer holds the chunk.
    Fenced,
}

impl Runner {
    /// Marks an item as started. Returns whether it may start now: the mark is durable and this
    /// node held the chunk within the last [`MARK_VALID_MS`].
    pub(super) async fn mark_started(&self, chunk: &Rc<HeldChunk>, index: u32) -> bool {
        loop {
            if chunk.is_stopped() {
                return false;
            }
            let _guard = chunk.mark_lock.lock().await;
            let asked_at = self.tables.clock.now();
            match self.mark(chunk, index).await {
                Ok(Mark::Durable) if self.tables.clock.now().since(asked_at) <= MARK_VALID_MS => {
                    return !chunk.is_stopped();
                }
                Ok(Mark::Durable | Mark::RowChanged) => {}
                Ok(Mark::Fenced) => {
                    chunk.stop(StopReason::Fenced);
                    self.metrics.count_chunk("fenced");
                    self.remove_chunk(&chunk.chunk_id());
                    return false;
                }
                Err(error) => {
                    tracing::debug!(%error, job = %chunk.job, "failed to mark an item; retrying");
                    sleep_jittered(self.settings.poll_interval_ms).await;
                }
            }
        }
    }

    /// Writes the mark, or rereads the chunk row if the item is already marked.
    async fn mark(&self, chunk: &HeldChunk, index: u32) -> Result<Mark, StoreError> {
        let known = chunk.row.borrow().clone();
        let marked = chunks::mark_started(&known.row, index);
        let key = keys::chunk(&chunk.job, chunk.index);
        if marked == known.row {
            let held = self.refresh_row(chunk, &key).await?;
            return Ok(if held { Mark::Durable } else { Mark::Fenced });
        }
        let transaction = Transaction::default()
            .expect(key.as_str(), Expect::Revision(known.revision))
            .put(key.as_str(), marked.encode_to_vec());
        let applied =
            store::transact_resolved(&*self.platform.tables, &transaction, &key, |value| {
                ChunkRow::decode(value.clone()).is_ok_and(|written| written == marked)
            });
        match applied.await? {
            WriteOutcome::Written { revision } => {
                let row = marked;
                *chunk.row.borrow_mut() = Versioned { row, revision };
                Ok(Mark::Durable)
            }
            WriteOutcome::Conflict => {
                let held = self.refresh_row(chunk, &key).await?;
                Ok(if held { Mark::RowChanged } else { Mark::Fenced })
            }
        }
    }

    /// Rereads the chunk row. Returns whether this node still holds the chunk.
    async fn refresh_row(&self, chunk: &HeldChunk, key: &str) -> Result<bool, StoreError> {
        let read = store::read_row::<ChunkRow>(&*self.platform.tables, key).await?;
        let Some(read) = read else {
            return Ok(false);
        };
        let held = read.row.epoch == chunk.epoch && read.row.phase() == ChunkPhase::ChunkClaimed;
        if held {
            *chunk.row.borrow_mut() = read;
        }
        Ok(held)
    }
}
