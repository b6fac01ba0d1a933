//! Batch decisions: width, job order, chunk sizes and chunk ownership.

use std::collections::BTreeSet;

use dappleyard_decide::chunks::{self, ChunkSizing, ClaimDecision, Claimant};
use dappleyard_decide::fairness::{Candidate, TenantShares, order};
use dappleyard_decide::width::{StepModel, WidthInputs, batch_width, prefill_interval_ms};
use dappleyard_wire::messages::{ChunkPhase, ChunkRow, Repeat};
use googletest::prelude::*;

fn inputs() -> WidthInputs {
    WidthInputs {
        model: StepModel {
            base_ms: 3.9,
            ..StepModel::default()
        },
        online_sequences: 0,
        online_tokens: 0,
        total_tokens: 60_000,
        maximum_sequences: 128,
        batch_sequences: 0,
        batch_tokens: 0,
        new_sequence_tokens: 500,
        slowdown_percent: 5,
        window_percent: 100,
    }
}

#[gtest]
fn width_without_online_work_is_limited_by_memory_and_sequences() {
    expect_that!(batch_width(&inputs()), eq(120));
    let small = WidthInputs {
        new_sequence_tokens: 100,
        ..inputs()
    };
    expect_that!(batch_width(&small), eq(128));
    let overdrawn = WidthInputs {
        batch_sequences: 100,
        batch_tokens: 61_000,
        ..inputs()
    };
    expect_that!(batch_width(&overdrawn), eq(98));
}

#[gtest]
fn width_with_online_work_stays_within_the_slowdown() {
    for online in 1..40 {
        let inputs = WidthInputs {
            online_sequences: online,
            ..inputs()
        };
        let width = batch_width(&inputs);
        let alone = inputs.model.step_ms(online, 0);
        expect_that!(
            inputs.model.step_ms(online + width, 0),
            le(alone * 1.05 + 1e-9)
        );
        expect_that!(
            inputs.model.step_ms(online + width + 1, 0),
            gt(alone * 1.05)
        );
    }
}

#[gtest]
fn demand_window_scales_the_width() {
    let window = WidthInputs {
        window_percent: 25,
        ..inputs()
    };
    expect_that!(batch_width(&window), eq(30));
}

#[gtest]
fn base_cost_is_estimated_without_the_prefill_cost() {
    let truth = StepModel {
        base_ms: 6.0,
        ..StepModel::default()
    };
    let mut learnt = StepModel::default();
    for _ in 0..200 {
        learnt = learnt.observe(truth.step_ms(80, 100), 80, 100.0);
    }
    expect_that!(learnt.base_ms, near(6.0, 0.01));
}

#[gtest]
fn prefill_interval_is_inverse_to_the_allowed_slowdown() {
    let model = StepModel::default();
    let tight = prefill_interval_ms(&model, 500, 5);
    let wide = prefill_interval_ms(&model, 500, 15);
    expect_that!(tight, near(3.0 * wide, 0.001));
}

fn candidate(job: &str, tenant: &str, deadline_unix_s: u64) -> Candidate {
    Candidate {
        job: job.to_owned(),
        tenant: tenant.to_owned(),
        deadline_unix_s,
        remaining_s: 10,
    }
}

fn first(candidates: &mut [Candidate], shares: &TenantShares) -> String {
    order(candidates, shares, 1_000);
    candidates[0].job.clone()
}

#[gtest]
fn tenants_are_served_in_proportion_to_their_weights() {
    let mut shares = TenantShares::default();
    shares.set_active_tenants(&BTreeSet::from(["heavy", "light"]));
    let mut served = [0, 0];
    for _ in 0..300 {
        let mut jobs = [
            candidate("a", "heavy", 9_000),
            candidate("b", "light", 8_000),
        ];
        match first(&mut jobs, &shares).as_str() {
            "a" => {
                served[0] += 1;
                shares.charge("heavy", 1.0, 2);
            }
            _ => {
                served[1] += 1;
                shares.charge("light", 1.0, 1);
            }
        }
    }
    expect_that!(served[0], near_count(200));
    expect_that!(served[1], near_count(100));
}

