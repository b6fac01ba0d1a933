//! Liveness of members across restarts.

use dappleyard_tables::members::MembersTable;
use dappleyard_wire::messages::{Member, MemberState};
use googletest::prelude::*;

fn member(start: u64, state: MemberState) -> Member {
    Member {
        node: "n1".to_owned(),
        incarnation: start << 16,
        state: state as i32,
        ..Member::default()
    }
}

#[gtest]
fn gone_depends_on_the_start() {
    let table = MembersTable::default();
    let second_start = 2 << 16;
    expect_that!(table.is_gone("n1", second_start), is_true());
    for (start, state, gone) in [
        (1, MemberState::MemberLeft, false),
        (1, MemberState::MemberAlive, false),
        (2, MemberState::MemberAlive, false),
        (2, MemberState::MemberSuspect, false),
        (2, MemberState::MemberDead, true),
        (2, MemberState::MemberLeft, true),
        (3, MemberState::MemberAlive, true),
    ] {
        table.put(member(start, state));
        expect_that!(
            table.is_gone("n1", second_start),
            eq(gone),
            "{start} {state:?}"
        );
    }
}

#[gtest]
fn refutation_is_not_a_restart() {
    let table = MembersTable::default();
    let mut refuted = member(2, MemberState::MemberAlive);
    refuted.incarnation += 3;
    table.put(refuted);
    expect_that!(table.is_gone("n1", 2 << 16), is_false());
}
