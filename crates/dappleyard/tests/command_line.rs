//! The command line as a new user meets it: help, the settings check, and bad usage.

use std::process::{Command, Output};

use googletest::prelude::*;

fn dappleyard(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dappleyard"))
        .args(arguments)
        .output()
        .expect("the program runs")
}

fn settings_file(name: &str, text: &str) -> String {
    let file = std::env::temp_dir().join(format!("dappleyard-{}-{name}", std::process::id()));
    std::fs::write(&file, text).expect("a file in the temporary directory");
    file.display().to_string()
}

#[gtest]
fn check_prints_the_effective_settings() {
    let file = settings_file("good.toml", "id = \"node-9\"\n");
    let output = dappleyard(&["check", &file]);
    expect_that!(output.status.code(), some(eq(0)));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(text, contains_substring("id = \"node-9\""));
    expect_that!(text, contains_substring("stop_bound_ms = 30000"));
}

#[gtest]
fn check_prints_every_error_and_exits_2() {
    let file = settings_file("bad.toml", "ids = 1\nworkers = \"x\"\n");
    let output = dappleyard(&["check", &file]);
    expect_that!(output.status.code(), some(eq(2)));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(text, contains_substring(":1: ids: unknown key"));
    expect_that!(text, contains_substring(":2: workers: expected integer"));
}

#[gtest]
fn a_bad_flag_is_refused_before_anything_starts() {
    let output = dappleyard(&["node", "--link", "nowhere"]);
    expect_that!(output.status.code(), some(eq(2)));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(
        text,
        contains_substring("link_listen: must be an IP address and port")
    );
}

#[gtest]
fn an_unknown_subcommand_exits_2() {
    expect_that!(dappleyard(&["bogus"]).status.code(), some(eq(2)));
}
