//! Job claims while a zone has failed or is partitioned.

use std::time::Duration;

use dappleyard_cluster::PeerStatus;
use dappleyard_jobs::{ClaimContext, may_claim};
use googletest::prelude::*;

/// A node that has been stable for long; the owner of the job is alive.
const STABLE: ClaimContext = ClaimContext {
    owner: Some(PeerStatus::Ready),
    suspected_for: Duration::ZERO,
    stable_for: Duration::from_secs(60),
    store_reachable: true,
    since_lost: None,
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[gtest]
fn jobs_of_a_failed_zone_are_claimed() {
    // A job whose owner is alive is not claimed.
    expect_that!(may_claim(STABLE), eq(false));
    let with_failed_owner = |suspected| ClaimContext {
        owner: Some(PeerStatus::Down),
        suspected_for: ms(suspected),
        ..STABLE
    };
    // Once the owner has been down for the minimum time, the job is claimed.
    expect_that!(
        [0, 200, 250].map(|suspected| may_claim(with_failed_owner(suspected))),
        eq([false, false, true])
    );
    // After a restart, the process that owned the job is known to be gone.
    let replaced = ClaimContext {
        owner: Some(PeerStatus::Replaced),
        suspected_for: ms(250),
        ..STABLE
    };
    expect_that!(may_claim(replaced), eq(true));
}

#[gtest]
fn partitioned_zone_claims_nothing() {
    // A node that has lost the store claims nothing, however long it hears from no peer.
    let partitioned = ClaimContext {
        owner: Some(PeerStatus::Down),
        suspected_for: ms(4_000),
        stable_for: Duration::ZERO,
        store_reachable: false,
        ..STABLE
    };
    expect_that!(may_claim(partitioned), eq(false));
    // If the store recovers before the peers are heard again, their silence is ignored for a second.
    let with_store = |stable_for| ClaimContext {
        stable_for: ms(stable_for),
        store_reachable: true,
        ..partitioned
    };
    expect_that!(
        [0, 900, 1_000].map(|stable_for| may_claim(with_store(stable_for))),
        eq([false, false, true])
    );
    // A job that was claimed by another node in the meantime is not reclaimed.
    let since_lost = ClaimContext {
        since_lost: Some(ms(3_000)),
        ..with_store(2_000)
    };
    expect_that!(may_claim(since_lost), eq(false));
}
