//! JSON and Markdown output of the measurements.

use std::path::Path;

use serde_json::{Value, json};

use super::measure::Measurement;
use crate::error::LabError;

/// One-line result for the terminal.
pub fn summary_line(measurement: &Measurement) -> String {
    let times = &measurement.propagation;
    format!(
        "{} nodes, loss {}: cpu {:.2}% of a core, {:.0} B/s out, {:.0} B/s in, {:.1} MB a node; \
         in force everywhere p50 {:.0} ms, worst {:.0} ms ({} changes, {} missing); \
         {:.0} false suspicions/h, {} false deaths",
        measurement.options.nodes,
        measurement.options.loss,
        measurement.cpu_percent,
        measurement.bytes_out,
        measurement.bytes_in,
        measurement.memory_mb,
        quantile(&times.all_nodes, 0.5),
        quantile(&times.all_nodes, 1.0),
        times.all_nodes.len() + times.missing,
        times.missing,
        measurement.false_suspicions_per_hour,
        measurement.false_deaths,
    )
}

/// Writes `capacity.json` and `capacity.md`.
pub fn write(out: &Path, results: &[Measurement]) -> Result<(), LabError> {
    let values: Vec<Value> = results.iter().map(to_json).collect();
    let text = serde_json::to_string_pretty(&values).map_err(LabError::failed)?;
    std::fs::write(out.join("capacity.json"), text).map_err(LabError::failed)?;
    std::fs::write(out.join("capacity.md"), markdown(results)).map_err(LabError::failed)
}

/// The Markdown table of `docs/CAPACITY.md`.
pub fn markdown(results: &[Measurement]) -> String {
    let mut text = String::from(
        "| nodes | loss | CPU, % of a core | B/s out | B/s in | B/s worst node | datagrams/s out | \
         memory, MB | in force on a node p50 / p99, ms | in force everywhere p50 / worst, ms | \
         loss known to half / all, ms | false suspicions/h | false deaths | moved mean / worst | \
         imbalance |\n",
    );
    text.push_str(&"|---".repeat(15));
    text.push_str("|\n");
    for measurement in results {
        text.push_str(&row(measurement));
    }
    text
}

fn row(measurement: &Measurement) -> String {
    let times = &measurement.propagation;
    let halves = detection_range(measurement, |detection| detection.half_ms);
    let alls = detection_range(measurement, |detection| detection.all_ms);
    format!(
        "| {} | {} | {:.2} | {:.0} | {:.0} | {:.0} | {:.1} | {:.1} | {:.0} / {:.0} | {:.0} / {:.0} \
         | {halves} / {alls} | {:.0} | {} | {:.2} / {:.2} | {:.2} |\n",
        measurement.options.nodes,
        measurement.options.loss,
        measurement.cpu_percent,
        measurement.bytes_out,
        measurement.bytes_in,
        measurement.bytes_worst,
        measurement.datagrams_out,
        measurement.memory_mb,
        quantile(&times.per_node, 0.5),
        quantile(&times.per_node, 0.99),
        quantile(&times.all_nodes, 0.5),
        quantile(&times.all_nodes, 1.0),
        measurement.false_suspicions_per_hour,
        measurement.false_deaths,
        measurement.movement.mean_moved,
        measurement.movement.worst_moved,
        measurement.movement.imbalance,
    )
}

/// Smallest and largest detection time; "not seen" if any failure was not detected.
fn detection_range(
    measurement: &Measurement,
    time: impl Fn(&super::detection::Detection) -> Option<f64>,
) -> String {
    let times: Option<Vec<f64>> = measurement.detections.iter().map(time).collect();
    match times {
        None => "not seen".to_owned(),
        Some(times) if times.is_empty() => "not measured".to_owned(),
        Some(times) => {
            let (least, most) = (quantile(&times, 0.0), quantile(&times, 1.0));
            format!("{least:.0}-{most:.0}")
        }
    }
}

fn to_json(measurement: &Measurement) -> Value {
    let options = &measurement.options;
    let times = &measurement.propagation;
    let detections: Vec<Value> = measurement
        .detections
        .iter()
        .map(|detection| {
            json!({
                "first_ms": detection.first_ms,
                "half_ms": detection.half_ms,
                "all_ms": detection.all_ms,
            })
        })
        .collect();
    json!({
        "nodes": options.nodes,
        "servers": options.servers,
        "zones": options.zones,
        "loss": options.loss,
        "window_s": options.window.as_secs(),
        "changes_per_s": options.changes_per_s,
        "start_s": measurement.start_s,
        "cpu_percent_per_node": measurement.cpu_percent,
        "bytes_out_per_s": measurement.bytes_out,
        "bytes_in_per_s": measurement.bytes_in,
        "bytes_worst_per_s": measurement.bytes_worst,
        "datagrams_out_per_s": measurement.datagrams_out,
        "memory_mb_per_node": measurement.memory_mb,
        "machine_lists_per_s": measurement.machine_lists,
        "feed_reads_per_s": measurement.feed_reads,
        "false_suspicions_per_hour": measurement.false_suspicions_per_hour,
        "false_deaths": measurement.false_deaths,
        "in_force_on_a_node_ms": quantiles(&times.per_node),
        "in_force_everywhere_ms": quantiles(&times.all_nodes),
        "changes": times.all_nodes.len() + times.missing,
        "changes_missing": times.missing,
        "detections": detections,
        "moved_mean": measurement.movement.mean_moved,
        "moved_worst": measurement.movement.worst_moved,
        "imbalance": measurement.movement.imbalance,
    })
}

fn quantiles(values: &[f64]) -> Value {
    json!({
        "p50": quantile(values, 0.5),
        "p99": quantile(values, 0.99),
        "worst": quantile(values, 1.0),
        "samples": values.len(),
    })
}

/// Quantile of unsorted values; 0 if there are none.
fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * share).round() as usize;
    sorted.get(index).copied().unwrap_or_default()
}
