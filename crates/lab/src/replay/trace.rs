//! Trace format: JSON lines, a header followed by one step per line.

use std::collections::BTreeMap;
use std::path::Path;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

pub const FORMAT: u32 = 1;

/// Count of each decision.
pub type Outcome = BTreeMap<String, u64>;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    pub format: u32,
    /// Human-readable description.
    pub about: String,
    /// Expected outcome.
    pub outcome: Outcome,
}

/// An input and the decisions on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Virtual time, milliseconds.
    pub at_ms: u64,
    #[serde(flatten)]
    pub input: Input,
    /// Names of the decisions, in order.
    pub decided: Vec<String>,
}

/// Input of the decision logic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "input", rename_all = "snake_case")]
pub enum Input {
    /// The table service applied a transaction.
    Rows {
        revision: u64,
        /// Changed rows.
        rows: Vec<RowChange>,
    },
    /// A node reads the chunk row and sends a claim, reopen, start mark or commit.
    Chunk {
        node: String,
        incarnation: u64,
        /// Requested action.
        wish: ChunkAction,
        /// Name of the store call, for [`Input::Deliver`].
        call: String,
    },
    /// The chunk's job is cancelled.
    CancelJob,
    /// The chunk's items become at-most-once.
    NeverRepeat,
    /// A request looks up the at-most-once record, or reads back the result of its create.
    Once {
        /// Id of the attempt.
        writer: String,
        /// The attempt has already sent a create.
        writing: bool,
        /// Name of the store call.
        call: String,
    },
    /// An attempt settles the record.
    OnceSettle {
        /// Id of the attempt.
        writer: String,
        /// Error kind; 0 for a response.
        kind: u32,
        /// Whether it ran: 0 no, 1 maybe, 2 yes.
        ran: i32,
        /// Name of the store call.
        call: String,
    },
    /// An attempt gives up the key.
    OnceGiveUp {
        /// Id of the attempt.
        writer: String,
        /// Name of the store call.
        call: String,
    },
    /// A pending call reaches the store.
    Deliver {
        /// Name of the store call.
        call: String,
    },
    /// A pending call is lost.
    Lose {
        /// Name of the store call.
        call: String,
    },
    /// An order reaches an engine.
    Order { epoch: u64, sequence: u64 },
    /// One row of a configuration change reaches a node by gossip.
    ConfigurationDelta {
        /// Revision of the change.
        revision: u64,
        /// Revision of the previous change.
        previous: u64,
        key: String,
        /// Absent if the row was deleted.
        value: Option<String>,
        /// Index of the row within its change.
        part: u32,
        /// Number of rows in the change.
        parts: u32,
    },
    /// The response to a digest reaches a node.
    ConfigurationAnswer {
        /// Revision of the requesting node.
        after: u64,
        /// Revision of the response.
        up_to: u64,
        /// Rows changed between the two: key, revision, value.
        rows: Vec<(String, u64, Option<String>)>,
    },
    /// The node restarts without configuration.
    ConfigurationRestart,
    /// An engine accepted an attempt of a request.
    Accepted {
        version: String,
        /// Whether this starts a new attempt.
        new_attempt: bool,
    },
    /// Pieces of a response arrive.
    Pieces {
        /// Offset of the first piece.
        offset: u32,
        pieces: Vec<String>,
    },
    /// The end of a response arrives.
    Finish {
        /// Number of pieces in the complete response.
        total: u32,
    },
}

/// Action of a node on the chunk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChunkAction {
    Claim {
        /// Whether membership considers the holder dead.
        holder_gone: bool,
    },
    Reopen {
        /// Whether membership considers the holder dead.
        holder_gone: bool,
    },
    /// Start its first item, marking it first if it is at-most-once.
    Start,
    /// Commit a result computed under `epoch`.
    Commit { epoch: u64 },
}

/// A row changed by a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    pub key: String,
    /// New value, base64; absent if the row was removed.
    pub value: Option<String>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trace {
    pub header: Header,
    pub steps: Vec<Step>,
}

/// Failure to read a trace.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{path}, line {line}: {cause}")]
pub struct TraceError {
    path: String,
    line: usize,
    cause: String,
}

impl Trace {
    pub fn read(path: &Path) -> Result<Trace, TraceError> {
        let failed = |line: usize, cause: String| TraceError {
            path: path.display().to_string(),
            line,
            cause,
        };
        let text = std::fs::read_to_string(path).map_err(|cause| failed(0, cause.to_string()))?;
        let mut lines = text.lines().enumerate();
        let (_, first) = lines
            .next()
            .ok_or_else(|| failed(1, "the file is empty".to_owned()))?;
        let header: Header =
            serde_json::from_str(first).map_err(|cause| failed(1, cause.to_string()))?;
        if header.format != FORMAT {
            return Err(failed(1, format!("unsupported format {}", header.format)));
        }
        let mut steps = Vec::new();
        for (index, line) in lines.filter(|(_, line)| !line.is_empty()) {
            let step = serde_json::from_str(line);
            steps.push(step.map_err(|cause| failed(index + 1, cause.to_string()))?);
        }
        Ok(Trace { header, steps })
    }

    /// Serializes the trace to JSON lines.
    pub fn to_text(&self) -> Result<String, serde_json::Error> {
        let mut lines = vec![serde_json::to_string(&self.header)?];
        for step in &self.steps {
            lines.push(serde_json::to_string(step)?);
        }
        Ok(lines.join("\n") + "\n")
    }
}
