//! Ratios of measures between runs with the same seed, and their spread over seeds.

use comfy_table::{Cell, Table};
use derive_more::Display;

use crate::summary::Summary;

/// Minimum number of seeds for a verdict.
const MINIMUM_SEEDS: usize = 3;

/// A measure that is compared between runs.
#[derive(Clone, Copy)]
pub struct Measure {
    pub name: &'static str,
    /// Whether it measures the product rather than the host.
    pub machine_independent: bool,
    /// Returns `None` if the run lacks the measure.
    pub read: fn(&Summary) -> Option<f64>,
}

/// All measures, in display order.
pub const MEASURES: &[Measure] = &[
    Measure {
        name: "batch items/s",
        machine_independent: true,
        read: |run| Some(run.measures.batch_items_per_s),
    },
    Measure {
        name: "batch tokens/s",
        machine_independent: true,
        read: |run| Some(run.measures.batch_tokens_per_s),
    },
    Measure {
        name: "batch share of idle",
        machine_independent: true,
        read: |run| run.measures.batch_share_of_idle,
    },
    Measure {
        name: "TTFT p50, ms",
        machine_independent: true,
        read: |run| Some(run.measures.ttft_ms.p50),
    },
    Measure {
        name: "TTFT p95, ms",
        machine_independent: true,
        read: |run| Some(run.measures.ttft_ms.p95),
    },
    Measure {
        name: "TTFT p99, ms",
        machine_independent: true,
        read: |run| Some(run.measures.ttft_ms.p99),
    },
    Measure {
        name: "inter-token p50, ms",
        machine_independent: true,
        read: |run| Some(run.measures.itl_ms.p50),
    },
    Measure {
        name: "inter-token p95, ms",
        machine_independent: true,
        read: |run| Some(run.measures.itl_ms.p95),
    },
    Measure {
        name: "inter-token p99, ms",
        machine_independent: true,
        read: |run| Some(run.measures.itl_ms.p99),
    },
    Measure {
        name: "online goodput/s",
        machine_independent: true,
        read: |run| Some(run.measures.goodput_per_s),
    },
    Measure {
        name: "store writes/s",
        machine_independent: true,
        read: |run| Some(run.measures.store_writes_per_s),
    },
    Measure {
        name: "machine too late, share",
        machine_independent: false,
        read: |run| Some(run.measures.engine_stall_share),
    },
];

/// Significance of a difference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Significance {
    /// All seeds agree on the direction.
    #[display("differs")]
    Differs,
    /// Seeds disagree on the direction, or a ratio is 1.
    #[display("noise")]
    Noise,
    /// Fewer than the minimum number of seeds.
    #[display("too few seeds")]
    TooFewSeeds,
}

/// Comparison of one measure between two sets of runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Comparison {
    /// Name of the measure, with the unit.
    pub name: &'static str,
    /// Median of the baseline.
    pub baseline: f64,
    /// Median of the other runs.
    pub other: f64,
    /// Median of the ratios of runs with the same seed.
    pub ratio: f64,
    /// Minimum and maximum of these ratios.
    pub spread: (f64, f64),
    /// Number of common seeds.
    pub seeds: usize,
    pub significance: Significance,
}

/// Compares runs seed by seed. Omits measures that either side lacks or that are 0 in the
/// baseline.
pub fn compare(baseline: &[Summary], other: &[Summary]) -> Vec<Comparison> {
    MEASURES
        .iter()
        .filter_map(|measure| compare_one(measure, baseline, other))
        .collect()
}

fn compare_one(measure: &Measure, baseline: &[Summary], other: &[Summary]) -> Option<Comparison> {
    let pairs: Vec<(f64, f64)> = baseline
        .iter()
        .filter_map(|before| {
            let after = other.iter().find(|after| after.seed == before.seed)?;
            Some(((measure.read)(before)?, (measure.read)(after)?))
        })
        .filter(|(before, _)| *before > 0.0)
        .collect();
    let ratios: Vec<f64> = pairs.iter().map(|(before, after)| after / before).collect();
    let ratio = median(&ratios)?;
    let minimum = ratios.iter().copied().fold(f64::INFINITY, f64::min);
    let maximum = ratios.iter().copied().fold(0.0, f64::max);
    Some(Comparison {
        name: measure.name,
        baseline: median(&column(&pairs, |pair| pair.0))?,
        other: median(&column(&pairs, |pair| pair.1))?,
        ratio,
        spread: (minimum, maximum),
        seeds: ratios.len(),
        significance: significance(ratios.len(), minimum, maximum),
    })
}

fn column(pairs: &[(f64, f64)], side: fn(&(f64, f64)) -> f64) -> Vec<f64> {
    pairs.iter().map(side).collect()
}

fn significance(seeds: usize, minimum: f64, maximum: f64) -> Significance {
    if seeds < MINIMUM_SEEDS {
        Significance::TooFewSeeds
    } else if minimum > 1.0 || maximum < 1.0 {
        Significance::Differs
    } else {
        Significance::Noise
    }
}

/// `None` if there are no values.
pub fn median(values: &[f64]) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let middle = sorted.len() / 2;
    match sorted.len() {
        0 => None,
        length if length % 2 == 1 => Some(sorted[middle]),
        _ => Some(f64::midpoint(sorted[middle - 1], sorted[middle])),
    }
}

/// Formats comparisons as a table for a terminal.
pub fn table(comparisons: &[Comparison]) -> Table {
    let mut table = Table::new();
    table.set_header([
        "measure", "baseline", "other", "ratio", "spread", "seeds", "verdict",
    ]);
    for row in comparisons {
        table.add_row([
            Cell::new(row.name),
            Cell::new(format_number(row.baseline)),
            Cell::new(format_number(row.other)),
            Cell::new(format!("{:.3}", row.ratio)),
            Cell::new(format!("{:.3} to {:.3}", row.spread.0, row.spread.1)),
            Cell::new(row.seeds),
            Cell::new(row.significance),
        ]);
    }
    table
}

/// Formats a number with decimals according to its magnitude.
pub fn format_number(value: f64) -> String {
    if value == 0.0 {
        "0".to_owned()
    } else if value.abs() >= 100.0 {
        format!("{value:.0}")
    } else if value.abs() >= 1.0 {
        format!("{value:.2}")
    } else {
        format!("{value:.4}")
    }
}