fn near_count(count: i32) -> impl Matcher<i32> {
    all!(ge(count - 3), le(count + 3))
}

#[gtest]
fn urgent_job_goes_first_regardless_of_its_tenants_share() {
    let mut shares = TenantShares::default();
    shares.charge("greedy", 1_000.0, 1);
    shares.charge("modest", 1.0, 1);
    let mut jobs = [
        candidate("late", "modest", 9_000),
        candidate("soon", "greedy", 1_015),
    ];
    expect_that!(first(&mut jobs, &shares), eq("soon"));
}

#[gtest]
fn new_tenant_starts_at_the_lowest_virtual_time() {
    let mut shares = TenantShares::default();
    shares.set_active_tenants(&BTreeSet::from(["old"]));
    shares.charge("old", 1_000.0, 1);
    shares.set_active_tenants(&BTreeSet::from(["old", "new"]));
    shares.charge("new", 1.0, 1);
    let mut jobs = [candidate("a", "old", 9_000), candidate("b", "new", 9_000)];
    // The new tenant started at the virtual time of the old one, so it is now ahead by one.
    expect_that!(first(&mut jobs, &shares), eq("a"));
}

#[gtest]
fn chunk_size_is_limited_by_share_target_and_bounds() {
    let sizing = ChunkSizing {
        items: 400_000,
        nodes: 8,
        item_us: 0,
        target_ms: 60_000,
        minimum: 8,
        maximum: 500,
    };
    expect_that!(chunks::chunk_items(&sizing), eq(500));
    let small = ChunkSizing {
        items: 160,
        ..sizing
    };
    expect_that!(chunks::chunk_items(&small), eq(20));
    let tiny = ChunkSizing { items: 3, ..sizing };
    expect_that!(chunks::chunk_items(&tiny), eq(8));
    let slow = ChunkSizing {
        item_us: 1_000_000,
        ..sizing
    };
    expect_that!(chunks::chunk_items(&slow), eq(60));
}

fn claimed(repeat: Repeat, started_items: u64) -> ChunkRow {
    ChunkRow {
        epoch: 4,
        holder: "a".to_owned(),
        holder_incarnation: 7,
        phase: ChunkPhase::ChunkClaimed as i32,
        repeat: repeat as i32,
        items: 8,
        started_items,
        ..ChunkRow::default()
    }
}

fn node(name: &str) -> Claimant {
    Claimant {
        node: name.to_owned(),
        incarnation: 7,
    }
}

#[gtest]
fn only_the_holder_reopens_a_chunk_unless_it_is_gone() {
    let row = claimed(Repeat::Allowed, 0);
    expect_that!(chunks::reopen(&row, &node("b"), false), none());
    for (claimant, gone) in [(node("a"), false), (node("b"), true)] {
        let opened = chunks::reopen(&row, &claimant, gone).expect("opened");
        expect_that!(opened.epoch, eq(5));
        expect_that!(opened.phase(), eq(ChunkPhase::ChunkOpen));
    }
    let done = ChunkRow {
        phase: ChunkPhase::ChunkDone as i32,
        ..row
    };
    expect_that!(chunks::reopen(&done, &node("a"), true), none());
}

#[gtest]
fn non_repeatable_item_started_under_an_earlier_epoch_is_not_started_again() {
    let row = claimed(Repeat::Never, 0b101);
    let opened = chunks::reopen(&row, &node("b"), true).expect("opened");
    let ClaimDecision::Write(next) = chunks::claim(&opened, &node("b"), false) else {
        panic!("not claimed");
    };
    let may: Vec<bool> = (0..4)
        .map(|index| chunks::may_start_item(&next, index))
        .collect();
    expect_that!(may, eq(&[false, true, false, true]));
    let repeatable = claimed(Repeat::Allowed, 0b101);
    expect_that!(chunks::may_start_item(&repeatable, 0), eq(true));
}
