//! When a node may try to take a job over. Pure.
//!
//! The claim itself is safe whenever it is tried, since the row decides. But a job that changes
//! hands loses the text of its running items, so a node tries only when it has reason to trust what
//! it believes of the owner.

use std::time::Duration;

use dappleyard_cluster::{PeerStatus, Worker};
use xxhash_rust::xxh3::xxh3_64;

/// Time for which the belief must have stood, so that rows which cross on their way do not matter.
const SUSPECTED: Duration = Duration::from_millis(250);
/// Time for which this node must have run and had answers of the store without a gap before it
/// trusts the silence of others: a node that was itself paused hears nobody for a moment.
const STEADY_FOR_SILENCE: Duration = Duration::from_millis(1_000);
/// The same before it trusts that the store answers others no more: after an outage all nodes are
/// answered again at about the same time.
const STEADY_FOR_ISOLATION: Duration = Duration::from_millis(2_500);
/// The same before it takes any job of another region: all nodes of that region are heard by then, or are
/// silent.
const STEADY_FOR_AWAY: Duration = Duration::from_millis(2_500);

/// Time for which a node does not take back a job that another one has taken from it: each may hear
/// nothing of the other and call it gone, and the job would go to and fro.
const TAKEN_REST: Duration = Duration::from_millis(5_000);

/// What a claim rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ground {
    /// What is believed of the owner; `None` when the job has none.
    pub owner: Option<PeerStatus>,
    /// For how long that belief has stood.
    pub suspected: Duration,
    /// For how long this node has run and had answers of the store without a gap.
    pub steady: Duration,
    /// The store answers this node itself. One that is cut off from the store may be cut off from
    /// the owners of jobs too, and what it hears of them says little.
    pub answered: bool,
    /// Time since the job was taken from this node.
    pub taken: Option<Duration>,
}

/// Whether a claim may be tried.
pub fn may_claim(ground: Ground) -> bool {
    let Some(owner) = ground.owner else {
        return true;
    };
    let needed = match owner {
        PeerStatus::Replaced => Duration::ZERO,
        PeerStatus::Down => STEADY_FOR_SILENCE,
        PeerStatus::Isolated => STEADY_FOR_ISOLATION,
        PeerStatus::Ready | PeerStatus::Present => return false,
    };
    if owner != PeerStatus::Replaced {
        let rests = ground.taken.is_some_and(|taken| taken < TAKEN_REST);
        if rests || !ground.answered {
            return false;
        }
    }
    ground.suspected >= SUSPECTED && ground.steady >= needed
}

/// Whether a node may take a job of another region, when it has run and had answers of the store for so long: one
/// that has just begun has heard few of that region, which go first.
pub fn may_claim_away(steady: Duration) -> bool {
    steady >= STEADY_FOR_AWAY
}

/// The worker that should take a job: by hash, among those of the region where it was accepted, and among
/// all when that has none. `is_home` tells whether a zone is in that region.
pub fn preferred<'a>(
    job: &str,
    workers: &'a [Worker],
    is_home: impl Fn(&str) -> bool,
) -> Option<&'a Worker> {
    let by_hash = |worker: &&Worker| {
        let mut bytes = worker.name.as_bytes().to_vec();
        bytes.extend_from_slice(job.as_bytes());
        xxh3_64(&bytes)
    };
    let home = workers.iter().filter(|worker| is_home(&worker.zone));
    home.max_by_key(by_hash)
        .or_else(|| workers.iter().max_by_key(by_hash))
}
