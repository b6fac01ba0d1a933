//! Reassembly under duplication, reordering, overlap and loss.

use dappleyard_decide::reassembly::{Assembly, AssemblyBounds, AssemblyError};
use googletest::prelude::*;
use proptest::prelude::*;

const BOUNDS: AssemblyBounds = AssemblyBounds {
    pieces: 1_000,
    behind_gap: 64,
};

fn piece(version: &str, offset: u32) -> String {
    format!("{version}{offset} ")
}

fn run(version: &str, from: u32, to: u32) -> Vec<String> {
    (from..to).map(|offset| piece(version, offset)).collect()
}

fn text(version: &str, total: u32) -> String {
    run(version, 0, total).concat()
}

#[gtest]
fn pieces_after_a_gap_are_not_released() {
    let mut answer = Assembly::new(BOUNDS);
    answer.accepted("a").unwrap();
    answer.take(2, run("a", 2, 4)).unwrap();
    answer.finish(4).unwrap();
    expect_that!(answer.release(), eq(""));
    expect_that!(answer.is_complete(), eq(false));
    answer.take(0, run("a", 0, 2)).unwrap();
    expect_that!(answer.is_complete(), eq(true));
    expect_that!(answer.release(), eq(&text("a", 4)));
}

#[gtest]
fn pieces_after_a_gap_are_limited() {
    let mut answer = Assembly::new(BOUNDS);
    expect_that!(answer.take(1, run("a", 1, 65)), ok(eq(&())));
    expect_that!(
        answer.take(65, run("a", 65, 66)),
        err(eq(&AssemblyError::Bound { bound: 64 }))
    );
}

#[gtest]
fn another_version_cannot_continue_a_response() {
    let mut answer = Assembly::new(BOUNDS);
    answer.accepted("a").unwrap();
    answer.take(0, run("a", 0, 3)).unwrap();
    answer.begin_attempt();
    expect_that!(answer.accepted("b"), err(anything()));
    expect_that!(answer.restart(), eq(true));
    answer.accepted("b").unwrap();
    answer.take(0, run("b", 0, 2)).unwrap();
    expect_that!(answer.release(), eq(&text("b", 2)));
    expect_that!(answer.restart(), eq(false));
}

#[gtest]
fn duplicate_piece_with_different_text_is_rejected() {
    let mut answer = Assembly::new(BOUNDS);
    answer.take(0, run("a", 0, 3)).unwrap();
    expect_that!(
        answer.take(1, run("b", 1, 2)),
        err(eq(&AssemblyError::Conflict { offset: 1 }))
    );
}

#[gtest]
fn end_before_received_pieces_is_rejected() {
    let mut answer = Assembly::new(BOUNDS);
    answer.take(0, run("a", 0, 3)).unwrap();
    expect_that!(answer.finish(2), err(anything()));
    expect_that!(answer.is_finished(), eq(false));
}

/// Ranges of offsets in random order, with duplicates and gaps.
fn frames(total: u32) -> impl Strategy<Value = Vec<(u32, u32)>> {
    proptest::collection::vec((0..total, 1..6_u32), 0..120).prop_map(move |list| {
        list.into_iter()
            .map(|(from, length)| (from, (from + length).min(total)))
            .collect()
    })
}

proptest! {
    #[test]
    fn released_text_is_a_prefix_and_complete_only_with_all_pieces(
        total in 1..60_u32,
        seed_frames in frames(60),
        finish_at in 0..120_usize,
    ) {
        let mut answer = Assembly::new(BOUNDS);
        answer.accepted("a").unwrap();
        let whole = text("a", total);
        let mut seen = String::new();
        let mut covered = vec![false; total as usize];
        let mut finished = false;
        for (index, (from, to)) in seed_frames.into_iter().enumerate() {
            let (from, to) = (from.min(total - 1), to.min(total));
            if to <= from { continue; }
            if index == finish_at {
                prop_assert!(answer.finish(total).is_ok());
                finished = true;
            }
            prop_assert!(answer.take(from, run("a", from, to)).is_ok());
            covered[from as usize..to as usize].fill(true);
            seen.push_str(&answer.release());
            prop_assert!(whole.starts_with(&seen));
            prop_assert_eq!(answer.is_complete(), finished && covered.iter().all(|c| *c));
        }
        prop_assert_eq!(seen == whole, covered.iter().all(|c| *c));
    }

    #[test]
    fn response_resumed_at_its_offset_is_complete(
        total in 1..60_u32,
        losses in proptest::collection::vec((0..60_u32, 0..60_u32), 0..5),
    ) {
        let mut answer = Assembly::new(BOUNDS);
        let mut seen = String::new();
        for (delivered, skipped) in losses {
            answer.begin_attempt();
            answer.accepted("a").unwrap();
            let from = answer.offset();
            let to = (from + delivered).min(total);
            answer.take(from, run("a", from, to)).unwrap();
            let late = (to + skipped).min(total);
            answer.take(late, run("a", late, total)).unwrap();
            seen.push_str(&answer.release());
        }
        answer.begin_attempt();
        answer.accepted("a").unwrap();
        let from = answer.offset();
        answer.take(from, run("a", from, total)).unwrap();
        answer.finish(total).unwrap();
        seen.push_str(&answer.release());
        prop_assert!(answer.is_complete());
        prop_assert_eq!(seen, text("a", total));
    }
}
