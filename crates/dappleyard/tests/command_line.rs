//! The command line: settings check, bad usage, `explain` and `zones`.

use std::io::{Read, Write};
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

#[gtest]
fn check_names_every_error_of_the_platforms_settings() {
    let file = settings_file(
        "platform.toml",
        "node_name = 1\n[platform]\naddress = \"x\"\n",
    );
    let output = dappleyard(&["check", "--kind", "serve", &file]);
    expect_that!(output.status.code(), some(eq(2)));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    for key in [
        "node_name",
        "ip",
        "zone",
        "port_range",
        "listen.front",
        "platform.address",
    ] {
        expect_that!(text, contains_substring(format!("{key}: ")));
    }
}

#[gtest]
fn serve_without_settings_exits_2_and_names_the_file() {
    let output = dappleyard(&["serve", "--settings", "/nowhere/node.toml"]);
    expect_that!(output.status.code(), some(eq(2)));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(text, contains_substring("/nowhere/node.toml"));
}

#[gtest]
fn explain_prints_the_records_of_one_request_in_order() {
    let records = concat!(
        "1.9 node-b {\"at_ms\":1900,\"uptime_ms\":7,\"event\":\"request_finished\",\"request\":\"r1\",\"took_ms\":400}\n",
        "1.5 node-a {\"at_ms\":1500,\"uptime_ms\":900,\"event\":\"placed\",\"request\":\"r1\",\"server\":\"i-1\"}\n",
        "1.6 node-a {\"at_ms\":1600,\"event\":\"placed\",\"request\":\"r2\",\"server\":\"i-2\"}\n",
        "not a record\n",
        "1.7 node-a {\"at_ms\":1700,\"event\":\"attempt_failed\",\"request\":\"r1\",\"cause\":\"silent\"}\n",
    );
    let file = settings_file("records.log", records);
    let output = dappleyard(&["explain", "--log", &file, "r1"]);
    expect_that!(output.status.code(), some(eq(0)));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(text.lines().count(), eq(3));
    // Records of several nodes and processes are ordered by wall-clock time, not by uptime.
    let times: Vec<&str> = text
        .lines()
        .filter_map(|line| line.split(" ms  ").next())
        .collect();
    let ends = |at: usize, end: &str| times[at].ends_with(end);
    expect_that!(
        ends(0, "+0") && ends(1, "+200") && ends(2, "+400"),
        eq(true),
        "{text}"
    );
    expect_that!(text, contains_substring("took ms 400"));
    expect_that!(text, contains_substring("a server was chosen"));
    expect_that!(text, contains_substring("cause silent"));
    expect_that!(
        dappleyard(&["explain", "--log", &file, "r9"]).status.code(),
        some(eq(2))
    );
}

#[gtest]
fn explain_shows_resumptions() {
    let records = concat!(
        "1.5 node-a {\"at_ms\":1500,\"event\":\"placed\",\"request\":\"r1\",\"server\":\"i-1\",\"version\":\"v1\"}\n",
        "1.9 node-b {\"at_ms\":1900,\"event\":\"resumption\",\"request\":\"r2\",\"resumes\":\"r1\",",
        "\"origin\":\"llm v1\",\"known_by\":\"other nodes\"}\n",
        "1.9 node-b {\"at_ms\":1901,\"event\":\"placed\",\"request\":\"r2\",\"server\":\"i-3\"}\n",
    );
    let file = settings_file("resumed.log", records);
    let output = dappleyard(&["explain", "--log", &file, "r1"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(text.lines().count(), eq(2), "{text}");
    expect_that!(text, contains_substring("origin llm v1"));
    expect_that!(text, contains_substring("known by other nodes"));
}

/// Serves one request for metrics and returns the address.
fn serve_metrics_once(text: &'static str) -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let mut call = [0_u8; 1024];
        let length = stream.read(&mut call).expect("a call");
        assert!(call[..length].starts_with(b"GET /metrics "));
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}",
            text.len()
        );
        stream.write_all(answer.as_bytes()).expect("sent");
    });
    address
}

#[gtest]
fn zones_prints_a_line_per_zone() {
    let node = serve_metrics_once(
        "# TYPE dappleyard_zone_servers gauge\n\
         dappleyard_zone_servers{zone=\"north\"} 3\n\
         dappleyard_zone_servers{zone=\"south\"} 2\n\
         dappleyard_orders_age_ms 12\n\
         dappleyard_evacuated_zone_age_ms{zone=\"north\"} 6200\n\
         dappleyard_evacuated_zone_age_ms{zone=\"west\"} 900\n\
         dappleyard_evacuated_zone_revision{zone=\"north\"} 57\n\
         dappleyard_evacuated_zone_revision{zone=\"west\"} 58\n\
         dappleyard_evacuated_zone_online{zone=\"north\"} 1\n\
         dappleyard_evacuated_zone_items{zone=\"north\"} 4\n\
         dappleyard_evacuated_zone_empty{zone=\"north\"} 0\n\
         dappleyard_evacuated_zone_empty{zone=\"west\"} 0\n",
    );
    let output = dappleyard(&["zones", "--node", &node]);
    expect_that!(output.status.code(), some(eq(0)));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let words = |line: usize| -> Vec<&str> {
        let line = text.lines().nth(line).unwrap_or_default();
        line.split_whitespace().collect()
    };
    expect_that!(
        words(1),
        eq(&["north", "3", "6.2", "s", "57", "1", "4", "no"])
    );
    expect_that!(words(2), eq(&["south", "2", "-"]));
    // Evacuation is ordered, but the zone has no server and its work counts are unknown.
    expect_that!(
        words(3),
        eq(&["west", "0", "0.9", "s", "58", "unknown", "unknown", "no"])
    );
    expect_that!(text, contains_substring("orders as of 12 ms ago"));
}

#[gtest]
fn zones_fails_without_a_reachable_node() {
    let output = dappleyard(&["zones", "--node", "127.0.0.1:1"]);
    expect_that!(output.status.code(), some(eq(1)));
    let output = dappleyard(&["zones"]);
    expect_that!(output.status.code(), some(eq(2)));
}
