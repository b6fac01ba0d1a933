//! Regression tests of the decision functions for counterexamples found by the model checker.

use dappleyard_decide::chunks::{ClaimDecision, Claimant, claim};
use dappleyard_decide::once::{OnceAttempt, OnceDecision, decide, give_up};
use dappleyard_wire::messages::{ChunkRow, OncePhase};
use googletest::prelude::*;

/// Guards against a chunk stuck with a holder whose claim took effect after it timed out.
#[gtest]
fn a_claim_applied_after_its_timeout_is_recognized_by_its_sender() {
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

/// Guards against a slow loop of an attempt that re-creates the key after the attempt released it.
#[gtest]
fn a_released_key_is_not_recreated_by_the_same_attempt() {
    let released = give_up(None, &attempt("a")).expect("an absent record is released");
    expect_that!(released.phase(), eq(OncePhase::OnceReleased));
    let own = decide(Some(&released), &attempt("a"), true);
    expect_that!(own, eq(&OnceDecision::GivenUp));
    let other = decide(Some(&released), &attempt("b"), true);
    expect_that!(other, pat!(OnceDecision::Create(_)));
}

/// Guards against a pending create over a released record that takes effect after the attempt gave up.
#[gtest]
fn giving_up_invalidates_a_pending_create_over_a_released_record() {
    let released = give_up(None, &attempt("a")).expect("an absent record is released");
    expect_that!(give_up(Some(&released), &attempt("b")), some(anything()));
    expect_that!(give_up(Some(&released), &attempt("a")), none());
}
