//! Items that must not repeat: each is marked in the chunk row, durably and under the holder's
//! epoch, before it is started.

use std::rc::Rc;

use dappleyard_decide::chunks;
use dappleyard_store::tables::Expect;
use dappleyard_store::{StoreError, Transaction};
use dappleyard_wire::keys;
use dappleyard_wire::messages::{ChunkPhase, ChunkRow};
use prost::Message;

use super::Runner;
use super::work::{HeldChunk, StopReason};
use crate::store::{self, Applied, Versioned, wait_jittered};

/// Longest time between the sending of the call that showed the epoch and the start of an item,
/// milliseconds. A holder that was paused in between looks again.
const FRESH_MS: u64 = 500;

/// What became of a mark.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mark {
    /// It stands in the row, and the chunk is this node's.
    Durable,
    /// The row had changed but is still this node's: try again.
    RowChanged,
    /// The chunk is not this node's any more.
    Fenced,
}

impl Runner {
    /// Marks an item as started. `true` when it may be started now: the mark is durable, and the
    /// chunk was this node's a moment ago.
    pub(super) async fn mark_started(&self, chunk: &Rc<HeldChunk>, index: u32) -> bool {
        loop {
            if chunk.is_stopped() {
                return false;
            }
            let _turn = chunk.marking.lock().await;
            let asked = self.tables.clock.now();
            match self.mark(chunk, index).await {
                Ok(Mark::Durable) if self.tables.clock.now().since(asked) <= FRESH_MS => {
                    return !chunk.is_stopped();
                }
                Ok(Mark::Durable | Mark::RowChanged) => {}
                Ok(Mark::Fenced) => {
                    chunk.stop(StopReason::Fenced);
                    self.metrics.chunk("fenced");
                    self.forget(&chunk.place());
                    return false;
                }
                Err(error) => {
                    tracing::debug!(%error, job = %chunk.job, "an item waits for its mark");
                    wait_jittered(self.settings.poll_interval_ms).await;
                }
            }
        }
    }

    /// Writes the mark, or reads the chunk row again when the item is marked already.
    async fn mark(&self, chunk: &HeldChunk, index: u32) -> Result<Mark, StoreError> {
        let known = chunk.row.borrow().clone();
        let marked = chunks::mark_started(&known.row, index);
        let key = keys::chunk(&chunk.job, chunk.index);
        if marked == known.row {
            let own = self.reread(chunk, &key).await?;
            return Ok(if own { Mark::Durable } else { Mark::Fenced });
        }
        let transaction = Transaction::default()
            .expect(key.as_str(), Expect::Revision(known.revision))
            .put(key.as_str(), marked.encode_to_vec());
        let applied = store::apply(&*self.platform.tables, &transaction, &key, |value| {
            ChunkRow::decode(value.clone()).is_ok_and(|written| written == marked)
        });
        match applied.await? {
            Applied::Yes { revision } => {
                let row = marked;
                *chunk.row.borrow_mut() = Versioned { row, revision };
                Ok(Mark::Durable)
            }
            Applied::Conflict => {
                let own = self.reread(chunk, &key).await?;
                Ok(if own { Mark::RowChanged } else { Mark::Fenced })
            }
        }
    }

    /// Reads the chunk row again; `false` when it is not this node's any more.
    async fn reread(&self, chunk: &HeldChunk, key: &str) -> Result<bool, StoreError> {
        let read = store::read_row::<ChunkRow>(&*self.platform.tables, key).await?;
        let Some(read) = read else {
            return Ok(false);
        };
        let own = read.row.epoch == chunk.epoch && read.row.phase() == ChunkPhase::ChunkClaimed;
        if own {
            *chunk.row.borrow_mut() = read;
        }
        Ok(own)
    }
}
