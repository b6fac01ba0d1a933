//! Finds runs in directories, and groups those that can be compared.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use crate::summary::{FILE_NAME, Summary, SummaryError};

/// Levels of subdirectories searched for runs.
const MAXIMUM_DEPTH: usize = 3;

/// Runs with the same scenario, faults and length, which can be compared.
#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    pub scenario: String,
    /// Fault file; empty for none.
    pub faults: String,
    /// Duration of the load.
    pub seconds: u64,
    /// Runs by policy, sorted by seed.
    pub policies: BTreeMap<String, Vec<Summary>>,
}

impl Group {
    pub fn runs(&self) -> impl Iterator<Item = &Summary> {
        self.policies.values().flatten()
    }

    /// Human-readable heading.
    pub fn title(&self) -> String {
        let faults = if self.faults.is_empty() {
            "no faults".to_owned()
        } else {
            format!("faults: {}", self.faults)
        };
        format!("{}, {} s, {faults}", self.scenario, self.seconds)
    }
}

/// Reads all runs in the directories and their subdirectories. Fails if a directory has none.
pub fn read(directories: &[PathBuf]) -> Result<Vec<Summary>, SummaryError> {
    let mut found = Vec::new();
    for directory in directories {
        let before = found.len();
        read_below(directory, MAXIMUM_DEPTH, &mut found)?;
        if found.len() == before {
            // Fails with an error that names the missing file.
            Summary::read(directory)?;
        }
    }
    Ok(found)
}

fn read_below(
    directory: &Path,
    depth: usize,
    found: &mut Vec<Summary>,
) -> Result<(), SummaryError> {
    if directory.join(FILE_NAME).is_file() {
        found.push(Summary::read(directory)?);
        return Ok(());
    }
    let Ok(entries) = std::fs::read_dir(directory) else {
        return Ok(());
    };
    let mut subdirectories: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    subdirectories.retain(|path| depth > 0 && path.is_dir());
    subdirectories.sort();
    for path in subdirectories {
        read_below(&path, depth - 1, found)?;
    }
    Ok(())
}

pub fn group(runs: Vec<Summary>) -> Vec<Group> {
    let mut groups: BTreeMap<(String, String, u64), Group> = BTreeMap::new();
    for run in runs {
        let key = (run.scenario.clone(), run.faults.clone(), run.seconds);
        let group = groups.entry(key).or_insert_with(|| Group {
            scenario: run.scenario.clone(),
            faults: run.faults.clone(),
            seconds: run.seconds,
            policies: BTreeMap::new(),
        });
        let seeds = group.policies.entry(run.policy.clone()).or_default();
        seeds.push(run);
        seeds.sort_by_key(|run| run.seed);
    }
    groups.into_values().collect()
}
