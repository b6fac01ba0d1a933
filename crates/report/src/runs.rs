//! Finding runs in directories, and grouping those that can be compared.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use crate::summary::{FILE_NAME, Summary, SummaryError};

/// Directory levels below the one given in which runs are looked for.
const DEPTH: usize = 3;

/// Runs of one scenario with the same faults and length: what can be put side by side.
#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    /// Scenario.
    pub scenario: String,
    /// Fault file; empty for none.
    pub faults: String,
    /// Length of the load, seconds.
    pub seconds: u64,
    /// Runs by policy, in order of their seeds.
    pub policies: BTreeMap<String, Vec<Summary>>,
}

impl Group {
    /// All runs of the group.
    pub fn runs(&self) -> impl Iterator<Item = &Summary> {
        self.policies.values().flatten()
    }

    /// A heading for people.
    pub fn title(&self) -> String {
        let faults = if self.faults.is_empty() {
            "no faults".to_owned()
        } else {
            format!("faults: {}", self.faults)
        };
        format!("{}, {} s, {faults}", self.scenario, self.seconds)
    }
}

/// Reads every run in the directories and below them.
pub fn read(directories: &[PathBuf]) -> Result<Vec<Summary>, SummaryError> {
    let mut found = Vec::new();
    for directory in directories {
        let before = found.len();
        collect(directory, DEPTH, &mut found)?;
        if found.len() == before {
            // Says what is missing and where.
            Summary::read(directory)?;
        }
    }
    Ok(found)
}

fn collect(directory: &Path, depth: usize, found: &mut Vec<Summary>) -> Result<(), SummaryError> {
    if directory.join(FILE_NAME).is_file() {
        found.push(Summary::read(directory)?);
        return Ok(());
    }
    let Ok(entries) = std::fs::read_dir(directory) else {
        return Ok(());
    };
    let mut below: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    below.retain(|path| depth > 0 && path.is_dir());
    below.sort();
    for path in below {
        collect(&path, depth - 1, found)?;
    }
    Ok(())
}

/// Groups runs by scenario, faults and length.
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
