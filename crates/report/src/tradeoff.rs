//! Batch throughput against online slowdown, from runs that differ in `online_slowdown_percent`.

use std::path::PathBuf;

use crate::charts::{TradeOffPoint, trade_off_chart};
use crate::compare::{Measure, median};
use crate::page::PageError;
use crate::runs;
use crate::summary::Summary;

/// Runs with one value of the setting.
pub struct TradeoffSetting {
    /// Value, for example `10%`.
    pub label: String,
    pub directory: PathBuf,
}

/// Draws an online measure relative to `baseline` (the same seeds without batch work) on the
/// horizontal axis, and batch items per second on the vertical axis.
pub fn draw_curve(
    title: &str,
    harm: &Measure,
    baseline: &PathBuf,
    settings: &[TradeoffSetting],
) -> Result<String, PageError> {
    let baseline = runs::read(std::slice::from_ref(baseline))?;
    let mut points = Vec::new();
    for setting in settings {
        let runs = runs::read(std::slice::from_ref(&setting.directory))?;
        points.extend(point(&setting.label, harm, &baseline, &runs));
    }
    let name = harm.name.trim_end_matches(", ms");
    let horizontal = format!("online {name}, ratio to baseline without batch");
    let axes = (horizontal.as_str(), "batch items per second");
    Ok(trade_off_chart(title, axes, &points)?)
}

fn point(
    label: &str,
    measure: &Measure,
    baseline: &[Summary],
    runs: &[Summary],
) -> Option<TradeOffPoint> {
    let harm: Vec<f64> = runs
        .iter()
        .filter_map(|run| {
            let alone = baseline.iter().find(|alone| alone.seed == run.seed)?;
            Some((measure.read)(run)? / (measure.read)(alone)?)
        })
        .collect();
    let items: Vec<f64> = runs
        .iter()
        .map(|run| run.measures.batch_items_per_s)
        .collect();
    Some(TradeOffPoint {
        label: label.to_owned(),
        x: median(&harm)?,
        y: median(&items)?,
        spread: (
            items.iter().copied().fold(f64::INFINITY, f64::min),
            items.iter().copied().fold(0.0, f64::max),
        ),
    })
}
