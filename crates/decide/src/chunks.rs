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
