//! The format of traces: JSON lines, a header and then one step a line.

use std::collections::BTreeMap;
use std::path::Path;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Version of the format.
pub const FORMAT: u32 = 1;

/// How often each decision was taken.
pub type Outcome = BTreeMap<String, u64>;

/// First line of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Version of the format.
    pub format: u32,
    /// What happened, for people.
    pub about: String,
    /// The stated outcome: how often each decision was taken.
    pub outcome: Outcome,
}

/// One step: an input and what was decided on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Virtual time, milliseconds.
    pub at_ms: u64,
    /// What came in.
    #[serde(flatten)]
    pub input: Input,
    /// The decisions, in words, in order.
    pub decided: Vec<String>,
}

/// What comes in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "input", rename_all = "snake_case")]
pub enum Input {
    /// A transaction of the table service took effect.
    Rows {
        /// Revision of the store.
        revision: u64,
        /// Rows written by it.
        rows: Vec<RowChange>,
    },
    /// A node reads the chunk row and sends a claim, a reopening, a mark or a commit.
    Chunk {
        node: String,
        incarnation: u64,
        /// What it wants.
        wish: ChunkAction,
        /// Name of the call to the store, for [`Input::Deliver`].
        call: String,
    },
    /// The chunk's job is cancelled.
    CancelJob,
    /// The chunk's items must not repeat.
    NeverRepeat,
    /// A request asks for the at-most-once record, or reads back what became of its create.
    Once {
        /// Token of the attempt.
        writer: String,
        /// The attempt has sent a create already.
        writing: bool,
        /// Name of the call to the store.
        call: String,
    },
    /// An attempt settles the record: kind 0 is an answer.
    OnceSettle {
        /// Token of the attempt.
        writer: String,
        /// Error kind; 0 for an answer.
        kind: u32,
        /// What is known of whether it ran: 0 no, 1 maybe, 2 yes.
        ran: i32,
        /// Name of the call to the store.
        call: String,
    },
    /// An attempt gives the key up.
    OnceGiveUp {
        /// Token of the attempt.
        writer: String,
        /// Name of the call to the store.
        call: String,
    },
    /// A call reaches the store, now and not before.
    Deliver {
        /// Name of the call.
        call: String,
    },
    /// A call is lost.
    Lose {
        /// Name of the call.
        call: String,
    },
    /// An order reaches an engine.
    Order {
        epoch: u64,
        /// Sequence number.
        sequence: u64,
    },
    /// One row of a configuration change reaches a node by gossip.
    ConfigurationDelta {
        /// Revision of the change.
        revision: u64,
        /// Revision of the change before.
        previous: u64,
        key: String,
        /// Value; absent when deleted.
        value: Option<String>,
        /// Index of the row in its change, and rows of the change.
        part: u32,
        /// Rows of the change.
        parts: u32,
    },
    /// The answer to a digest reaches a node.
    ConfigurationAnswer {
        /// Revision that the asker was at.
        after: u64,
        /// Revision of the answer.
        up_to: u64,
        /// Rows changed in between: key, revision, value.
        rows: Vec<(String, u64, Option<String>)>,
    },
    /// The node restarts and has no configuration.
    ConfigurationRestart,
    /// An attempt of a request was accepted by a model version.
    Accepted {
        version: String,
        /// A new attempt begins.
        new_attempt: bool,
    },
    /// Pieces of an answer arrive.
    Pieces {
        /// Offset of the first.
        offset: u32,
        pieces: Vec<String>,
    },
    /// The end of an answer arrives.
    Finish {
        /// Pieces of the whole answer.
        total: u32,
    },
}

/// What a node wants with the chunk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChunkAction {
    Claim {
        /// Membership believes the holder gone.
        holder_gone: bool,
    },
    /// Open it again.
    Reopen {
        /// Membership believes the holder gone.
        holder_gone: bool,
    },
    /// Start its first item, marking it if it must not repeat.
    Start,
    /// Commit a result made under an epoch.
    Commit { epoch: u64 },
}

/// One row of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    pub key: String,
    /// New value, base64; absent when the row was removed.
    pub value: Option<String>,
}

/// A whole trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trace {
    /// First line.
    pub header: Header,
    /// The other lines.
    pub steps: Vec<Step>,
}

/// A trace that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{path}, line {line}: {cause}")]
pub struct TraceError {
    path: String,
    line: usize,
    cause: String,
}

impl Trace {
    /// Reads a file.
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
            return Err(failed(1, format!("format {} is not known", header.format)));
        }
        let mut steps = Vec::new();
        for (index, line) in lines.filter(|(_, line)| !line.is_empty()) {
            let step = serde_json::from_str(line);
            steps.push(step.map_err(|cause| failed(index + 1, cause.to_string()))?);
        }
        Ok(Trace { header, steps })
    }

    /// The file's text.
    pub fn to_text(&self) -> Result<String, serde_json::Error> {
        let mut lines = vec![serde_json::to_string(&self.header)?];
        for step in &self.steps {
            lines.push(serde_json::to_string(step)?);
        }
        Ok(lines.join("\n") + "\n")
    }
}
