//! Collects the nodes' decision records around each fault, for the report.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dappleyard_report::summary::DecisionLine;
use dappleyard_tables::decisions::{Decision, MAXIMUM_RECORDS, Subject};

use crate::fleet::Fleet;
use crate::invariants::Evidence;
use crate::recorder::Event;

/// Time before and after a fault in which decisions are kept.
const MARGIN: Duration = Duration::from_secs(2);
const MAX_DECISIONS_PER_FAULT: usize = 60;

/// Decisions of the running nodes around the faults, oldest first.
pub fn around_faults(
    fleet: &Fleet,
    evidence: &Evidence,
    load_start: Duration,
) -> Vec<DecisionLine> {
    let mut decisions = on_run_clock(fleet);
    decisions.sort_by_key(|(at, _)| *at);
    let mut kept = vec![false; decisions.len()];
    for event in &evidence.observations.events {
        let Event::Fault(fault) = event else { continue };
        let (from, to) = (fault.from.saturating_sub(MARGIN), fault.to + MARGIN);
        let near = (0..decisions.len()).filter(|index| {
            let at = decisions[*index].0;
            at >= from && at <= to
        });
        near.take(MAX_DECISIONS_PER_FAULT)
            .for_each(|index| kept[index] = true);
    }
    let lines = decisions.iter().zip(kept).filter(|(_, kept)| *kept);
    lines
        .map(|((at, decision), _)| line(*at, decision, load_start))
        .collect()
}

fn on_run_clock(fleet: &Fleet) -> Vec<(Duration, Decision)> {
    let now = fleet.recorder.clock.now();
    let unix_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis());
    let age = |decision: &Decision| {
        let age_ms = unix_ms.saturating_sub(u128::from(decision.unix_ms));
        Duration::from_millis(u64::try_from(age_ms).unwrap_or(u64::MAX))
    };
    let decisions = fleet.decisions(MAXIMUM_RECORDS).into_iter();
    decisions
        .map(|decision| (now.saturating_sub(age(&decision)), decision))
        .collect()
}

fn line(at: Duration, decision: &Decision, load_start: Duration) -> DecisionLine {
    DecisionLine {
        at_s: at.as_secs_f64() - load_start.as_secs_f64(),
        node: decision.node.clone(),
        kind: format!("{:?}", decision.kind),
        subjects: decision.subjects.iter().map(subject).collect(),
        cause: decision.cause.clone(),
        outcome: decision.outcome.clone(),
    }
}

fn subject(subject: &Subject) -> String {
    match subject {
        Subject::Request(id) => format!("request {id}"),
        Subject::Job(id) => format!("job {id}"),
        Subject::Server(id) => format!("server {id}"),
        Subject::Node(id) => format!("node {id}"),
        Subject::Service(id) => format!("service {id}"),
        Subject::Plan(id) => format!("plan {id}"),
    }
}
