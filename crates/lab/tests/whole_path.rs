//! End-to-end run in one process: callers, sidecars, nodes, engines, platform and an operator.

use std::path::{Path, PathBuf};

use dappleyard_lab::run::{RunArguments, command, run_seed};
use googletest::prelude::*;

fn repo_scenario(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    root.join("scenarios").join(name).display().to_string()
}

#[gtest]
fn small_scenario_holds_every_invariant() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("whole-path");
    let scenario = repo_scenario("small.toml");
    let out = directory.display().to_string();
    let line = [
        "run",
        "--scenario",
        &scenario,
        "--seconds",
        "6",
        "--out",
        &out,
    ];
    let arguments = RunArguments::read(&command().get_matches_from(line)).expect("arguments");
    let outcome = actix_rt::System::new()
        .block_on(run_seed(&arguments, 1, &directory))
        .expect("a run");
    for (name, verdict) in &outcome.summary.invariants {
        expect_that!(verdict.violated, eq(0), "{name}: {:?}", verdict.examples);
    }
    let checked = |name: &str| outcome.summary.invariants[name].checked;
    expect_that!(checked("stream_integrity"), gt(0));
    expect_that!(checked("exactly_once"), gt(0));
    expect_that!(checked("at_most_once"), gt(0));
    expect_that!(checked("graceful_shutdown"), gt(0));
}
