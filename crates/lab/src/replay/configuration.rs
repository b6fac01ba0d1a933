//! Replays the application of configuration changes on one node.

use dappleyard_decide::configuration::{Applied, ConfigurationState, PendingChanges};
use dappleyard_wire::messages::ConfigurationEntry;

use super::trace::Input;

#[derive(Default)]
pub struct ConfigurationReplay {
    state: ConfigurationState,
    pending: PendingChanges,
}

impl ConfigurationReplay {
    /// Applies one input and returns the name of the decision.
    pub fn step(&mut self, input: &Input) -> String {
        let before = self.state.revision;
        match input {
            Input::ConfigurationDelta {
                revision,
                previous,
                key,
                value,
                part,
                parts,
            } => {
                let mut entry = entry(key, *revision, value.as_deref());
                (entry.previous, entry.part, entry.parts) = (*previous, *part, *parts);
                if *revision <= before {
                    return "old change left out".to_owned();
                }
                self.pending.offer(entry);
            }
            Input::ConfigurationAnswer { after, up_to, rows } => {
                let rows: Vec<ConfigurationEntry> = rows
                    .iter()
                    .map(|(key, revision, value)| entry(key, *revision, value.as_deref()))
                    .collect();
                match self.state.merge(*after, &rows, *up_to) {
                    Applied::Yes => {}
                    Applied::Old => return "old answer left out".to_owned(),
                    Applied::Gap => return "answer for another revision left out".to_owned(),
                }
            }
            _ => {
                *self = ConfigurationReplay::default();
                return "nothing in force".to_owned();
            }
        }
        self.apply_pending();
        if self.state.revision == before {
            "change held back".to_owned()
        } else {
            format!("revision {} in force", self.state.revision)
        }
    }

    fn apply_pending(&mut self) {
        while let Some(change) = self.pending.take_next(self.state.revision) {
            if self.state.apply(&change) != Applied::Yes {
                break;
            }
        }
    }
}

fn entry(key: &str, revision: u64, value: Option<&str>) -> ConfigurationEntry {
    ConfigurationEntry {
        key: key.to_owned(),
        revision,
        value: value.unwrap_or_default().as_bytes().to_vec(),
        deleted: value.is_none(),
        parts: 1,
        ..ConfigurationEntry::default()
    }
}
