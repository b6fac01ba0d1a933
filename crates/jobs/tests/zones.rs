//! Who takes jobs over while a zone is lost, and while one is cut off.

use std::time::Duration;

use dappleyard_cluster::PeerStatus;
use dappleyard_jobs::{Ground, may_claim};
use googletest::prelude::*;

/// A node that has run and been answered by the store for long.
const STEADY: Ground = Ground {
    owner: Some(PeerStatus::Ready),
    suspected: Duration::ZERO,
    steady: Duration::from_secs(60),
    answered: true,
    taken: None,
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[gtest]
fn lost_zone() {
    // As long as its owner is believed to live, a job stays.
    expect_that!(may_claim(STEADY), eq(false));
    let lost = |suspected| Ground {
        owner: Some(PeerStatus::Down),
        suspected: ms(suspected),
        ..STEADY
    };
    // Then it is taken over at once by the node that is chosen among those alive.
    expect_that!(
        [0, 200, 250].map(|suspected| may_claim(lost(suspected))),
        eq([false, false, true])
    );
    // The machines come back: the process that owned the job is gone for certain.
    let replaced = Ground {
        owner: Some(PeerStatus::Replaced),
        suspected: ms(250),
        ..STEADY
    };
    expect_that!(may_claim(replaced), eq(true));
}

#[gtest]
fn cut_zone() {
    // Whoever is cut off from the store as well takes nothing, however long it hears nobody.
    let within = Ground {
        owner: Some(PeerStatus::Down),
        suspected: ms(4_000),
        steady: Duration::ZERO,
        answered: false,
        ..STEADY
    };
    expect_that!(may_claim(within), eq(false));
    // The store answers again before the other zones are heard: that silence says nothing for a second.
    let healed = |steady| Ground {
        steady: ms(steady),
        answered: true,
        ..within
    };
    expect_that!(
        [0, 900, 1_000].map(|steady| may_claim(healed(steady))),
        eq([false, false, true])
    );
    // What was taken from it meanwhile is not taken back.
    let taken = Ground {
        taken: Some(ms(3_000)),
        ..healed(2_000)
    };
    expect_that!(may_claim(taken), eq(false));
}
