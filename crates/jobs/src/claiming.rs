//! Decides when a node may try to claim another node's job. Pure functions.
//!
//! A claim is always safe, since it is conditional on the job's row. But a job that changes owner loses the
//! unsaved output of its running items, so a node claims only if it can trust its view of the owner.

use std::time::Duration;

use dappleyard_cluster::{PeerStatus, Worker};
use xxhash_rust::xxh3::xxh3_64;

/// Time for which the owner must have been suspected, so that row updates in transit are not mistaken for a
/// failure.
const MIN_SUSPECTED: Duration = Duration::from_millis(250);
/// Time for which this node must have been stable before it claims from an owner that is down. A node that was
/// paused itself has missed heartbeats.
const MIN_STABLE_DOWN_OWNER: Duration = Duration::from_millis(1_000);
/// The same for an owner that is isolated from the store: after a store outage, other nodes appear isolated until
/// their heartbeats report the recovery.
const MIN_STABLE_ISOLATED_OWNER: Duration = Duration::from_millis(2_500);
/// The same for a job of another region: by then a node has heard every live node of that region.
const MIN_STABLE_REMOTE: Duration = Duration::from_millis(2_500);

/// Time for which a node does not reclaim a job that it lost. Two nodes that cannot hear each other would otherwise
/// claim the job in turns.
const RECLAIM_DELAY: Duration = Duration::from_millis(5_000);

/// State on which the decision to claim a job is based.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimContext {
    /// Status of the owner; `None` if the job has none.
    pub owner: Option<PeerStatus>,
    /// Time for which the owner has been suspected.
    pub suspected_for: Duration,
    /// Time for which this node has run without a stall and without losing the store.
    pub stable_for: Duration,
    /// Whether this node reaches the store. A node without the store may be partitioned from job owners too, so their
    /// silence proves nothing.
    pub store_reachable: bool,
    /// Time since this node lost the job to another one.
    pub since_lost: Option<Duration>,
}

/// Whether a claim may be tried.
pub fn may_claim(context: ClaimContext) -> bool {
    let Some(owner) = context.owner else {
        return true;
    };
    let min_stable = match owner {
        PeerStatus::Replaced => Duration::ZERO,
        PeerStatus::Down => MIN_STABLE_DOWN_OWNER,
        PeerStatus::Isolated => MIN_STABLE_ISOLATED_OWNER,
        PeerStatus::Ready | PeerStatus::Present => return false,
    };
    if owner != PeerStatus::Replaced {
        let recently_lost = context
            .since_lost
            .is_some_and(|since_lost| since_lost < RECLAIM_DELAY);
        if recently_lost || !context.store_reachable {
            return false;
        }
    }
    context.suspected_for >= MIN_SUSPECTED && context.stable_for >= min_stable
}

/// Whether a node that has been stable for so long may claim a job of another region. A node that has just started
/// has not yet heard the nodes of that region, which are preferred.
pub fn may_claim_remote(stable_for: Duration) -> bool {
    stable_for >= MIN_STABLE_REMOTE
}

/// The worker that should claim a job, by rendezvous hashing: among the workers of the job's home region, or among
/// all workers if that region has none. `is_home` tells whether a zone is in that region.
pub fn preferred_worker<'a>(
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
