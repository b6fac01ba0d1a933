//! Online invariants: priority over batch, intact responses, truthful rejections, at most one run.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use super::{EngineRun, Evidence, Verdict, format_time};
use crate::recorder::{OnlineEnd, OnlineRecord};

/// No batch sequence starts on an engine while an online one waits there, and an online one waits
/// at most the bounded number of steps that run batch work. Counting engine steps keeps a slow test
/// machine from causing violations.
pub fn online_priority(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::default();
    let bound = evidence.bounds.online_wait_steps;
    let batch = batch_by_server(evidence);
    let none = Vec::new();
    for run in evidence.runs.iter().filter(|run| run.online) {
        let batch = batch.get(run.server.as_str()).unwrap_or(&none);
        let begun = run.started.or(run.ended).unwrap_or(evidence.end);
        let overtaken = batch_started_between(batch, run.arrived, begun);
        verdict.count_case(
            overtaken.is_none() && run.steps_behind_batch <= bound,
            || {
                format!(
                    "{} on {} arrived {}, begun {}, {} steps behind batch, overtaken by {:?}",
                    run.request_id,
                    run.server,
                    format_time(run.arrived),
                    format_time(begun),
                    run.steps_behind_batch,
                    overtaken.map(|other| (&other.request_id, other.started.map(format_time)))
                )
            },
        );
    }
    verdict
}

/// Batch attempts that ran, by server, ordered by start.
fn batch_by_server(evidence: &Evidence) -> HashMap<&str, Vec<&EngineRun>> {
    let mut by_server: HashMap<&str, Vec<&EngineRun>> = HashMap::new();
    let ran = |run: &&EngineRun| !run.online && run.started.is_some();
    for run in evidence.runs.iter().filter(ran) {
        by_server.entry(&run.server).or_default().push(run);
    }
    for runs in by_server.values_mut() {
        runs.sort_by_key(|run| run.started);
    }
    by_server
}

fn batch_started_between<'a>(
    batch: &[&'a EngineRun],
    after: Duration,
    before: Duration,
) -> Option<&'a EngineRun> {
    let first = batch.partition_point(|run| run.started <= Some(after));
    batch
        .get(first)
        .copied()
        .filter(|run| run.started < Some(before))
}

/// A complete response equals the engine's text byte for byte; an interrupted one is a prefix of
/// it. A connection that ends without completion or an error is a violation, since no fault stops a
/// sidecar.
pub fn stream_integrity(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::default();
    for record in &evidence.observations.online {
        let broken = matches!(record.end, OnlineEnd::Broken(_));
        if record.text_bytes == 0 && record.refusal().is_some() {
            continue;
        }
        verdict.count_case(record.wrong_text.is_none() && !broken, || {
            format!(
                "{} ({}) sent {}, ended {} {:?}: {}",
                record.name,
                record.request_id,
                format_time(record.sent),
                format_time(record.ended),
                record.end,
                record.wrong_text.as_deref().unwrap_or_default()
            )
        });
    }
    verdict
}

/// No engine ran a request that was refused with `ran` set to `no`.
pub fn truthful_rejection(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::default();
    let ran: HashMap<&str, &EngineRun> = evidence
        .runs
        .iter()
        .filter(|run| run.online && run.started.is_some())
        .map(|run| (run.request_id.as_str(), run))
        .collect();
    for record in &evidence.observations.online {
        let Some(refusal) = record.refusal().filter(|refusal| refusal.ran == "no") else {
            continue;
        };
        let run = ran.get(record.request_id.as_str());
        verdict.count_case(run.is_none(), || {
            format!(
                "{} ({}) refused at {} as {} with ran=no, but {run:?}",
                record.name,
                record.request_id,
                format_time(record.ended),
                refusal.kind
            )
        });
    }
    verdict
}

/// Engines run at most one request per idempotency key. That all complete responses are equal
/// follows from `stream_integrity`.
pub fn at_most_once(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::default();
    let mut by_key: BTreeMap<&str, Vec<&OnlineRecord>> = BTreeMap::new();
    for record in &evidence.observations.online {
        if let Some(key) = &record.once_key {
            by_key.entry(key).or_default().push(record);
        }
    }
    let mut runs_by_request: HashMap<&str, Vec<&EngineRun>> = HashMap::new();
    for run in evidence
        .runs
        .iter()
        .filter(|run| run.online && run.started.is_some())
    {
        runs_by_request
            .entry(&run.request_id)
            .or_default()
            .push(run);
    }
    for (key, records) in by_key {
        let ids: HashSet<&str> = records
            .iter()
            .map(|record| record.request_id.as_str())
            .collect();
        let runs: Vec<&EngineRun> = ids
            .iter()
            .filter_map(|id| runs_by_request.get(id))
            .flatten()
            .copied()
            .collect();
        verdict.count_case(runs.len() <= 1, || {
            format!("key {key} was run {} times: {runs:?}", runs.len())
        });
    }
    verdict
}
