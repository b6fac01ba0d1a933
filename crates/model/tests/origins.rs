//! Where runs may be continued.

use dappleyard_model::{RunOrigin, ServerRecord, may_run_at};
use googletest::prelude::*;

fn server(service: &str, version: &str) -> ServerRecord {
    ServerRecord {
        id: "i-1".to_owned(),
        instance: "i-1".to_owned(),
        service: service.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "north".to_owned(),
        version: version.parse().ok(),
        slots: 8,
        draining: false,
        cold_left_ms: 0,
    }
}

// Guards against output of two software versions, or of two services of a split route, in one run.
#[gtest]
fn only_the_same_origin() {
    let origin = RunOrigin::of(&server("llm", "v1"));
    let may_run = |service, version| may_run_at(Some(&origin), &server(service, version));
    expect_that!(may_run("llm", "v1"), eq(true));
    expect_that!(may_run("llm", "v2"), eq(false));
    expect_that!(may_run("other", "v1"), eq(false));
    expect_that!(may_run("llm", ""), eq(false));
    expect_that!(may_run_at(None, &server("other", "v2")), eq(true));
}

// Guards against two unknown versions that pass for the same one.
#[gtest]
fn unknown_version_matches_none() {
    let unknown = server("llm", "");
    expect_that!(unknown.version, none());
    expect_that!(RunOrigin::of(&unknown).continues_at(&unknown), eq(false));
}
