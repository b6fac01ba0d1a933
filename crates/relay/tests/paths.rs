//! Which way a node reaches the store.

use dappleyard_cluster::delegates;
use dappleyard_relay::{Path, Situation, decide};
use googletest::prelude::*;

const SMALL: Situation = Situation {
    large: false,
    reader: false,
    lost: false,
    peers: 3,
    peers_failed: false,
};

#[gtest]
fn small_fleet() {
    expect_that!(decide(&SMALL), eq(Path::Direct));
    let lost = Situation {
        lost: true,
        ..SMALL
    };
    expect_that!(decide(&lost), eq(Path::ByPeer));
    expect_that!(decide(&Situation { peers: 0, ..lost }), eq(Path::Direct));
    let failed = Situation {
        peers_failed: true,
        ..lost
    };
    expect_that!(decide(&failed), eq(Path::Direct));
}

#[gtest]
fn large_fleet() {
    let large = Situation {
        large: true,
        ..SMALL
    };
    expect_that!(decide(&large), eq(Path::ByPeer));
    let reader = Situation {
        reader: true,
        ..large
    };
    expect_that!(decide(&reader), eq(Path::Direct));
    expect_that!(
        decide(&Situation {
            lost: true,
            ..reader
        }),
        eq(Path::ByPeer)
    );
    let failed = Situation {
        peers_failed: true,
        ..large
    };
    expect_that!(decide(&failed), eq(Path::Direct));
}

#[gtest]
fn same_delegates() {
    let names: Vec<String> = (0..50).map(|number| format!("node-{number}")).collect();
    let chosen = delegates(names.iter().map(String::as_str));
    let reversed = delegates(names.iter().rev().map(String::as_str));
    expect_that!(chosen.len(), eq(2));
    expect_that!(chosen, eq(&reversed));
    // A node that leaves changes no more than its own place.
    let without = names.iter().filter(|name| *name != chosen[0]);
    let next = delegates(without.map(String::as_str));
    expect_that!(next[0], eq(chosen[1]));
}
