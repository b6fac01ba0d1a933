//! Reassembly under duplication, reordering, overlap and loss.

use dappleyard_decide::reassembly::{Assembly, AssemblyBounds, AssemblyError};
use googletest::prelude::*;
use proptest::prelude::*;

const BOUNDS: AssemblyBounds = AssemblyBounds {
    pieces: 1_000,
    after_gap: 64,
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
    let mut assembly = Assembly::new(BOUNDS);
    assembly.set_version("a").unwrap();
    assembly.take(2, run("a", 2, 4)).unwrap();
    assembly.finish(4).unwrap();
    expect_that!(assembly.release(), eq(""));
    expect_that!(assembly.is_complete(), eq(false));
    assembly.take(0, run("a", 0, 2)).unwrap();
    expect_that!(assembly.is_complete(), eq(true));
    expect_that!(assembly.release(), eq(&text("a", 4)));
}

#[gtest]
fn pieces_after_a_gap_are_limited() {
    let mut assembly = Assembly::new(BOUNDS);
    expect_that!(assembly.take(1, run("a", 1, 65)), ok(eq(&())));
    expect_that!(
        assembly.take(65, run("a", 65, 66)),
        err(eq(&AssemblyError::Bound { bound: 64 }))
    );
}

#[gtest]
fn another_version_cannot_continue_a_response() {
    let mut assembly = Assembly::new(BOUNDS);
    assembly.set_version("a").unwrap();
    assembly.take(0, run("a", 0, 3)).unwrap();
    assembly.begin_attempt();
    expect_that!(assembly.set_version("b"), err(anything()));
    expect_that!(assembly.restart(), eq(true));
    assembly.set_version("b").unwrap();
    assembly.take(0, run("b", 0, 2)).unwrap();
    expect_that!(assembly.release(), eq(&text("b", 2)));
    expect_that!(assembly.restart(), eq(false));
}

#[gtest]
fn duplicate_piece_with_different_text_is_rejected() {
    let mut assembly = Assembly::new(BOUNDS);
    assembly.take(0, run("a", 0, 3)).unwrap();
    expect_that!(
        assembly.take(1, run("b", 1, 2)),
        err(eq(&AssemblyError::Conflict { offset: 1 }))
    );
}

#[gtest]
fn end_before_received_pieces_is_rejected() {
    let mut assembly = Assembly::new(BOUNDS);
    assembly.take(0, run("a", 0, 3)).unwrap();
    expect_that!(assembly.finish(2), err(anything()));
    expect_that!(assembly.is_finished(), eq(false));
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
        let mut assembly = Assembly::new(BOUNDS);
        assembly.set_version("a").unwrap();
        let whole = text("a", total);
        let mut seen = String::new();
        let mut covered = vec![false; total as usize];
        let mut finished = false;
        for (index, (from, to)) in seed_frames.into_iter().enumerate() {
            let (from, to) = (from.min(total - 1), to.min(total));
            if to <= from { continue; }
            if index == finish_at {
                prop_assert!(assembly.finish(total).is_ok());
                finished = true;
            }
            prop_assert!(assembly.take(from, run("a", from, to)).is_ok());
            covered[from as usize..to as usize].fill(true);
            seen.push_str(&assembly.release());
            prop_assert!(whole.starts_with(&seen));
            prop_assert_eq!(assembly.is_complete(), finished && covered.iter().all(|c| *c));
        }
        prop_assert_eq!(seen == whole, covered.iter().all(|c| *c));
    }

    #[test]
    fn response_resumed_at_its_offset_is_complete(
        total in 1..60_u32,
        losses in proptest::collection::vec((0..60_u32, 0..60_u32), 0..5),
    ) {
        let mut assembly = Assembly::new(BOUNDS);
        let mut seen = String::new();
        for (delivered, skipped) in losses {
            assembly.begin_attempt();
            assembly.set_version("a").unwrap();
            let from = assembly.offset();
            let to = (from + delivered).min(total);
            assembly.take(from, run("a", from, to)).unwrap();
            let late = (to + skipped).min(total);
            assembly.take(late, run("a", late, total)).unwrap();
            seen.push_str(&assembly.release());
        }
        assembly.begin_attempt();
        assembly.set_version("a").unwrap();
        let from = assembly.offset();
        assembly.take(from, run("a", from, total)).unwrap();
        assembly.finish(total).unwrap();
        seen.push_str(&assembly.release());
        prop_assert!(assembly.is_complete());
        prop_assert_eq!(seen, text("a", total));
    }
}
