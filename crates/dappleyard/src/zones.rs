//! `dappleyard zones`: prints which zones are evacuated and what still runs there, from a node's metrics.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;

use crate::failure::Failure;

/// Timeout for connecting to the node and for each read.
const NODE_TIMEOUT: Duration = Duration::from_secs(3);
const METRIC_PREFIX: &str = "dappleyard_";
/// Prefix of the metrics of evacuated zones, after `METRIC_PREFIX`.
const EVACUATION_PREFIX: &str = "evacuated_zone_";

/// Metric values of one zone, by metric name without its prefixes.
type ZoneMetrics = BTreeMap<String, u64>;

/// Prints a table with a line for each zone.
pub fn run(arguments: &ArgMatches) -> Result<ExitCode, Failure> {
    let Some(node) = arguments.get_one::<SocketAddr>("node") else {
        return Err(Failure::Usage {
            cause: "--node: missing".to_owned(),
        });
    };
    print!("{}", format_table(&fetch_metrics(*node)?));
    Ok(ExitCode::SUCCESS)
}

fn fetch_metrics(node: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&node, NODE_TIMEOUT)?;
    stream.set_read_timeout(Some(NODE_TIMEOUT))?;
    let request = format!("GET /metrics HTTP/1.1\r\nHost: {node}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    let response = String::from_utf8_lossy(&response).into_owned();
    match response.split_once("\r\n\r\n") {
        Some((head, body)) if head.starts_with("HTTP/1.1 200") => Ok(body.to_owned()),
        _ => Err(std::io::Error::other(format!(
            "{node}: unexpected response to GET /metrics: {}",
            response.lines().next().unwrap_or("no answer")
        ))),
    }
}

/// Parses a metric line with a zone label into its name without `METRIC_PREFIX`, zone and value.
fn parse_zone_metric(line: &str) -> Option<(&str, &str, u64)> {
    let (name, rest) = line.strip_prefix(METRIC_PREFIX)?.split_once("{zone=\"")?;
    let (zone, value) = rest.rsplit_once("\"} ")?;
    Some((name, zone, value.parse().ok()?))
}

fn format_table(metrics: &str) -> String {
    let mut zones: BTreeMap<&str, ZoneMetrics> = BTreeMap::new();
    for (name, zone, value) in metrics.lines().filter_map(parse_zone_metric) {
        let name = name.strip_prefix(EVACUATION_PREFIX).unwrap_or(name);
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
    for (zone, values) in zones {
        text.push_str(&format!("{zone:width$}  {}\n", format_zone(&values)));
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

/// Formats the columns after the zone's name.
fn format_zone(values: &ZoneMetrics) -> String {
    let value_or_dash = |name: &str| values.get(name).map_or("-".to_owned(), u64::to_string);
    let servers = values.get("zone_servers").copied().unwrap_or(0);
    let Some(age_ms) = values.get("age_ms") else {
        return format!("{servers:>7}  {:>13}", "-");
    };
    // In a large fleet, a node may not have received the zone's work counts yet.
    let value_or_unknown = |name: &str| {
        values
            .get(name)
            .map_or("unknown".to_owned(), u64::to_string)
    };
    let empty = match values.get("empty") {
        Some(1) => "yes",
        _ => "no",
    };
    format!(
        "{servers:>7}  {:>11.1} s  {:>8}  {:>8}  {:>5}  {empty}",
        *age_ms as f64 / 1_000.0,
        value_or_dash("revision"),
        value_or_unknown("online"),
        value_or_unknown("items"),
    )
}
