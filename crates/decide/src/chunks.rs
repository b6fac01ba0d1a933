//! Authority over batch chunks: claim, takeover and commit under epochs.
//!
//! A chunk row carries an epoch. A claim or takeover raises it by compare-and-swap on the row's
//! revision; a result is committed only while the row still has the epoch it was made under, in the
//! same transaction that compares the job row. A holder that was paused and wakes can so do no harm,
//! and no lease is renewed in the store.

use dappleyard_wire::messages::{ChunkPhase, ChunkRow, JobRow, Repeat};

/// Who asks for a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claimant {
    /// Node id.
    pub node: String,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Answer to a claim.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimDecision {
    /// Write this row, comparing the revision that was read.
    Write(ChunkRow),
    /// Another live holder has it.
    Held,
    /// The claimant has it already under `row.epoch`: an earlier claim took effect after its answer
    /// was given up. A claimant that does not run the chunk holds it from now on, with no item
    /// started; one that runs it changes nothing. Without this a late claim would leave the chunk
    /// with a live holder that does not know of it.
    Own,
    /// Its result is committed already.
    Done,
}

/// Decides whether `claimant` may take the chunk. `holder_gone` says that membership believes the
/// present holder dead, left, or restarted under another incarnation.
///
/// The caller reads the job row too, and claims nothing of a cancelled job: a claimant that gave a
/// chunk up on a cancel would else be told that the chunk is its own, and start its items again.
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

/// Result of the items of a chunk, ready to be committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkResult {
    /// Object that holds the result lines.
    pub object: String,
    /// Items that completed.
    pub completed: u32,
    /// Items that failed.
    pub failed: u32,
}

/// Answer to a commit.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitDecision {
    /// Write this chunk row, comparing the revisions of chunk row and job row that were read.
    Write(ChunkRow),
    /// This result is committed already: an earlier answer was lost.
    AlreadyCommitted,
    /// The chunk has moved to another epoch: the result is garbage.
    Fenced,
    /// The job was cancelled: nothing lands any more.
    Cancelled,
}

/// Decides whether a result made under `epoch` may be committed.
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

/// Whether an item of a claimed chunk may be started at all. Items that must not repeat and may have
/// been started under an earlier epoch settle as `outcome_unknown` instead.
///
/// `row` is the claim as the store confirmed it, by an answer or by reading it back, never a claim
/// that is still on its way. A holder starts such an item at most once; after an engine's answer was
/// lost it settles the item as `outcome_unknown`.
pub fn may_start_items(row: &ChunkRow) -> bool {
    !(row.maybe_started && row.repeat() == Repeat::Never)
}

/// The row of a chunk that is opened again: handed back by its holder, or taken from one that is
/// gone. The epoch grows, so that whatever the former holder still does is fenced. `None` when the
/// chunk is not claimed, or when its holder is neither the claimant nor gone.
pub fn reopen(row: &ChunkRow, claimant: &Claimant, holder_gone: bool) -> Option<ChunkRow> {
    let own = row.holder == claimant.node && row.holder_incarnation == claimant.incarnation;
    if row.phase() != ChunkPhase::ChunkClaimed || !(own || holder_gone) {
        return None;
    }
    let mut next = row.clone();
    next.epoch += 1;
    let marked = !own || row.started_items != 0;
    next.maybe_started |= marked && row.repeat() == Repeat::Never;
    next.holder.clear();
    next.holder_incarnation = 0;
    next.set_phase(ChunkPhase::ChunkOpen);
    Some(next)
}

/// Whether one item of a claimed chunk may be started by a holder that has not started it itself.
/// An item that must not repeat and was marked as started under an earlier epoch may not.
pub fn may_start_item(row: &ChunkRow, index_in_chunk: u32) -> bool {
    may_start_items(row) || row.started_items & item_bit(index_in_chunk) == 0
}

/// The row with an item marked as started; written and durable before the item is started.
#[must_use]
pub fn mark_started(row: &ChunkRow, index_in_chunk: u32) -> ChunkRow {
    let mut next = row.clone();
    next.started_items |= item_bit(index_in_chunk);
    next
}

/// Most items of a chunk whose items must not repeat: the bits of the mark.
pub const MAXIMUM_ONCE_ITEMS: u32 = 64;

fn item_bit(index_in_chunk: u32) -> u64 {
    1_u64.checked_shl(index_in_chunk).unwrap_or(u64::MAX)
}

/// What the size of a job's chunks rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkSizing {
    /// Items that are not cut yet.
    pub items: u32,
    /// Nodes that can work on it.
    pub nodes: u32,
    /// Time that one node needs for one item at full width, microseconds; 0 when not known yet.
    pub item_us: u64,
    /// Work that one chunk should hold, milliseconds.
    pub target_ms: u64,
    /// Fewest items.
    pub minimum: u32,
    /// Most items.
    pub maximum: u32,
}

/// Items of the next chunk of a job of which `sizing.items` items are not cut yet: no more than the
/// target's work, and no more than a node's share of the rest. Chunks so get smaller towards the end
/// of a job, and the nodes end at about the same time.
pub fn chunk_items(sizing: &ChunkSizing) -> u32 {
    let by_work = match sizing.item_us {
        0 => sizing.maximum,
        item_us => u32::try_from(sizing.target_ms * 1_000 / item_us).unwrap_or(u32::MAX),
    };
    let by_spread = sizing.items.div_ceil(sizing.nodes.max(1));
    let maximum = sizing.maximum.max(1);
    by_work
        .min(by_spread)
        .clamp(sizing.minimum.clamp(1, maximum), maximum)
}
