//! Runs that the model checker found to break a promise, kept as tests of the decision functions.

use dappleyard_decide::chunks::{ClaimDecision, Claimant, claim};
use dappleyard_wire::messages::ChunkRow;
use googletest::prelude::*;

/// A node gives up on its claim, which takes effect later: the chunk had a live holder that did not
/// know of it, and nobody could claim it again.
#[gtest]
fn a_claim_that_outlives_its_sender_is_found_again() {
    let claimant = Claimant {
        node: "a".to_owned(),
        incarnation: 7,
    };
    let ClaimDecision::Write(late) = claim(&ChunkRow::default(), &claimant, false) else {
        panic!("an open chunk can be claimed");
    };
    expect_that!(claim(&late, &claimant, false), eq(&ClaimDecision::Own));
    let other = Claimant {
        node: "b".to_owned(),
        incarnation: 1,
    };
    expect_that!(claim(&late, &other, false), eq(&ClaimDecision::Held));
}
