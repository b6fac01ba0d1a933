//! Choice of the path to the store, of delegates and of copies.

use dappleyard_cluster::{Candidate, delegates};
use dappleyard_relay::{CopyVerdict, Path, PathInputs, choose_path, judge_copy};
use googletest::prelude::*;
use std::time::Duration;

const SMALL: PathInputs = PathInputs {
    large: false,
    reader: false,
    lost: false,
    peers: 3,
    peers_failed: false,
};

#[gtest]
fn small_fleet() {
    expect_that!(choose_path(&SMALL), eq(Path::Direct));
    let lost = PathInputs {
        lost: true,
        ..SMALL
    };
    expect_that!(choose_path(&lost), eq(Path::ByPeer));
    expect_that!(
        choose_path(&PathInputs { peers: 0, ..lost }),
        eq(Path::Direct)
    );
    let failed = PathInputs {
        peers_failed: true,
        ..lost
    };
    expect_that!(choose_path(&failed), eq(Path::Direct));
}

#[gtest]
fn large_fleet() {
    let large = PathInputs {
        large: true,
        ..SMALL
    };
    expect_that!(choose_path(&large), eq(Path::ByPeer));
    let reader = PathInputs {
        reader: true,
        ..large
    };
    expect_that!(choose_path(&reader), eq(Path::Direct));
    expect_that!(
        choose_path(&PathInputs {
            lost: true,
            ..reader
        }),
        eq(Path::ByPeer)
    );
    let failed = PathInputs {
        peers_failed: true,
        ..large
    };
    expect_that!(choose_path(&failed), eq(Path::Direct));
}

#[gtest]
fn delegates_do_not_depend_on_order() {
    let names: Vec<String> = (0..50).map(|number| format!("node-{number}")).collect();
    let weak = |name: &'static str| Candidate {
        name,
        strong: false,
    };
    let names: Vec<&'static str> = names.into_iter().map(|name| &*name.leak()).collect();
    let chosen = delegates(names.iter().copied().map(weak));
    let reversed = delegates(names.iter().rev().copied().map(weak));
    expect_that!(chosen.len(), eq(2));
    expect_that!(chosen, eq(&reversed));
    // Removing a delegate keeps the other one.
    let without = names.iter().copied().filter(|name| *name != chosen[0]);
    let next = delegates(without.map(weak));
    expect_that!(next[0], eq(chosen[1]));
}

#[gtest]
fn strong_machines_are_preferred() {
    let candidates = |strong: &[&str]| -> Vec<Candidate<'static>> {
        let of = |name| Candidate {
            name,
            strong: strong.contains(&name),
        };
        ["a", "b", "c", "d", "e"].map(of).to_vec()
    };
    let mut chosen = delegates(candidates(&["d", "e"]).into_iter());
    chosen.sort();
    expect_that!(chosen, eq(&["d", "e"]));
    // With only one strong machine, a weak one is the second delegate.
    let chosen = delegates(candidates(&["c"]).into_iter());
    expect_that!((chosen.len(), chosen[0]), eq((2, "c")));
}

#[gtest]
fn copy_verdicts() {
    let ms = Duration::from_millis;
    let oldest = ms(1_000);
    // Without an own copy, or at its revision, the source is accepted.
    expect_that!(
        judge_copy(9, ms(300), None, oldest),
        eq(CopyVerdict::Accept)
    );
    expect_that!(
        judge_copy(9, ms(300), Some((9, ms(20))), oldest),
        eq(CopyVerdict::Accept)
    );
    // A source that is slightly behind is polled again.
    expect_that!(
        judge_copy(8, ms(300), Some((9, ms(20))), oldest),
        eq(CopyVerdict::Wait)
    );
    // A source that stays behind or has old data is rejected.
    let is_rejected = |verdict| matches!(verdict, CopyVerdict::Reject(_));
    expect_that!(
        is_rejected(judge_copy(8, ms(300), Some((9, ms(1_100))), oldest)),
        eq(true)
    );
    expect_that!(
        is_rejected(judge_copy(9, ms(1_100), Some((9, ms(20))), oldest)),
        eq(true)
    );
}
