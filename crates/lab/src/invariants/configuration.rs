//! Configuration invariants: changes reach every node within a bound, and revisions never decrease.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Evidence, Verdict, format_time, overlap};
use crate::recorder::{ConfigurationAccepted, Event, RevisionSample};

/// Extra time for a node to catch up after it was unavailable.
const CATCH_UP_TIME: Duration = Duration::from_millis(500);

/// Each accepted change is applied on each ready node within the bound. For a node that was
/// unavailable in that time, the bound starts again when it is back.
pub fn config_convergence(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::default();
    let bound = Duration::from_millis(evidence.bounds.configuration_ms);
    for change in accepted(evidence) {
        for (node, samples) in by_node(evidence) {
            let due = due_time(evidence, node, change.accepted, bound);
            let first = samples
                .iter()
                .find(|sample| sample.at >= due && sample.ready);
            let Some(sample) = first else { continue };
            verdict.count_case(sample.revision >= change.revision, || {
                format!(
                    "revision {} ({}) accepted {}, but {node} has {} at {}",
                    change.revision,
                    change.key,
                    format_time(change.accepted),
                    sample.revision,
                    format_time(sample.at)
                )
            });
        }
    }
    verdict
}

/// Time by which a node must have applied a change, extended by its unavailability.
fn due_time(evidence: &Evidence, node: &str, accepted: Duration, bound: Duration) -> Duration {
    let mut due = accepted + bound;
    let mut spans: Vec<_> = evidence
        .unavailable()
        .filter(|away| away.node == node)
        .collect();
    spans.sort_by_key(|away| away.from);
    for away in spans {
        if overlap((away.from, away.to), (accepted, due)) {
            due = due.max(away.to + bound + CATCH_UP_TIME);
        }
    }
    due
}

/// The revision of a running node never decreases, and a restarted node that accepts work is
/// not behind the revision that all nodes had reached before.
pub fn config_monotonic(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::default();
    for (node, samples) in by_node(evidence) {
        for pair in samples.windows(2) {
            let [before, after] = pair else { continue };
            if before.start != after.start {
                continue;
            }
            verdict.count_case(after.revision >= before.revision, || {
                format!(
                    "{node} had revision {} at {} and {} at {}",
                    before.revision,
                    format_time(before.at),
                    after.revision,
                    format_time(after.at)
                )
            });
        }
    }
    check_restarts(evidence, &mut verdict);
    verdict
}

fn check_restarts(evidence: &Evidence, verdict: &mut Verdict) {
    let nodes = by_node(evidence);
    for (node, samples) in &nodes {
        for pair in samples.windows(2) {
            let [before, after] = pair else { continue };
            let served = samples
                .iter()
                .find(|sample| sample.start == after.start && sample.ready);
            if before.start == after.start {
                continue;
            }
            let Some(served) = served else { continue };
            let floor = revision_on_all_nodes(&nodes, before.at);
            verdict.count_case(served.revision >= floor, || {
                format!(
                    "{node} ready again at {} with revision {}, but all nodes had reached {floor}",
                    format_time(served.at),
                    served.revision
                )
            });
        }
    }
}

/// The highest revision that every node had reached at a time.
fn revision_on_all_nodes(nodes: &BTreeMap<&str, Vec<&RevisionSample>>, time: Duration) -> u64 {
    nodes
        .values()
        .filter_map(|samples| samples.iter().rev().find(|sample| sample.at <= time))
        .map(|sample| sample.revision)
        .min()
        .unwrap_or(0)
}

fn accepted(evidence: &Evidence) -> impl Iterator<Item = &ConfigurationAccepted> {
    evidence
        .observations
        .events
        .iter()
        .filter_map(|event| match event {
            Event::Configuration(change) => Some(change),
            _ => None,
        })
}

fn by_node(evidence: &Evidence) -> BTreeMap<&str, Vec<&RevisionSample>> {
    let mut nodes: BTreeMap<&str, Vec<&RevisionSample>> = BTreeMap::new();
    for sample in &evidence.observations.revisions {
        nodes.entry(&sample.node).or_default().push(sample);
    }
    nodes
}
