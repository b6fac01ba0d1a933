//! Conditions under which a node serves.

use dappleyard_decide::membership::MembershipStatus;
use dappleyard_decide::time::Millis;
use dappleyard_tables::Lifecycle;
use googletest::prelude::*;

use super::{Inputs, LifecycleGuard};

const VOUCH_MS: u64 = 8_000;

fn inputs(standing: MembershipStatus, revision: u64, highest_remote_revision: u64) -> Inputs {
    Inputs {
        synced: true,
        standing,
        highest_remote_revision,
        revision,
    }
}

fn decide(guard: &mut LifecycleGuard, inputs: Inputs, now: u64) -> Lifecycle {
    guard.decide(inputs, VOUCH_MS, Millis(now)).0
}

#[gtest]
fn a_node_serves_once_it_has_learnt_the_configuration() {
    let mut guard = LifecycleGuard::default();
    let unsynced = Inputs {
        synced: false,
        ..inputs(MembershipStatus::Current, 0, 0)
    };
    expect_that!(decide(&mut guard, unsynced, 0), eq(Lifecycle::Starting));
    let synced = inputs(MembershipStatus::Current, 4, 4);
    expect_that!(decide(&mut guard, synced, 1), eq(Lifecycle::Ready));
}

#[gtest]
fn only_a_long_configuration_lag_withdraws_a_node() {
    let mut guard = LifecycleGuard::default();
    let lagging = inputs(MembershipStatus::Current, 4, 5);
    expect_that!(decide(&mut guard, lagging, 0), eq(Lifecycle::Ready));
    expect_that!(decide(&mut guard, lagging, VOUCH_MS), eq(Lifecycle::Ready));
    expect_that!(
        decide(&mut guard, lagging, VOUCH_MS + 1),
        eq(Lifecycle::Withdrawn)
    );
    let caught_up = inputs(MembershipStatus::Current, 5, 5);
    expect_that!(
        decide(&mut guard, caught_up, VOUCH_MS + 2),
        eq(Lifecycle::Ready)
    );
}

#[gtest]
fn a_recovering_node_waits_for_the_revision_of_its_peers() {
    let mut guard = LifecycleGuard::default();
    let doubted = inputs(MembershipStatus::Unconfirmed, 4, 4);
    expect_that!(decide(&mut guard, doubted, 0), eq(Lifecycle::Withdrawn));
    let behind = inputs(MembershipStatus::Current, 4, 9);
    expect_that!(decide(&mut guard, behind, 1), eq(Lifecycle::Withdrawn));
    let caught_up = inputs(MembershipStatus::Current, 9, 9);
    expect_that!(decide(&mut guard, caught_up, 2), eq(Lifecycle::Ready));
}

#[gtest]
fn isolated_and_superseded_nodes_do_not_serve() {
    let mut guard = LifecycleGuard::default();
    for standing in [MembershipStatus::Isolated, MembershipStatus::Superseded] {
        let inputs = inputs(standing, 4, 4);
        expect_that!(decide(&mut guard, inputs, 0), eq(Lifecycle::Withdrawn));
    }
}
