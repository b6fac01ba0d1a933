//! `dappleyard explain`: the story of a request or job, from the decision records of the nodes.

use std::io::BufRead;
use std::process::ExitCode;

use clap::ArgMatches;
use dappleyard_model::TIME_FIELD;
use serde_json::{Map, Value};

use crate::failure::Failure;
use crate::summary::{Line, Summary};

/// Fields that name what a record is about.
const NAMES: [&str; 4] = ["request", "job", "item", "zone"];
/// Fields that do not belong to the facts of a record.
const FRAME: [&str; 3] = [TIME_FIELD, "uptime_ms", "event"];

/// One record that names the identifier.
struct Entry {
    /// Milliseconds since 1970.
    at_ms: u64,
    /// What stands before the record, such as a time and a machine.
    before: String,
    /// The record in plain words.
    words: String,
}

/// Prints what was asked for: the story of one identifier, or the summary of all.
pub fn run(arguments: &ArgMatches) -> Result<ExitCode, Failure> {
    match arguments.get_flag("summary") {
        true => summary(arguments),
        false => story(arguments),
    }
}

fn records(arguments: &ArgMatches) -> Result<Box<dyn BufRead>, Failure> {
    let file = arguments
        .get_one::<String>("log")
        .map_or("", String::as_str);
    Ok(match file {
        "-" => Box::new(std::io::stdin().lock()),
        path => Box::new(std::io::BufReader::new(std::fs::File::open(path)?)),
    })
}

/// Prints what became of all requests and items of a file, and why.
fn summary(arguments: &ArgMatches) -> Result<ExitCode, Failure> {
    let mut summary = Summary::default();
    for line in records(arguments)?.lines() {
        if let Some((_, record)) = record(&line?) {
            summary.take(&record);
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

/// What stands before the record of a line, and the record.
fn record(line: &str) -> Option<(&str, Map<String, Value>)> {
    let start = line.find('{')?;
    let record = serde_json::from_str(&line[start..]).ok()?;
    Some((&line[..start], record))
}

/// Prints the records of a file that name an identifier, in plain words and in the order of their
/// times, which are told from the first of them on.
fn story(arguments: &ArgMatches) -> Result<ExitCode, Failure> {
    let argument = |name| arguments.get_one::<String>(name).map_or("", String::as_str);
    let (file, id) = (argument("log"), argument("id"));
    let mut story = Vec::new();
    for line in records(arguments)?.lines() {
        story.extend(entry(&line?, id));
    }
    story.sort_by_key(|entry| entry.at_ms);
    let Some(first_ms) = story.first().map(|entry| entry.at_ms) else {
        return Err(Failure::Usage {
            cause: format!("{file}: no record names {id}"),
        });
    };
    for entry in story {
        let since_ms = entry.at_ms - first_ms;
        println!("{}{since_ms:>+7} ms  {}", entry.before, entry.words);
    }
    Ok(ExitCode::SUCCESS)
}

/// One record, when it names the identifier.
fn entry(line: &str, id: &str) -> Option<Entry> {
    let (before, record) = record(line)?;
    let about = NAMES
        .iter()
        .any(|name| record.get(*name).and_then(Value::as_str) == Some(id));
    if !about {
        return None;
    }
    let event = record.get("event")?.as_str()?.to_owned();
    let facts: Vec<String> = record
        .iter()
        .filter(|(name, _)| !FRAME.contains(&name.as_str()))
        .map(|(name, value)| format!("{} {}", name.replace('_', " "), plain(value)))
        .collect();
    Some(Entry {
        at_ms: record.get(TIME_FIELD).and_then(Value::as_u64).unwrap_or(0),
        before: before.to_owned(),
        words: format!("{}: {}", words(&event), facts.join(", ")),
    })
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "unknown".to_owned(),
        other => other.to_string(),
    }
}

/// What an event means, for people.
fn words(event: &str) -> &str {
    match event {
        // "far" stands for a server of another region, "region" for one of another zone of the own one.
        "home_region_unknown" => "the configuration names a home region that no zone is in",
        "placed" => "a server was chosen",
        "attempt_failed" => "an attempt at a server failed",
        "server_answered_failure" => "the server answered with a failure",
        "request_refused" => "the node answered by itself",
        "stream_broke" => "the server's stream broke",
        "server_ended" => "the server ended while it ran the request",
        "request_blamed" => "the request runs no more: too many servers ended under it",
        "request_cleared" => "the request may run again",
        "caller_left" => "the caller closed its connection before the end",
        "answer_cut" => "the answer was cut, visibly for the caller",
        "answer_unread" => "the answer was ended: its caller does not read it",
        "request_finished" => "the whole answer was passed on",
        "answer_of_another_request" => "an answer to another request was passed over",
        "job_submitted" => "a job came",
        "job_claim" => "a node tried to take the job over",
        "job_lost" => "the node no longer owns the job",
        "job_released" => "a stopping node gave the job back",
        "job_load_failed" => "the job could not be read from the store",
        "job_end_asked" => "the end of the job was asked for",
        "item_run" => "a run of an item ended",
        "item_paused" => "an item was paused for online work",
        "batch_closed" => "requests wait for a slot of the service: no item begins",
        "batch_opened" => "nobody waits for a slot of the service any more: items begin again",
        "items_given_up" => "items were given up",
        "results_committed" => "results were committed",
        "zone_evacuated" => "the operators had the zone evacuated: its servers get nothing more",
        "zone_empty" => "nothing runs in the evacuated zone any more",
        "zone_restored" => "the operators took the evacuated zone back",
        "order_refused" => "a row of the operators cannot be read, and changes nothing",
        "commit_failed" => "a commit got no answer of use",
        "server_cold" => "a server is cold and gets a bounded rate",
        "server_warm" => "a server is warm",
        "server_temperature_unknown" => "nobody knows whether a server is cold; it is asked",
        "server_health" => "a server was asked how cold it is",
        other => other,
    }
}
