//! `summary.json`: the results of a run, read by `report` and `compare`.

use std::collections::BTreeMap;
use std::path::Path;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A summary could not be written or read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{path}: {cause}")]
pub struct SummaryError {
    /// File or directory.
    pub path: String,
    pub cause: String,
}

impl SummaryError {
    fn new(path: &Path, cause: impl ToString) -> SummaryError {
        SummaryError {
            path: path.display().to_string(),
            cause: cause.to_string(),
        }
    }
}

/// Maximum number of violation examples kept per invariant.
const MAXIMUM_EXAMPLES: usize = 10;

/// Result of checking one invariant in a run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Cases checked.
    pub checked: u64,
    /// Cases that violated the invariant.
    pub violated: u64,
    /// Some of the violations, with ids and times.
    pub examples: Vec<String>,
}

impl Verdict {
    /// Records a case. `example` is called only for violations.
    pub fn count_case(&mut self, holds: bool, example: impl FnOnce() -> String) {
        self.count_cases(1, holds, example);
    }

    /// Records several cases with the same result and one example.
    pub fn count_cases(&mut self, count: u64, hold: bool, example: impl FnOnce() -> String) {
        self.checked += count;
        if !hold {
            self.violated += count;
            if self.examples.len() < MAXIMUM_EXAMPLES {
                self.examples.push(example());
            }
        }
    }
}

pub type Verdicts = BTreeMap<String, Verdict>;

/// Name of the summary file in a run's directory.
pub const FILE_NAME: &str = "summary.json";

/// One run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    pub scenario: String,
    pub seed: u64,
    pub policy: String,
    /// Duration of the load.
    pub seconds: u64,
    /// Name of the fault file; empty for none.
    pub faults: String,
    /// Unix time of the start of the run.
    pub started_unix_s: u64,
    pub invariants: Verdicts,
    pub measures: Measures,
    /// Planned actions that the run could not complete; empty for a complete run.
    pub not_done: Vec<String>,
    pub series: Series,
    /// Faults and other events.
    pub events: Vec<EventSpan>,
    /// Decisions around the events, oldest first, of the nodes still running at the end.
    #[serde(default)]
    pub decisions: Vec<DecisionLine>,
}

/// One decision of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionLine {
    /// Time since the start of the load.
    pub at_s: f64,
    pub node: String,
    pub kind: String,
    /// Objects of the decision, such as jobs.
    pub subjects: Vec<String>,
    pub cause: String,
    pub outcome: String,
}

/// One point of a distribution.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct QuantilePoint {
    /// Share of the values that are at most `value`, 0 to 1.
    pub quantile: f64,
    pub value: f64,
}

/// Percentiles of a distribution.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    pub count: u64,
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
    pub max: f64,
}

/// Cost of the control plane. Measured by `capacity` only; runs measure the whole process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlCost {
    /// Cores used by the control thread of a node; absent if not measured.
    pub cpu_share_per_node: Option<f64>,
    /// Control bytes sent per second by a node; absent if not measured.
    pub bytes_per_s_per_node: Option<f64>,
    /// Memory of a node, MB; absent if not measured.
    pub rss_mb_per_node: Option<f64>,
}

