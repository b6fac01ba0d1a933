//! Scenario files of the repository are valid; invalid ones are rejected with their location.

use std::path::PathBuf;
use std::time::Duration;

use dappleyard_lab::faults::FaultFile;
use dappleyard_lab::load::plan::LoadPlan;
use dappleyard_lab::scenario::Scenario;
use googletest::prelude::*;

fn repo_scenario(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../scenarios")
        .join(name)
}

fn small_text() -> String {
    std::fs::read_to_string(repo_scenario("small.toml")).expect("repository scenario")
}

#[gtest]
fn repository_scenarios_have_the_expected_sizes() {
    let hooghly = Scenario::load(&repo_scenario("hooghly.toml")).expect("hooghly");
    let nile = Scenario::load(&repo_scenario("nile.toml")).expect("nile");
    expect_that!(hooghly.zones.len(), eq(3));
    expect_that!(hooghly.server_count(), eq(12));
    expect_that!(nile.zones.len(), eq(4));
    expect_that!(nile.server_count(), eq(18));
    for zone in hooghly.zones.iter().chain(&nile.zones) {
        expect_that!(zone.nodes, ge(2));
    }
}

#[gtest]
fn unknown_key_is_refused_with_its_place() {
    let text = small_text().replace("[online]", "[online]\nunheard_of = 1");
    expect_that!(
        Scenario::parse(&text),
        err(all![
            contains_substring("unheard_of"),
            contains_substring("line")
        ])
    );
}

#[gtest]
fn every_bad_value_is_named_at_once() {
    let text = small_text()
        .replace("busy_per_s = 16.0", "busy_per_s = 0.0")
        .replace("base_ms = 3.2", "base_ms = -1.0");
    expect_that!(
        Scenario::parse(&text),
        err(all![
            contains_substring("online.busy_per_s"),
            contains_substring("engine.base_ms")
        ])
    );
}

#[gtest]
fn arrivals_depend_on_the_seed_only() {
    let scenario = Scenario::load(&repo_scenario("small.toml")).expect("small");
    let length = Duration::from_secs(8);
    let first = LoadPlan::draw(&scenario, 7, length);
    expect_that!(LoadPlan::draw(&scenario, 7, length), eq(&first));
    expect_that!(LoadPlan::draw(&scenario, 8, length), not(eq(&first)));
    expect_that!(
        first.jobs.iter().any(|job| job.cancel_after.is_some()),
        eq(true)
    );
    let items = first.jobs[0].items(&scenario.batch);
    expect_that!(items.len() as u32, eq(first.jobs[0].items));
    expect_that!(first.jobs[0].items(&scenario.batch), eq(&items));
}

#[gtest]
fn repository_fault_files_are_valid() {
    let directory = repo_scenario("faults");
    let mut files = 0;
    for entry in std::fs::read_dir(directory).expect("fault files") {
        let path = entry.expect("entry").path();
        expect_that!(FaultFile::load(&path), ok(anything()), "{path:?}");
        files += 1;
    }
    expect_that!(files, ge(20));
}

#[gtest]
fn unknown_fault_is_refused() {
    let text = "[[fault]]\nat_s = 1.0\nwhat = \"volcano\"\n";
    expect_that!(FaultFile::parse(text), err(contains_substring("volcano")));
}
