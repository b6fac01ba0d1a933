//! Measures of a run, computed from the observations of callers and the records of the stand-ins.

mod batch;
mod online;
mod series;

use std::time::Duration;

use dappleyard_report::summary::{Measures, Percentiles, QuantilePoint, Series};
use dappleyard_standin::engine::Sample;
use dappleyard_standin::engine::host::MeterSummary;
use hdrhistogram::Histogram;

use crate::invariants::Evidence;

/// Counters of the stand-ins and of the process.
#[derive(Debug, Default)]
pub struct Counters {
    pub load_start: Duration,
    pub load_length: Duration,
    /// Samples of each engine.
    pub samples: Vec<Vec<EngineSample>>,
    /// Meters summed over all engines.
    pub meters: MeterSummary,
    /// Time covered by the meters, summed over all engines.
    pub engine_time: Duration,
    /// Transactions applied by the table service during the load.
    pub store_writes: u64,
    /// Mean CPU cores used by the process during the load.
    pub process_cores: f64,
    /// Resident memory of the process, MB.
    pub process_rss_mb: f64,
}

/// A sample of an engine on the run's clock.
#[derive(Debug, Clone, Copy)]
pub struct EngineSample {
    pub at: Duration,
    /// Running sequences, and tokens since the previous sample.
    pub sample: Sample,
}

impl Counters {
    fn load_end(&self) -> Duration {
        self.load_start + self.load_length
    }

    fn in_load(&self, at: Duration) -> bool {
        at >= self.load_start && at < self.load_end()
    }

    fn per_second(&self, count: f64) -> f64 {
        count / self.load_length.as_secs_f64().max(f64::EPSILON)
    }
}

pub fn measures(evidence: &Evidence, counters: &Counters) -> Measures {
    let mut measures = Measures {
        store_writes_per_s: counters.per_second(counters.store_writes as f64),
        engine_stall_share: stall_share(counters),
        process_cores: counters.process_cores,
        process_rss_mb: counters.process_rss_mb,
        ..Measures::default()
    };
    online::fill(&mut measures, evidence, counters);
    batch::fill(&mut measures, evidence, counters);
    measures
}

pub fn series(evidence: &Evidence, counters: &Counters) -> Series {
    series::series(evidence, counters)
}

fn stall_share(counters: &Counters) -> f64 {
    let stalled = Duration::from_micros(counters.meters.stalled_us);
    stalled.as_secs_f64() / counters.engine_time.as_secs_f64().max(f64::EPSILON)
}

/// Upper bound of a histogram, microseconds: one hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Quantiles stored for a distribution.
const CURVE_QUANTILES: [f64; 15] = [
    0.0, 0.05, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.975, 0.99, 0.995, 0.9975, 0.999, 0.9995, 1.0,
];

/// Latency histogram in microseconds with three significant digits.
struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl LatencyHistogram {
    fn new() -> LatencyHistogram {
        LatencyHistogram {
            histogram: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
                .expect("the bounds and three digits are allowed"),
        }
    }

    fn add(&mut self, milliseconds: f64) {
        let microseconds = (milliseconds * 1_000.0).max(0.0) as u64;
        self.histogram.saturating_record(microseconds);
    }

    /// The distribution at [`CURVE_QUANTILES`]; empty if there are no values.
    fn curve(&self) -> Vec<QuantilePoint> {
        let quantiles = CURVE_QUANTILES
            .iter()
            .filter(|_| !self.histogram.is_empty());
        quantiles
            .map(|quantile| QuantilePoint {
                quantile: *quantile,
                value: self.histogram.value_at_quantile(*quantile) as f64 / 1_000.0,
            })
            .collect()
    }

    fn percentiles(&self) -> Percentiles {
        let at = |quantile: f64| self.histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Percentiles {
            count: self.histogram.len(),
            p50: at(0.50),
            p95: at(0.95),
            p99: at(0.99),
            max: self.histogram.max() as f64 / 1_000.0,
        }
    }
}