/// Measures of a run, over the duration of the load.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Measures {
    /// Distinct batch items finished by engines, per second.
    pub batch_items_per_s: f64,
    /// Batch tokens of items that ended with a result, per second.
    pub batch_tokens_per_s: f64,
    /// Those tokens as a share of the engine capacity left by the online load while batch work was
    /// waiting; absent if none was waiting.
    pub batch_share_of_idle: Option<f64>,
    /// Time during which batch work was waiting.
    pub batch_waiting_s: f64,
    /// Items finished by engines more than once.
    pub batch_repeated_items: u64,
    pub batch_items_accepted: u64,
    /// Online requests sent, without those of the rate-limited tenant.
    pub online_requests: u64,
    /// Of these, answered completely.
    pub online_whole: u64,
    pub online_refused: u64,
    /// Refusals by kind, of all tenants.
    pub refused_by_kind: BTreeMap<String, u64>,
    /// Complete responses within the deadline, per second.
    pub goodput_per_s: f64,
    /// Time to first token.
    pub ttft_ms: Percentiles,
    /// Distribution of the time to first token.
    #[serde(default)]
    pub ttft_curve: Vec<QuantilePoint>,
    /// Inter-token latency.
    pub itl_ms: Percentiles,
    /// Distribution of the inter-token latency.
    #[serde(default)]
    pub itl_curve: Vec<QuantilePoint>,
    /// Time to a refusal.
    pub refusal_ms: Percentiles,
    /// Engine steps from the first arrival of an online burst until batch had yielded.
    pub steps_to_yield: Percentiles,
    /// Bursts that ended before batch had yielded.
    pub never_yielded: u64,
    /// Writes to the table service per second.
    pub store_writes_per_s: f64,
    /// Writes to the table service per 1,000 accepted items.
    pub store_writes_per_1000_items: Option<f64>,
    /// Share of engine time lost because the host ran steps late. If it is high, the latencies
    /// include host overhead.
    pub engine_stall_share: f64,
    /// Cores used by the whole process, including callers and stand-ins.
    pub process_cores: f64,
    /// Memory of the whole process.
    pub process_rss_mb: f64,
    pub control: ControlCost,
}

/// Time series with one value per interval.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Series {
    pub interval_s: f64,
    pub online_sent: Vec<u64>,
    /// Maximum time to first token of requests sent in the interval.
    pub ttft_max_ms: Vec<f64>,
    /// 95th percentile of the inter-token latency.
    pub itl_p95_ms: Vec<f64>,
    pub online_running: Vec<f64>,
    pub batch_running: Vec<f64>,
    /// Batch tokens generated per second.
    pub batch_tokens_per_s: Vec<f64>,
    /// Engine capacity left by the online load, tokens per second.
    pub idle_tokens_per_s: Vec<f64>,
    /// Accepted items not yet started by an engine.
    pub batch_waiting_items: Vec<u64>,
}

/// Time span of a fault or operation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EventSpan {
    /// Kind of event.
    pub what: String,
    /// Affected nodes or services.
    pub place: String,
    /// Start, since the start of the load.
    pub from_s: f64,
    /// End, since the start of the load.
    pub to_s: f64,
}

impl Summary {
    pub fn write(&self, directory: &Path) -> Result<(), SummaryError> {
        let io_error = |cause: std::io::Error| SummaryError::new(directory, cause);
        std::fs::create_dir_all(directory).map_err(io_error)?;
        let text = serde_json::to_string_pretty(self)
            .map_err(|cause| SummaryError::new(directory, cause))?;
        std::fs::write(directory.join(FILE_NAME), text).map_err(io_error)
    }

    /// Reads the summary of a run's directory.
    pub fn read(directory: &Path) -> Result<Summary, SummaryError> {
        let path = directory.join(FILE_NAME);
        let text =
            std::fs::read_to_string(&path).map_err(|cause| SummaryError::new(&path, cause))?;
        serde_json::from_str(&text).map_err(|cause| SummaryError::new(&path, cause))
    }

    /// Reads the summary of a directory, or those of its subdirectories.
    pub fn read_all(directory: &Path) -> Result<Vec<Summary>, SummaryError> {
        if directory.join(FILE_NAME).exists() {
            return Ok(vec![Summary::read(directory)?]);
        }
        let entries =
            std::fs::read_dir(directory).map_err(|cause| SummaryError::new(directory, cause))?;
        let mut directories: Vec<_> = entries
            .flatten()
            .map(|entry| entry.path())
            .filter(|path| path.join(FILE_NAME).exists())
            .collect();
        directories.sort();
        if directories.is_empty() {
            return Err(SummaryError::new(
                directory,
                format!("holds no {FILE_NAME}"),
            ));
        }
        directories
            .iter()
            .map(|directory| Summary::read(directory))
            .collect()
    }
}
