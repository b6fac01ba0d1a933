//! Fault schedules: read from a TOML file and run by [`inject`]. [`routine`] generates the routine
//! events of every run in the same form.

mod active;
pub mod inject;
mod operators;
pub mod routine;

use std::path::Path;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::error::LabError;

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A node crashes; it starts again with a new incarnation after `for_s`.
    #[display("node kill")]
    NodeKill,
    /// All threads of a node are blocked for `for_s`.
    #[display("node pause")]
    NodePause,
    /// An engine crashes and loses its work; it restarts empty after `for_s`.
    #[display("engine kill")]
    EngineKill,
    /// The table service is unreachable.
    #[display("store down")]
    StoreDown,
    /// Calls to the table service take `amount` milliseconds longer.
    #[display("store slow")]
    StoreSlow,
    /// `amount` percent of the table service's responses are lost after the write took effect.
    #[display("store answer lost")]
    StoreAnswerLost,
    /// The object store is unreachable.
    #[display("object store down")]
    ObjectStoreDown,
    /// `amount` percent of datagrams are lost.
    #[display("UDP loss")]
    UdpLoss,
    /// A zone is partitioned from the others.
    #[display("zone cut")]
    ZoneCut,
    /// A region is partitioned from the others.
    #[display("region cut")]
    RegionCut,
    /// The machine list lags `amount` milliseconds behind.
    #[display("machine list lag")]
    MachineListLag,
    /// Engine reports are delayed by `amount` milliseconds.
    #[display("engine report lag")]
    EngineReportLag,
    /// All cache events are lost.
    #[display("cache events dropped")]
    CacheEventsDropped,
    /// Clients send every at-most-once request and every job twice.
    #[display("client resend")]
    ClientResend,
    /// Two operators plan and confirm conflicting intents at the same time.
    #[display("racing intents")]
    RacingIntents,
    /// A node is stopped gracefully and started again.
    #[display("planned node stop")]
    NodeStop,
    /// All nodes are stopped gracefully and started again, one after another.
    #[display("rolling restart")]
    RollingRestart,
    /// The machine list marks a server as leaving, and clears the mark after `for_s`.
    #[display("server leaving")]
    ServerLeaving,
    /// An operator drains a server and undrains it after `for_s`.
    #[display("server drain")]
    ServerDrain,
    /// Clients cancel jobs that are finalizing or at least half complete.
    #[display("cancel while committing")]
    CancelCommitting,
    /// An operator changes a tenant's limits.
    #[display("configuration change")]
    ConfigurationChange,
}

impl FaultKind {
    /// Whether the fault may interrupt requests in progress. A planned stop at the same time is
    /// then not checked against them.
    pub fn is_abrupt(self) -> bool {
        matches!(
            self,
            FaultKind::NodeKill
                | FaultKind::NodePause
                | FaultKind::EngineKill
                | FaultKind::ZoneCut
                | FaultKind::RegionCut
        )
    }
}

/// Target of a fault: an index from 0 in the order of the scenario file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    Node(usize),
    Server(usize),
    Zone(usize),
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start, seconds after the load started.
    pub at_s: f64,
    /// Length, seconds.
    #[serde(default)]
    pub for_s: f64,
    pub what: FaultKind,
    /// Chosen from the seed if absent.
    #[serde(default, rename = "where")]
    pub target: Option<Target>,
    /// Magnitude, in the unit of the kind.
    #[serde(default)]
    pub amount: f64,
}

impl Fault {
    /// Start, relative to the start of the load.
    pub fn start(&self) -> Duration {
        Duration::from_secs_f64(self.at_s)
    }

    pub fn length(&self) -> Duration {
        Duration::from_secs_f64(self.for_s)
    }
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultFile {
    /// Faults in any order.
    pub fault: Vec<Fault>,
}

impl FaultFile {
    /// Reads and validates a fault file.
    pub fn load(path: &Path) -> Result<FaultFile, LabError> {
        let place = path.display();
        let text = std::fs::read_to_string(path)
            .map_err(|error| LabError::usage(format!("{place}: {error}")))?;
        FaultFile::parse(&text).map_err(|problem| LabError::usage(format!("{place}: {problem}")))
    }

    /// Parses and validates the text of a fault file.
    pub fn parse(text: &str) -> Result<FaultFile, String> {
        let file: FaultFile = toml::from_str(text).map_err(|error| error.to_string())?;
        for (index, fault) in file.fault.iter().enumerate() {
            for (key, value) in [
                ("at_s", fault.at_s),
                ("for_s", fault.for_s),
                ("amount", fault.amount),
            ] {
                if !(value.is_finite() && value >= 0.0) {
                    return Err(format!("fault[{index}].{key}: must be 0 or more"));
                }
            }
        }
        Ok(file)
    }
}
