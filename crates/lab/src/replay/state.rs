//! State of the decision logic during a replay.

use std::collections::BTreeMap;

use dappleyard_decide::fence::{OrderPosition, admits};
use dappleyard_decide::reassembly::{Assembly, AssemblyBounds};

use super::calls::CallReplay;
use super::configuration::ConfigurationReplay;
use super::rows::RowReplay;
use super::trace::Input;

const BOUNDS: AssemblyBounds = AssemblyBounds {
    pieces: 4096,
    after_gap: 256,
};

pub struct ReplayState {
    rows: RowReplay,
    calls: CallReplay,
    configuration: ConfigurationReplay,
    applied: OrderPosition,
    assembly: Assembly,
}

impl Default for ReplayState {
    fn default() -> Self {
        Self {
            rows: RowReplay::default(),
            calls: CallReplay::default(),
            configuration: ConfigurationReplay::default(),
            applied: OrderPosition::default(),
            assembly: Assembly::new(BOUNDS),
        }
    }
}

impl ReplayState {
    /// Applies one input and returns the names of the decisions.
    pub fn step(&mut self, input: &Input) -> Vec<String> {
        match input {
            Input::Rows { revision, rows } => self.rows.transaction(*revision, rows),
            Input::Order { epoch, sequence } => vec![self.order(*epoch, *sequence)],
            Input::ConfigurationDelta { .. }
            | Input::ConfigurationAnswer { .. }
            | Input::ConfigurationRestart => vec![self.configuration.step(input)],
            Input::Accepted { .. } | Input::Pieces { .. } | Input::Finish { .. } => {
                vec![self.assemble(input)]
            }
            _ => vec![self.calls.step(input)],
        }
    }

    fn order(&mut self, epoch: u64, sequence: u64) -> String {
        let offered = OrderPosition { epoch, sequence };
        if admits(self.applied, offered) {
            self.applied = offered;
            "order obeyed".to_owned()
        } else {
            "order refused".to_owned()
        }
    }

    fn assemble(&mut self, input: &Input) -> String {
        let result = match input {
            Input::Accepted {
                version,
                new_attempt,
            } => {
                if *new_attempt {
                    self.assembly.begin_attempt();
                }
                self.assembly.set_version(version)
            }
            Input::Pieces { offset, pieces } => self.assembly.take(*offset, pieces.clone()),
            Input::Finish { total } => self.assembly.finish(*total),
            _ => Ok(()),
        };
        if let Err(error) = result {
            return format!("refused: {error}");
        }
        let released = self.assembly.release();
        if self.assembly.is_complete() {
            return format!("complete with \"{released}\"");
        }
        format!("released \"{released}\"")
    }
}

/// Pending calls by name.
pub type PendingCalls<T> = BTreeMap<String, T>;
