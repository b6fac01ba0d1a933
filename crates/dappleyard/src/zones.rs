//! `dappleyard zones`: which zones are evacuated, and what still runs there, from a node's metrics.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;

use crate::failure::Failure;

/// Longest wait for the node: it answers from memory.
const LIMIT: Duration = Duration::from_secs(3);
/// Beginning of all names of metrics.
const PREFIX: &str = "dappleyard_";
/// Metrics of evacuated zones that are told.
const EVACUATED: &str = "evacuated_zone_";

/// Figures of one zone by the end of their names.
type Figures = BTreeMap<String, u64>;

/// Prints a line for each zone.
pub fn run(arguments: &ArgMatches) -> Result<ExitCode, Failure> {
    let Some(node) = arguments.get_one::<SocketAddr>("node") else {
        return Err(Failure::Usage {
            cause: "--node: missing".to_owned(),
        });
    };
    print!("{}", table(&metrics(*node)?));
    Ok(ExitCode::SUCCESS)
}

/// The metrics of a node.
fn metrics(node: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&node, LIMIT)?;
    stream.set_read_timeout(Some(LIMIT))?;
    let call = format!("GET /metrics HTTP/1.1\r\nHost: {node}\r\nConnection: close\r\n\r\n");
    stream.write_all(call.as_bytes())?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    match answer.split_once("\r\n\r\n") {
        Some((head, body)) if head.starts_with("HTTP/1.1 200") => Ok(body.to_owned()),
        _ => Err(std::io::Error::other(format!(
            "{node}: no metrics there: {}",
            answer.lines().next().unwrap_or("no answer")
        ))),
    }
}

/// A line of metrics about a zone: the name without its prefix, the zone, and the value.
fn figure(line: &str) -> Option<(&str, &str, u64)> {
    let (name, rest) = line.strip_prefix(PREFIX)?.split_once("{zone=\"")?;
    let (zone, value) = rest.rsplit_once("\"} ")?;
    Some((name, zone, value.parse().ok()?))
}

fn table(metrics: &str) -> String {
    let mut zones: BTreeMap<&str, Figures> = BTreeMap::new();
    for (name, zone, value) in metrics.lines().filter_map(figure) {
        let name = name.strip_prefix(EVACUATED).unwrap_or(name);
        zones
            .entry(zone)
            .or_default()
            .insert(name.to_owned(), value);
    }
    let width = zones
        .keys()
        .map(|zone| zone.len())
        .max()
        .unwrap_or(0)
        .max(4);
    let mut text = format!(
        "{:width$}  {:>7}  {:>13}  {:>8}  {:>8}  {:>5}  empty\n",
        "zone", "servers", "evacuated for", "revision", "requests", "items"
    );
    for (zone, figures) in zones {
        text.push_str(&format!("{zone:width$}  {}\n", line(&figures)));
    }
    let mut ages = metrics.lines().filter_map(|line| {
        let age = line.strip_prefix("dappleyard_orders_age_ms ")?;
        age.parse::<u64>().ok()
    });
    match ages.next() {
        Some(age_ms) => text.push_str(&format!("orders as of {age_ms} ms ago\n")),
        None => text.push_str("this node knows no orders yet\n"),
    }
    text
}

/// What is told of a zone, behind its name.
fn line(figures: &Figures) -> String {
    let plain = |name: &str| figures.get(name).map_or("-".to_owned(), u64::to_string);
    let servers = figures.get("zone_servers").copied().unwrap_or(0);
    let Some(age_ms) = figures.get("age_ms") else {
        return format!("{servers:>7}  {:>13}", "-");
    };
    // A node of a large fleet may not have been told yet what runs there.
    let told = |name: &str| {
        figures
            .get(name)
            .map_or("unknown".to_owned(), u64::to_string)
    };
    let empty = match figures.get("empty") {
        Some(1) => "yes",
        _ => "no",
    };
    format!(
        "{servers:>7}  {:>11.1} s  {:>8}  {:>8}  {:>5}  {empty}",
        *age_ms as f64 / 1_000.0,
        plain("revision"),
        told("online"),
        told("items"),
    )
}
