//! Command line: definition, conversion to intents, table layout, exit codes.

use dappleyard_ctl::time::duration;
use dappleyard_ctl::{command, intent, run, tables};
use dappleyard_operate::intent::{DrainKind, Intent};
use dappleyard_operate::status::{FleetStatus, ServerStatus};
use googletest::prelude::*;

fn parse_intent(arguments: &str) -> Intent {
    let args = std::iter::once("ctl").chain(arguments.split(' '));
    let matches = command().try_get_matches_from(args).expect("it parses");
    let (_, plan) = matches.subcommand().expect("a command");
    let (kind, rest) = plan.subcommand().expect("an intent");
    intent(kind, rest).expect("an intent")
}

#[gtest]
fn the_command_line_definition_is_valid() {
    command().debug_assert();
}

#[gtest]
fn arguments_become_intents() {
    let Intent::Rollout(rollout) = parse_intent("plan rollout fittings-llm v8 --canary-percent 20")
    else {
        panic!("a rollout");
    };
    expect_that!(rollout.canary_percent, eq(20));
    let Intent::Drain(drain) = parse_intent("plan drain hall howrah-hall") else {
        panic!("a drain");
    };
    expect_that!(drain.kind, eq(DrainKind::Hall));
    let window =
        "plan window dispatch --service yard-assist --start 17:30 --end 20:00 --days mon,sun";
    let Intent::Window(window) = parse_intent(window) else {
        panic!("a window");
    };
    expect_that!(window.start_s, eq(63_000));
    expect_that!(window.days, eq(0b100_0001));
}

#[gtest]
fn tables_fit_the_width_and_do_not_wrap_names() {
    let name = "khidirpur-hall-server-1234";
    let server = ServerStatus {
        server: name.to_owned(),
        service: "fittings-llm".to_owned(),
        region: "bengal".to_owned(),
        zone: "khidirpur-hall".to_owned(),
        hall: "khidirpur-hall".to_owned(),
        owner: "khidirpur-hall-node-12".to_owned(),
        state: "withdrawn".to_owned(),
        reason: String::new(),
        live: None,
    };
    let fleet = FleetStatus {
        servers: vec![server.clone(); 3],
        ..FleetStatus::default()
    };
    let listing = tables::servers(&fleet.servers).to_string();
    expect_that!(listing, contains_substring(name));
    for text in [listing, tables::status(&fleet)] {
        let widest = text.lines().map(|line| line.chars().count()).max();
        expect_that!(widest, some(le(usize::from(tables::WIDTH))));
    }
}

#[gtest]
fn durations_are_formatted_in_their_two_largest_units() {
    let cases = [
        (900, "900 ms"),
        (1_500, "1.5 s"),
        (61_000, "1 min 1 s"),
        (90_000_000, "1 d 1 h"),
    ];
    for (milliseconds, args) in cases {
        expect_that!(duration(milliseconds), eq(args));
    }
}

#[gtest]
fn an_unreachable_fleet_exits_with_1_and_invalid_usage_with_2() {
    // Port 1 on loopback refuses connections.
    let args = ["ctl", "--admin", "127.0.0.1:1", "status"];
    expect_that!(run(&command().get_matches_from(args)), eq(1));
    let args = ["ctl", "plan", "json", "{}"];
    expect_that!(run(&command().get_matches_from(args)), eq(2));
}
