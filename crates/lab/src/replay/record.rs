//! Records the table service's transactions of a run as a trace, with the decisions behind them.

use std::path::Path;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use dappleyard_standin::platform::HistoryRow;
use dappleyard_wire::keys::{CHUNK_PREFIX, CONFIGURATION_PREFIX, EPOCH_PREFIX, JOB_PREFIX};

use super::rows::ONCE_PREFIX;
use super::state::ReplayState;
use super::trace::{FORMAT, Header, Input, Outcome, RowChange, Step, Trace};
use crate::error::LabError;

/// Key prefixes of the recorded rows.
pub const PREFIXES: [&str; 5] = [
    CHUNK_PREFIX,
    CONFIGURATION_PREFIX,
    EPOCH_PREFIX,
    JOB_PREFIX,
    ONCE_PREFIX,
];

/// Writes the history of a run as a trace; its decisions become the expected outcome.
pub fn write(path: &Path, about: &str, history: &[HistoryRow]) -> Result<(), LabError> {
    let trace = trace_of(about, history);
    let text = trace.to_text().map_err(LabError::failed)?;
    std::fs::write(path, text).map_err(LabError::failed)
}

fn trace_of(about: &str, history: &[HistoryRow]) -> Trace {
    let mut replay_state = ReplayState::default();
    let mut outcome = Outcome::new();
    let mut steps = Vec::new();
    for rows in history.chunk_by(|left, right| left.revision == right.revision) {
        let input = Input::Rows {
            revision: rows[0].revision,
            rows: rows.iter().map(change).collect(),
        };
        let decided = replay_state.step(&input);
        for decision in &decided {
            *outcome.entry(decision.clone()).or_default() += 1;
        }
        steps.push(Step {
            at_ms: rows[0].at_ms,
            input,
            decided,
        });
    }
    let header = Header {
        format: FORMAT,
        about: about.to_owned(),
        outcome,
    };
    Trace { header, steps }
}

fn change(row: &HistoryRow) -> RowChange {
    RowChange {
        key: row.key.clone(),
        value: row
            .value
            .as_ref()
            .map(|value| BASE64_STANDARD.encode(value)),
    }
}
