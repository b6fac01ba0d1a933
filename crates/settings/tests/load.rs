//! Defaults, validation and error messages of settings files.

use dappleyard_settings::{NodeSettings, parse_node, parse_sidecar, validate_node};
use googletest::prelude::*;

#[gtest]
fn empty_file_gives_the_defaults() {
    expect_that!(parse_node("n.toml", ""), ok(eq(&NodeSettings::default())));
}

#[gtest]
fn defaults_are_valid() {
    expect_that!(validate_node(&NodeSettings::default()), ok(anything()));
}

#[gtest]
fn all_problems_are_reported_with_line_and_key() {
    let text = "id = \"n1\"\nwrokers = 3\nworkers = \"two\"\n\n[online]\nbogus = 1\n\
                report_interval_ms = -5\n\n[fleet]\nseeds = [1]\n";
    let problems = parse_node("n.toml", text).unwrap_err().problems;
    expect_that!(
        problems,
        unordered_elements_are![
            starts_with("n.toml:2: wrokers: unknown key"),
            starts_with("n.toml:3: workers: expected integer, found string"),
            starts_with("n.toml:6: online.bogus: unknown key"),
            starts_with("n.toml:7: online.report_interval_ms: must not be negative"),
            starts_with("n.toml:10: fleet.seeds: each item must be a string"),
        ]
    );
}

#[gtest]
fn out_of_range_values_are_reported() {
    let text = "link_listen = \"localhost:1\"\n[online]\nleaving_bound_ms = 9000\n";
    let problems = parse_node("n.toml", text).unwrap_err().problems;
    expect_that!(
        problems,
        unordered_elements_are![
            starts_with("n.toml:1: link_listen: must be an IP address"),
            starts_with("n.toml:3: online.leaving_bound_ms: must be from 1 to 3000"),
        ]
    );
}

#[gtest]
fn sidecar_listens_on_loopback_only() {
    let problems = parse_sidecar("s.toml", "listen = \"0.0.0.0:80\"")
        .unwrap_err()
        .problems;
    expect_that!(
        problems,
        elements_are![contains_substring("must be a loopback address")]
    );
}

#[gtest]
fn syntax_error_is_reported_with_its_line() {
    let problems = parse_node("n.toml", "id = \"a\"\nworkers = = 3\n")
        .unwrap_err()
        .problems;
    expect_that!(problems, each(starts_with("n.toml:2:")));
}

#[gtest]
fn invalid_value_set_after_parsing_is_reported() {
    let settings = NodeSettings {
        workers: 0,
        ..NodeSettings::default()
    };
    let problems = validate_node(&settings).unwrap_err().problems;
    expect_that!(
        problems,
        elements_are![starts_with("workers: must be from 1 to 64")]
    );
}
