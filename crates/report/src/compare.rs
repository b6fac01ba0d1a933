//! Ratios of measures between runs of the same seed, with the spread over seeds.

use comfy_table::{Cell, Table};
use derive_more::Display;

use crate::summary::Summary;

/// Seeds below which no verdict is given.
const FEWEST_SEEDS: usize = 3;

/// A measure that can be compared.
#[derive(Clone, Copy)]
pub struct Measure {
    /// Name, with the unit.
    pub name: &'static str,
    /// Whether it says something of the product, and not of the machine that it ran on.
    pub of_product: bool,
    /// Reads it; `None` when the run does not have it.
    pub read: fn(&Summary) -> Option<f64>,
}

/// What is compared, in order of interest.
pub const MEASURES: &[Measure] = &[
    Measure {
        name: "batch items/s",
        of_product: true,
        read: |run| Some(run.measures.batch_items_per_s),
    },
    Measure {
        name: "batch tokens/s",
        of_product: true,
        read: |run| Some(run.measures.batch_tokens_per_s),
    },
    Measure {
        name: "batch share of idle",
        of_product: true,
        read: |run| run.measures.batch_share_of_idle,
    },
    Measure {
        name: "TTFT p50, ms",
        of_product: true,
        read: |run| Some(run.measures.ttft_ms.p50),
    },
    Measure {
        name: "TTFT p95, ms",
        of_product: true,
        read: |run| Some(run.measures.ttft_ms.p95),
    },
    Measure {
        name: "TTFT p99, ms",
        of_product: true,
        read: |run| Some(run.measures.ttft_ms.p99),
    },
    Measure {
        name: "inter-token p50, ms",
        of_product: true,
        read: |run| Some(run.measures.itl_ms.p50),
    },
    Measure {
        name: "inter-token p95, ms",
        of_product: true,
        read: |run| Some(run.measures.itl_ms.p95),
    },
    Measure {
        name: "inter-token p99, ms",
        of_product: true,
        read: |run| Some(run.measures.itl_ms.p99),
    },
    Measure {
        name: "online goodput/s",
        of_product: true,
        read: |run| Some(run.measures.goodput_per_s),
    },
    Measure {
        name: "store writes/s",
        of_product: true,
        read: |run| Some(run.measures.store_writes_per_s),
    },
    Measure {
        name: "machine too late, share",
        of_product: false,
        read: |run| Some(run.measures.engine_stall_share),
    },
];

/// Whether a difference means anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Significance {
    /// Every seed went the same way.
    #[display("differs")]
    Differs,
    /// Some seeds went the other way, or nowhere.
    #[display("noise")]
    Noise,
    /// Too few seeds to say.
    #[display("too few seeds")]
    TooFewSeeds,
}

/// One measure of two sets of runs.
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
    /// Least and greatest of these ratios.
    pub spread: (f64, f64),
    /// Seeds that both have.
    pub seeds: usize,
    /// Whether the difference means anything.
    pub significance: Significance,
}

/// Compares runs seed by seed. Measures that either side lacks, or that are 0 in the baseline, are
/// left out.
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
    let least = ratios.iter().copied().fold(f64::INFINITY, f64::min);
    let greatest = ratios.iter().copied().fold(0.0, f64::max);
    Some(Comparison {
        name: measure.name,
        baseline: median(&column(&pairs, |pair| pair.0))?,
        other: median(&column(&pairs, |pair| pair.1))?,
        ratio,
        spread: (least, greatest),
        seeds: ratios.len(),
        significance: significance(ratios.len(), least, greatest),
    })
}

fn column(pairs: &[(f64, f64)], side: fn(&(f64, f64)) -> f64) -> Vec<f64> {
    pairs.iter().map(side).collect()
}

fn significance(seeds: usize, least: f64, greatest: f64) -> Significance {
    if seeds < FEWEST_SEEDS {
        Significance::TooFewSeeds
    } else if least > 1.0 || greatest < 1.0 {
        Significance::Differs
    } else {
        Significance::Noise
    }
}

/// The median; `None` of nothing.
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

/// A table for a terminal.
pub fn table(comparisons: &[Comparison]) -> Table {
    let mut table = Table::new();
    table.set_header([
        "measure", "baseline", "other", "ratio", "spread", "seeds", "verdict",
    ]);
    for row in comparisons {
        table.add_row([
            Cell::new(row.name),
            Cell::new(number(row.baseline)),
            Cell::new(number(row.other)),
            Cell::new(format!("{:.3}", row.ratio)),
            Cell::new(format!("{:.3} to {:.3}", row.spread.0, row.spread.1)),
            Cell::new(row.seeds),
            Cell::new(row.significance),
        ]);
    }
    table
}

/// A number with as many decimals as help.
pub fn number(value: f64) -> String {
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
