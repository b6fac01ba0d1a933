//! Ownership of batch chunks: claim, takeover and commit, fenced by epochs.
//!
//! A claim or takeover increments the epoch of the chunk row by compare-and-swap on the row's
//! revision. A result is committed only while the row still has the epoch it was computed under, in
//! a transaction that also checks the job row. A stale holder is fenced without renewing leases in
//! the store.

use dappleyard_wire::messages::{ChunkPhase, ChunkRow, JobRow, Repeat};

/// Node process that requests a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claimant {
    pub node: String,
    pub incarnation: u64,
}

/// Result of [`claim`].
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimDecision {
    /// Write this row, conditional on the revision that was read.
    Write(ChunkRow),
    /// Another live node holds the chunk.
    Held,
    /// The claimant already holds the chunk under `row.epoch`, for example because an earlier claim
    /// took effect after its response was lost. A claimant that is not running the chunk starts it
    /// with no item started; otherwise nothing changes. Without this case the chunk would stay
    /// assigned to a live node that does not know it.
    Own,
    /// The result is already committed.
    Done,
}

/// Decides whether `claimant` may take the chunk. `holder_gone` means that, according to
/// membership, the current holder is dead, has left, or has restarted under another incarnation.
///
/// The caller must not claim chunks of a cancelled job: a claimant that abandoned a chunk on
/// cancellation would get [`ClaimDecision::Own`] and start its items again.
pub fn claim(row: &ChunkRow, claimant: &Claimant, holder_gone: bool) -> ClaimDecision {
    match row.phase() {
        ChunkPhase::ChunkDone => return ClaimDecision::Done,
        ChunkPhase::ChunkClaimed if is_holder(row, claimant) => return ClaimDecision::Own,
        ChunkPhase::ChunkClaimed if !holder_gone => return ClaimDecision::Held,
        _ => {}
    }
    let taken_over = row.phase() == ChunkPhase::ChunkClaimed;
    let mut next = row.clone();
    next.epoch += 1;
    next.holder.clone_from(&claimant.node);
    next.holder_incarnation = claimant.incarnation;
    next.maybe_started |= taken_over && row.repeat() == Repeat::Never;
    next.set_phase(ChunkPhase::ChunkClaimed);
    ClaimDecision::Write(next)
}

fn is_holder(row: &ChunkRow, claimant: &Claimant) -> bool {
    row.holder == claimant.node && row.holder_incarnation == claimant.incarnation
}

/// Result of a finished chunk, to be committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkResult {
    /// Name of the object that stores the result lines.
    pub object: String,
    pub completed: u32,
    pub failed: u32,
}

/// Result of [`commit`].
#[derive(Debug, Clone, PartialEq)]
pub enum CommitDecision {
    /// Write this chunk row, conditional on the revisions of the chunk and job rows that were read.
    Write(ChunkRow),
    /// This result is already committed; the response to an earlier commit was lost.
    AlreadyCommitted,
    /// The chunk has moved to another epoch; discard the result.
    Fenced,
    /// The job was cancelled; discard the result.
    Cancelled,
}

/// Decides whether a result computed under `epoch` may be committed.
pub fn commit(row: &ChunkRow, job: &JobRow, epoch: u64, result: &ChunkResult) -> CommitDecision {
    if row.phase() == ChunkPhase::ChunkDone && row.result_object == result.object {
        return CommitDecision::AlreadyCommitted;
    }
    if row.epoch != epoch || row.phase() != ChunkPhase::ChunkClaimed {
        return CommitDecision::Fenced;
    }
    if job.cancelled {
        return CommitDecision::Cancelled;
    }
    let mut next = row.clone();
    next.result_object.clone_from(&result.object);
    next.completed = result.completed;
    next.failed = result.failed;
    next.set_phase(ChunkPhase::ChunkDone);
    CommitDecision::Write(next)
}

/// Whether all items of a claimed chunk may be started. Non-repeatable items that may have been
/// started under an earlier epoch settle as `outcome_unknown` instead.
///
/// `row` must be confirmed by the store, not a claim whose response is still outstanding. A holder
/// starts a non-repeatable item at most once; if the engine's response is lost, it settles the item
/// as `outcome_unknown`.
pub fn may_start_items(row: &ChunkRow) -> bool {
    !(row.maybe_started && row.repeat() == Repeat::Never)
}

/// Returns the row of a chunk released by its holder or taken from a holder that is gone. The epoch
/// is incremented to fence the former holder. Returns `None` if the chunk is not claimed, or if its
/// holder is neither the claimant nor gone.
pub fn reopen(row: &ChunkRow, claimant: &Claimant, holder_gone: bool) -> Option<ChunkRow> {
    let own = row.holder == claimant.node && row.holder_incarnation == claimant.incarnation;
    if row.phase() != ChunkPhase::ChunkClaimed || !(own || holder_gone) {
        return None;
    }
    let mut next = row.clone();
    next.epoch += 1;
    let may_have_started = !own || row.started_items != 0;
    next.maybe_started |= may_have_started && row.repeat() == Repeat::Never;
    next.holder.clear();
    next.holder_incarnation = 0;
    next.set_phase(ChunkPhase::ChunkOpen);
    Some(next)
}

/// Whether the holder may start an item that it has not started itself. A non-repeatable item that
/// was marked as started under an earlier epoch may not be started again.
pub fn may_start_item(row: &ChunkRow, index_in_chunk: u32) -> bool {
    may_start_items(row) || row.started_items & item_bit(index_in_chunk) == 0
}

/// Returns the row with an item marked as started. It must be durable before the item is started.
#[must_use]
pub fn mark_started(row: &ChunkRow, index_in_chunk: u32) -> ChunkRow {
    let mut next = row.clone();
    next.started_items |= item_bit(index_in_chunk);
    next
}

/// Maximum items of a chunk of non-repeatable items: one bit each in `started_items`.
pub const MAXIMUM_ONCE_ITEMS: u32 = 64;

fn item_bit(index_in_chunk: u32) -> u64 {
    1_u64.checked_shl(index_in_chunk).unwrap_or(u64::MAX)
}

/// Inputs to [`chunk_items`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkSizing {
    /// Items not yet assigned to a chunk.
    pub items: u32,
    /// Nodes that can process the job.
    pub nodes: u32,
    /// Processing time of an item on one node at full width, in microseconds; 0 if unknown.
    pub item_us: u64,
    /// Target processing time of a chunk, in milliseconds.
    pub target_ms: u64,
    /// Minimum items of a chunk.
    pub minimum: u32,
    /// Maximum items of a chunk.
    pub maximum: u32,
}

/// Number of items in the next chunk: limited by the target processing time and by an equal share
/// of the remaining items per node. Chunks shrink towards the end of a job, so the nodes finish at
/// about the same time.
pub fn chunk_items(sizing: &ChunkSizing) -> u32 {
    let by_target = match sizing.item_us {
        0 => sizing.maximum,
        item_us => u32::try_from(sizing.target_ms * 1_000 / item_us).unwrap_or(u32::MAX),
    };
    let by_share = sizing.items.div_ceil(sizing.nodes.max(1));
    let maximum = sizing.maximum.max(1);
    by_target
        .min(by_share)
        .clamp(sizing.minimum.clamp(1, maximum), maximum)
}
