//! Runs that the model checker found to break a promise, kept as tests of the decision functions.

use dappleyard_decide::chunks::{ClaimDecision, Claimant, claim};
use dappleyard_decide::once::{OnceAttempt, OnceDecision, decide, give_up};
use dappleyard_wire::messages::{ChunkRow, OncePhase};
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

fn attempt(writer: &str) -> OnceAttempt {
    OnceAttempt {
        request_id: writer.to_owned(),
        fingerprint: 1,
        writer: writer.to_owned(),
        now_unix_ms: 0,
    }
}

/// An attempt gives its key up while a slow loop of its own goes on: the loop took the key back, and
/// it stayed in progress with nobody running the request.
#[gtest]
fn a_key_given_up_is_not_taken_back_by_the_same_attempt() {
    let released = give_up(None, &attempt("a")).expect("an absent record is released");
    expect_that!(released.phase(), eq(OncePhase::OnceReleased));
    let own = decide(Some(&released), &attempt("a"), true);
    expect_that!(own, eq(&OnceDecision::GivenUp));
    let other = decide(Some(&released), &attempt("b"), true);
    expect_that!(other, pat!(OnceDecision::Create(_)));
}

/// An attempt gives up while its create over a record that another attempt released is under way:
/// with nothing written the create took effect later, for nobody.
#[gtest]
fn giving_up_also_overtakes_a_create_over_a_released_record() {
    let released = give_up(None, &attempt("a")).expect("an absent record is released");
    expect_that!(give_up(Some(&released), &attempt("b")), some(anything()));
    expect_that!(give_up(Some(&released), &attempt("a")), none());
}
