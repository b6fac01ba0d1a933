//! CPU time of the processes started by `scripts/fleet`.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;

use crate::error::LabError;

#[derive(Deserialize)]
struct Entry {
    command: Vec<String>,
    pid: i32,
}

/// CPU seconds by role: `node`, `sidecar` or `standins`.
pub fn cpu_seconds(file: &Path) -> Result<BTreeMap<String, f64>, LabError> {
    let failed = |reason: String| LabError::failed(format!("{}: {reason}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|error| failed(error.to_string()))?;
    let entries: BTreeMap<String, Entry> =
        serde_json::from_str(&text).map_err(|error| failed(error.to_string()))?;
    let ticks = procfs::ticks_per_second() as f64;
    let mut by_role = BTreeMap::new();
    for entry in entries.into_values() {
        let used = procfs::process::Process::new(entry.pid)
            .and_then(|process| process.stat())
            .map_err(|error| failed(error.to_string()))?;
        let role = entry.command.get(1).cloned().unwrap_or_default();
        *by_role.entry(role).or_insert(0.0) += (used.utime + used.stime) as f64 / ticks;
    }
    Ok(by_role)
}
