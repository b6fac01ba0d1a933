//! `summary.json`: what a run showed. `report` and `compare` read it.

use std::collections::BTreeMap;
use std::path::Path;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A summary that could not be written or read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{path}: {cause}")]
pub struct SummaryError {
    /// File or directory.
    pub path: String,
    /// What is wrong.
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

/// Most examples kept of one invariant's violations.
const EXAMPLES_KEPT: usize = 10;

/// What became of one invariant in a run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Cases looked at.
    pub checked: u64,
    /// Cases in which it did not hold.
    pub violated: u64,
    /// Some of those, with ids and times.
    pub examples: Vec<String>,
}

impl Verdict {
    /// Counts a case; the example is made only when the case is a violation.
    pub fn case(&mut self, holds: bool, example: impl FnOnce() -> String) {
        self.cases(1, holds, example);
    }

    /// Counts several cases that hold or fail together, with one example.
    pub fn cases(&mut self, count: u64, hold: bool, example: impl FnOnce() -> String) {
        self.checked += count;
        if !hold {
            self.violated += count;
            if self.examples.len() < EXAMPLES_KEPT {
                self.examples.push(example());
            }
        }
    }
}

/// Verdicts by name of the invariant.
pub type Verdicts = BTreeMap<String, Verdict>;

/// File name in a run's directory.
pub const FILE_NAME: &str = "summary.json";

/// One run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Scenario.
    pub scenario: String,
    /// Seed.
    pub seed: u64,
    /// Policy.
    pub policy: String,
    /// Length of the load, seconds.
    pub seconds: u64,
    /// Name of the fault file; empty for none.
    pub faults: String,
    /// When the run began, seconds since 1970.
    pub started_unix_s: u64,
    /// Verdicts by invariant.
    pub invariants: Verdicts,
    /// Measures.
    pub measures: Measures,
    /// What the run set out to do and could not; empty for a whole run.
    pub not_done: Vec<String>,
    /// Time series.
    pub series: Series,
    /// Faults and other events, as spans.
    pub events: Vec<EventSpan>,
    /// Decisions of the nodes that still ran at the end, around the events; oldest first.
    #[serde(default)]
    pub decisions: Vec<DecisionLine>,
}

/// One decision of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionLine {
    /// When, seconds after the load's start.
    pub at_s: f64,
    /// Node that decided.
    pub node: String,
    /// Kind of the decision.
    pub kind: String,
    /// What it is about.
    pub subjects: Vec<String>,
    /// Why.
    pub cause: String,
    /// What came of it.
    pub outcome: String,
}

/// One point of a distribution.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct QuantilePoint {
    /// Share of the values that are at most `value`, from 0 to 1.
    pub quantile: f64,
    /// The value.
    pub value: f64,
}

/// Percentiles of a distribution.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Greatest.
    pub max: f64,
}

/// Cost of control. Measured by `capacity`; a run gives only what the whole process took.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlCost {
    /// Cores taken by a node's control thread; absent when not measured.
    pub cpu_share_per_node: Option<f64>,
    /// Control bytes sent a second by a node; absent when not measured.
    pub bytes_per_s_per_node: Option<f64>,
    /// Memory of a node, MB; absent when not measured.
    pub rss_mb_per_node: Option<f64>,
}

/// Measures of a run, over the time of the load.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Measures {
    /// Batch items that engines finished, a second, each item once.
    pub batch_items_per_s: f64,
    /// Batch tokens of items that ended in a result, a second.
    pub batch_tokens_per_s: f64,
    /// Those tokens as a share of what the engines could have made beside the same online load,
    /// while batch work was waiting; absent when none was waiting.
    pub batch_share_of_idle: Option<f64>,
    /// Time in which batch work was waiting, seconds.
    pub batch_waiting_s: f64,
    /// Items that an engine finished more than once.
    pub batch_repeated_items: u64,
    /// Items that were accepted.
    pub batch_items_accepted: u64,
    /// Online requests sent, those of the limited tenant left out.
    pub online_requests: u64,
    /// Of these, answered whole.
    pub online_whole: u64,
    /// Of these, refused.
    pub online_refused: u64,
    /// Refusals of all tenants by kind.
    pub refused_by_kind: BTreeMap<String, u64>,
    /// Whole answers a second within the deadline.
    pub goodput_per_s: f64,
    /// Time to the first text.
    pub ttft_ms: Percentiles,
    /// Distribution of the time to the first text, milliseconds.
    #[serde(default)]
    pub ttft_curve: Vec<QuantilePoint>,
    /// Time between two texts.
    pub itl_ms: Percentiles,
    /// Distribution of the time between two texts, milliseconds.
    #[serde(default)]
    pub itl_curve: Vec<QuantilePoint>,
    /// Time to a refusal.
    pub refusal_ms: Percentiles,
    /// Engine steps from an online burst's first arrival until batch was out of its way.
    pub steps_to_yield: Percentiles,
    /// Bursts that ended before batch was out of their way.
    pub never_yielded: u64,
    /// Writes to the table service a second.
    pub store_writes_per_s: f64,
    /// Writes to the table service for each 1,000 accepted items.
    pub store_writes_per_1000_items: Option<f64>,
    /// Share of the engines' time by which the machine was too late for their steps. A run in which
    /// this is great measured the machine.
    pub engine_stall_share: f64,
    /// Cores taken by the whole process, callers and stand-ins included.
    pub process_cores: f64,
    /// Memory of the whole process, MB.
    pub process_rss_mb: f64,
    /// Cost of control.
    pub control: ControlCost,
}

/// Time series, one value for each interval.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Length of an interval, seconds.
    pub interval_s: f64,
    /// Online requests sent.
    pub online_sent: Vec<u64>,
    /// Greatest time to the first text of requests sent in the interval, milliseconds.
    pub ttft_max_ms: Vec<f64>,
    /// 95th percentile of the time between texts, milliseconds.
    pub itl_p95_ms: Vec<f64>,
    /// Running online sequences.
    pub online_running: Vec<f64>,
    /// Running batch sequences.
    pub batch_running: Vec<f64>,
    /// Batch tokens made a second.
    pub batch_tokens_per_s: Vec<f64>,
    /// Batch tokens that could have been made a second.
    pub idle_tokens_per_s: Vec<f64>,
    /// Accepted items that no engine had begun.
    pub batch_waiting_items: Vec<u64>,
}

/// Something that was done to the fleet, as a span.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EventSpan {
    /// What.
    pub what: String,
    /// Where.
    pub place: String,
    /// Start, seconds after the load's.
    pub from_s: f64,
    /// End, seconds after the load's.
    pub to_s: f64,
}

impl Summary {
    /// Writes the summary into a directory.
    pub fn write(&self, directory: &Path) -> Result<(), SummaryError> {
        let failed = |cause: std::io::Error| SummaryError::new(directory, cause);
        std::fs::create_dir_all(directory).map_err(failed)?;
        let text = serde_json::to_string_pretty(self)
            .map_err(|cause| SummaryError::new(directory, cause))?;
        std::fs::write(directory.join(FILE_NAME), text).map_err(failed)
    }

    /// Reads the summary of a run's directory.
    pub fn read(directory: &Path) -> Result<Summary, SummaryError> {
        let path = directory.join(FILE_NAME);
        let text =
            std::fs::read_to_string(&path).map_err(|cause| SummaryError::new(&path, cause))?;
        serde_json::from_str(&text).map_err(|cause| SummaryError::new(&path, cause))
    }

    /// Reads all runs of a directory: itself, or its `seed-N` directories.
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
