//! `dappleyard explain`: prints the history of a request or job from the nodes' decision records.

use std::io::BufRead;
use std::process::ExitCode;

use clap::ArgMatches;
use dappleyard_model::TIME_FIELD;
use serde_json::{Map, Value};

use crate::failure::Failure;
use crate::summary::{Line, Summary};

/// Record fields that identify its subject; `resumes` is the attempt that began a resumed stream.
const SUBJECT_FIELDS: [&str; 5] = ["request", "resumes", "job", "item", "zone"];
/// Record fields that are not printed as details.
const ENVELOPE_FIELDS: [&str; 3] = [TIME_FIELD, "uptime_ms", "event"];

struct HistoryEntry {
    at_ms: u64,
    /// Text before the record on its line, such as a time and a machine.
    prefix: String,
    /// Readable form of the record.
    description: String,
}

/// Prints the history of one identifier, or the summary of all records.
pub fn run(arguments: &ArgMatches) -> Result<ExitCode, Failure> {
    match arguments.get_flag("summary") {
        true => summary(arguments),
        false => history(arguments),
    }
}

fn open_log(arguments: &ArgMatches) -> Result<Box<dyn BufRead>, Failure> {
    let file = arguments
        .get_one::<String>("log")
        .map_or("", String::as_str);
    Ok(match file {
        "-" => Box::new(std::io::stdin().lock()),
        path => Box::new(std::io::BufReader::new(std::fs::File::open(path)?)),
    })
}

/// Prints counts of all requests and items of a file, by outcome and cause.
fn summary(arguments: &ArgMatches) -> Result<ExitCode, Failure> {
    let mut summary = Summary::default();
    for line in open_log(arguments)?.lines() {
        if let Some((_, record)) = parse_record(&line?) {
            summary.add(&record);
        }
    }
    let (requests, items) = (summary.requests(), summary.items());
    if arguments.get_flag("json") {
        println!(
            "{}",
            serde_json::json!({"requests": requests, "items": items})
        );
        return Ok(ExitCode::SUCCESS);
    }
    print_lines("requests", &requests);
    print_lines("items", &items);
    Ok(ExitCode::SUCCESS)
}

fn print_lines(heading: &str, lines: &[Line]) {
    let total: u64 = lines.iter().map(|line| line.count).sum();
    println!("{heading}: {total}");
    for line in lines {
        println!(
            "{:>8}  {:<16}{}  ({})",
            line.count,
            line.end,
            line.cause,
            line.examples.join(", ")
        );
    }
}

/// Splits a line into the text before the JSON record and the record.
fn parse_record(line: &str) -> Option<(&str, Map<String, Value>)> {
    let start = line.find('{')?;
    let record = serde_json::from_str(&line[start..]).ok()?;
    Some((&line[..start], record))
}

/// Prints the records that match an identifier in time order, with times relative to the first one.
fn history(arguments: &ArgMatches) -> Result<ExitCode, Failure> {
    let argument = |name| arguments.get_one::<String>(name).map_or("", String::as_str);
    let (file, id) = (argument("log"), argument("id"));
    let mut history = Vec::new();
    for line in open_log(arguments)?.lines() {
        history.extend(parse_entry(&line?, id));
    }
    history.sort_by_key(|entry| entry.at_ms);
    let Some(first_ms) = history.first().map(|entry| entry.at_ms) else {
        return Err(Failure::Usage {
            cause: format!("{file}: no record matches {id}"),
        });
    };
    for entry in history {
        let since_ms = entry.at_ms - first_ms;
        println!("{}{since_ms:>+7} ms  {}", entry.prefix, entry.description);
    }
    Ok(ExitCode::SUCCESS)
}

/// Parses a line; `None` when it is no record of the identifier.
fn parse_entry(line: &str, id: &str) -> Option<HistoryEntry> {
    let (prefix, record) = parse_record(line)?;
    let matches_id = SUBJECT_FIELDS
        .iter()
        .any(|name| record.get(*name).and_then(Value::as_str) == Some(id));
    if !matches_id {
        return None;
    }
    let event = record.get("event")?.as_str()?.to_owned();
    let facts: Vec<String> = record
        .iter()
        .filter(|(name, _)| !ENVELOPE_FIELDS.contains(&name.as_str()))
        .map(|(name, value)| format!("{} {}", name.replace('_', " "), format_value(value)))
        .collect();
    Some(HistoryEntry {
        at_ms: record.get(TIME_FIELD).and_then(Value::as_u64).unwrap_or(0),
        prefix: prefix.to_owned(),
        description: format!("{}: {}", description(&event), facts.join(", ")),
    })
}

fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "unknown".to_owned(),
        other => other.to_string(),
    }
}

/// Readable description of an event; unknown events are returned as they are.
fn description(event: &str) -> &str {
    match event {
        // In its details, "far" is a server of another region, "region" one of another zone of this region.
        "home_region_unknown" => "the configuration names a home region that no zone is in",
        "placed" => "a server was chosen",
        "attempt_failed" => "an attempt at a server failed",
        "server_answered_failure" => "the server answered with a failure",
        "request_refused" => "the node answered by itself",
        "stream_broke" => "the server's stream broke",
        "versions_refused" => "the recorded software versions of a service cannot be decoded",
        "versions_recorded" => "the software versions of a service were recorded in the store",
        "resumption" => "the caller asked to resume the stream of an earlier attempt",
        "server_ended" => "the server stopped while it ran the request",
        "feature_refused" => "too many servers stopped while running requests with this feature",
        "feature_cleared" => "requests with this feature may run again",
        "caller_left" => "the caller closed its connection before the end",
        "answer_cut" => "the answer was truncated, and the caller can detect it",
        "answer_unread" => "the answer was ended because its caller does not read it",
        "request_finished" => "the whole answer was passed on",
        "server_refused_request" => "a server said that it did not run it",
        "malformed_answer" => "a server sent bytes that are no answer",
        "answer_without_end" => "a server sent more than any answer may have",
        "item_started" => "an item was sent to a server",
        "job_taken" => "another node owns the job",
        "answer_of_another_request" => "an answer to another request was discarded",
        "job_submitted" => "a job was submitted",
        "job_claim" => "a node tried to take the job over",
        "job_lost" => "the node no longer owns the job",
        "job_released" => "a stopping node gave the job back",
        "job_load_failed" => "the job could not be read from the store",
        "job_end_asked" => "the job was asked to end",
        "item_run" => "a run of an item ended",
        "item_paused" => "an item was paused for online work",
        "batch_closed" => "requests wait for a slot of the service; no items are started",
        "batch_opened" => {
            "no request waits for a slot of the service any more; items are started again"
        }
        "item_restarted" => "an item dropped its output, since no server may continue it",
        "items_given_up" => "items were given up",
        "results_committed" => "results were committed",
        "zone_evacuated" => "the operators had the zone evacuated: its servers get nothing more",
        "zone_empty" => "nothing runs in the evacuated zone any more",
        "zone_restored" => "the operators took the evacuated zone back",
        "order_refused" => "an operator's row cannot be read and is ignored",
        "commit_failed" => "a commit got no answer of use",
        "server_cold" => "a server is cold and gets a limited rate",
        "server_warm" => "a server is warm",
        "server_temperature_unknown" => "it is unknown whether a server is cold; it is probed",
        "server_health" => "a server was asked how cold it is",
        other => other,
    }
}
