//! Tables of the measurements.

use std::path::Path;

use serde_json::{Value, json};

use super::measure::Measured;
use crate::error::LabError;

/// One line for the person who waits.
pub fn line(measured: &Measured) -> String {
    let times = &measured.in_force;
    format!(
        "{} nodes, loss {}: cpu {:.2}% of a core, {:.0} B/s out, {:.0} B/s in, {:.1} MB a node; \
         in force everywhere p50 {:.0} ms, worst {:.0} ms ({} changes, {} missing); \
         {:.0} false suspicions/h, {} false deaths",
        measured.options.nodes,
        measured.options.loss,
        measured.cpu_percent,
        measured.bytes_out,
        measured.bytes_in,
        measured.memory_mb,
        quantile(&times.everywhere, 0.5),
        quantile(&times.everywhere, 1.0),
        times.everywhere.len() + times.missing,
        times.missing,
        measured.false_suspicions_per_hour,
        measured.false_deaths,
    )
}

/// Writes `capacity.json` and `capacity.md`.
pub fn write(out: &Path, results: &[Measured]) -> Result<(), LabError> {
    let values: Vec<Value> = results.iter().map(to_json).collect();
    let text = serde_json::to_string_pretty(&values).map_err(LabError::failed)?;
    std::fs::write(out.join("capacity.json"), text).map_err(LabError::failed)?;
    std::fs::write(out.join("capacity.md"), markdown(results)).map_err(LabError::failed)
}

/// The tables of `docs/CAPACITY.md`.
pub fn markdown(results: &[Measured]) -> String {
    let mut text = String::from(
        "| nodes | loss | CPU, % of a core | B/s out | B/s in | B/s worst node | datagrams/s out | \
         memory, MB | in force on a node p50 / p99, ms | in force everywhere p50 / worst, ms | \
         loss known to half / all, ms | false suspicions/h | false deaths | moved mean / worst | \
         imbalance |\n",
    );
    text.push_str(&"|---".repeat(15));
    text.push_str("|\n");
    for measured in results {
        text.push_str(&row(measured));
    }
    text
}

fn row(measured: &Measured) -> String {
    let times = &measured.in_force;
    let halves = detection_range(measured, |detection| detection.half_ms);
    let alls = detection_range(measured, |detection| detection.all_ms);
    format!(
        "| {} | {} | {:.2} | {:.0} | {:.0} | {:.0} | {:.1} | {:.1} | {:.0} / {:.0} | {:.0} / {:.0} \
         | {halves} / {alls} | {:.0} | {} | {:.2} / {:.2} | {:.2} |\n",
        measured.options.nodes,
        measured.options.loss,
        measured.cpu_percent,
        measured.bytes_out,
        measured.bytes_in,
        measured.bytes_worst,
        measured.datagrams_out,
        measured.memory_mb,
        quantile(&times.on_a_node, 0.5),
        quantile(&times.on_a_node, 0.99),
        quantile(&times.everywhere, 0.5),
        quantile(&times.everywhere, 1.0),
        measured.false_suspicions_per_hour,
        measured.false_deaths,
        measured.movement.mean_moved,
        measured.movement.worst_moved,
        measured.movement.imbalance,
    )
}

/// Least and greatest time of the losses; "not seen" where one was not.
fn detection_range(
    measured: &Measured,
    time: impl Fn(&super::detection::Detection) -> Option<f64>,
) -> String {
    let times: Option<Vec<f64>> = measured.detections.iter().map(time).collect();
    match times {
        None => "not seen".to_owned(),
        Some(times) if times.is_empty() => "not measured".to_owned(),
        Some(times) => {
            let (least, most) = (quantile(&times, 0.0), quantile(&times, 1.0));
            format!("{least:.0}-{most:.0}")
        }
    }
}

fn to_json(measured: &Measured) -> Value {
    let options = &measured.options;
    let times = &measured.in_force;
    let detections: Vec<Value> = measured
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
        "start_s": measured.start_s,
        "cpu_percent_per_node": measured.cpu_percent,
        "bytes_out_per_s": measured.bytes_out,
        "bytes_in_per_s": measured.bytes_in,
        "bytes_worst_per_s": measured.bytes_worst,
        "datagrams_out_per_s": measured.datagrams_out,
        "memory_mb_per_node": measured.memory_mb,
        "machine_lists_per_s": measured.machine_lists,
        "feed_reads_per_s": measured.feed_reads,
        "false_suspicions_per_hour": measured.false_suspicions_per_hour,
        "false_deaths": measured.false_deaths,
        "in_force_on_a_node_ms": quantiles(&times.on_a_node),
        "in_force_everywhere_ms": quantiles(&times.everywhere),
        "changes": times.everywhere.len() + times.missing,
        "changes_missing": times.missing,
        "detections": detections,
        "moved_mean": measured.movement.mean_moved,
        "moved_worst": measured.movement.worst_moved,
        "imbalance": measured.movement.imbalance,
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

/// The value at a share of the sorted values; 0 when there is none.
fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * share).round() as usize;
    sorted.get(index).copied().unwrap_or_default()
}
