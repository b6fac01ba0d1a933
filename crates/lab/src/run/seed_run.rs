//! Runs one seed: starts the fleet, drives load and faults, then checks the invariants.

use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_report::summary::{EventSpan, Summary};

use super::arguments::RunArguments;
use super::process::{ProcessTime, rss_mb};
use super::{collect, decisions, progress};
use crate::error::LabError;
use crate::faults::inject::Injector;
use crate::faults::routine;
use crate::fleet::Fleet;
use crate::invariants::{self, Evidence};
use crate::load::drive::{Callers, ClientBehavior, LoadContext};
use crate::load::plan::LoadPlan;
use crate::measures::{self, Counters};
use crate::recorder::{Event, Recorder, RunClock};
use crate::replay;
use crate::scenario::Policy;

/// Delay between the fleet becoming ready and the start of the load.
const LOAD_START_DELAY: Duration = Duration::from_millis(1_500);
/// Interval between samples of the nodes' revisions.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Delay between the end of callers and faults and the last sample of revisions.
const FINAL_SAMPLE_DELAY: Duration = Duration::from_millis(300);

/// File with the evidence of a failed run.
const EVIDENCE_FILE: &str = "evidence.json";

/// Result of a run.
pub struct RunOutcome {
    /// Summary as written to the output directory.
    pub summary: Summary,
    /// Invariants that were violated or not checked, and other failures.
    pub failures: Vec<String>,
}

/// Runs one seed and writes its summary.
pub async fn run_seed(
    arguments: &RunArguments,
    seed: u64,
    directory: &Path,
) -> Result<RunOutcome, LabError> {
    let started_unix_s = unix_s();
    let recorder = Recorder::new(RunClock::start());
    let scenario = &arguments.scenario;
    let fleet = Rc::new(Fleet::start(scenario, seed, arguments.policy, recorder).await?);
    tokio::time::sleep(LOAD_START_DELAY).await;
    let counters = drive(arguments, seed, &fleet).await;
    let evidence = collect::evidence(&fleet);
    let verdicts = invariants::check_all(&evidence);
    let failures = failures(arguments, &evidence, &verdicts);
    let summary = Summary {
        scenario: scenario.name.clone(),
        seed,
        policy: arguments.policy.name().to_owned(),
        seconds: arguments.length.as_secs(),
        faults: arguments.fault_name.clone(),
        started_unix_s,
        invariants: verdicts,
        measures: measures::measures(&evidence, &counters),
        not_done: not_done(&evidence),
        series: measures::series(&evidence, &counters),
        events: spans(&evidence, counters.load_start),
        decisions: decisions::around_faults(&fleet, &evidence, counters.load_start),
    };
    summary.write(directory).map_err(LabError::failed)?;
    if !failures.is_empty() {
        write_evidence(&evidence, directory)?;
    }
    if let Some(path) = &arguments.record {
        let history = fleet.platform.history(&replay::RECORDED_PREFIXES);
        replay::write_recording(path, &about(&summary), &history)?;
    }
    stop(fleet).await;
    Ok(RunOutcome { summary, failures })
}

/// Writes the evidence of a failed run for analysis.
fn write_evidence(evidence: &Evidence, directory: &Path) -> Result<(), LabError> {
    let text = serde_json::to_string(evidence).map_err(LabError::failed)?;
    std::fs::write(directory.join(EVIDENCE_FILE), text).map_err(LabError::failed)
}

/// Runs load and faults to completion.
async fn drive(arguments: &RunArguments, seed: u64, fleet: &Rc<Fleet>) -> Counters {
    let load_start = fleet.recorder.clock.now();
    let client_behavior = Arc::new(ClientBehavior::default());
    let context = load_context(arguments, seed, fleet, load_start, client_behavior.clone());
    let mut faults = routine::events(&arguments.scenario.routine, arguments.length);
    faults.extend(arguments.faults.fault.iter().cloned());
    let injector = Injector::new(fleet.clone(), client_behavior, load_start);
    let injecting = actix_rt::spawn(injector.run(faults, seed));
    let watching = actix_rt::spawn(sample_and_print(
        fleet.clone(),
        load_start,
        arguments.length,
    ));
    let process = ProcessTime::now();
    let writes_before = collect::store_writes(fleet);
    let callers = Callers::start(&context);
    tokio::time::sleep(arguments.length).await;
    let mut counters = collect::counters(fleet, load_start, arguments.length);
    counters.store_writes = collect::store_writes(fleet) - writes_before;
    counters.process_cores = process.cores_since();
    counters.process_rss_mb = rss_mb();
    callers.finish().await;
    // A fault that outlives the load still uses the fleet.
    let _ = injecting.await;
    tokio::time::sleep(FINAL_SAMPLE_DELAY).await;
    watching.abort();
    let _ = watching.await;
    counters
}

fn load_context(
    arguments: &RunArguments,
    seed: u64,
    fleet: &Fleet,
    start: Duration,
    client_behavior: Arc<ClientBehavior>,
) -> LoadContext {
    let scenario = &arguments.scenario;
    let mut plan = LoadPlan::draw(scenario, seed, arguments.length);
    if arguments.policy == Policy::OnlineOnly {
        plan.jobs.clear();
    }
    let settle = Duration::from_millis(scenario.bounds.settle_ms);
    LoadContext {
        plan: Arc::new(plan),
        recorder: fleet.recorder.clone(),
        start,
        give_up_at: start + arguments.length + settle,
        reread_at: start + arguments.length,
        sidecars: fleet.sidecar_urls(),
        service: scenario.service.name.clone(),
        batch_service: scenario.batch_service(arguments.policy),
        versions: vec![scenario.service.version.clone()],
        batch: scenario.batch.clone(),
        client_behavior,
        seed,
    }
}

/// Samples revisions and prints progress until aborted.
async fn sample_and_print(fleet: Rc<Fleet>, load_start: Duration, length: Duration) {
    let mut next_line = load_start + PROGRESS_INTERVAL;
    loop {
        fleet.sample_revisions();
        let now = fleet.recorder.clock.now();
        if now >= next_line {
            next_line = now + PROGRESS_INTERVAL;
            let phase = if now < load_start + length {
                "load"
            } else {
                "settle"
            };
            progress::print(&fleet, now - load_start, phase);
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Invariants that cannot be checked without batch work.
const BATCH_INVARIANTS: [&str; 3] = ["exactly_once", "results_readable", "cancellation_effective"];

fn failures(
    arguments: &RunArguments,
    evidence: &Evidence,
    verdicts: &dappleyard_report::summary::Verdicts,
) -> Vec<String> {
    let without_batch = arguments.policy == Policy::OnlineOnly;
    let mut failures: Vec<String> = invariants::failures(verdicts)
        .into_iter()
        .filter(|failure| {
            let unchecked_batch = failure.ends_with("not checked")
                && BATCH_INVARIANTS
                    .iter()
                    .any(|name| failure.starts_with(name));
            !(without_batch && unchecked_batch)
        })
        .collect();
    if evidence.dropped_runs > 0 {
        failures.push(format!(
            "{} engine records were dropped",
            evidence.dropped_runs
        ));
    }
    for event in &evidence.observations.events {
        // One plan is accepted and one refused, fewer if the store is unavailable.
        if let Event::Race {
            accepted,
            overtaken,
            answers,
            ..
        } = event
            && (*accepted > 1 || *overtaken > 1)
        {
            failures.push(format!(
                "{accepted} of two racing plans were accepted: {answers}"
            ));
        }
    }
    failures
}

fn not_done(evidence: &Evidence) -> Vec<String> {
    let events = evidence.observations.events.iter();
    events
        .filter_map(|event| match event {
            Event::NotDone { what, reason, at } => {
                Some(format!("{what} at {:.1}s: {reason}", at.as_secs_f64()))
            }
            _ => None,
        })
        .collect()
}

fn spans(evidence: &Evidence, load_start: Duration) -> Vec<EventSpan> {
    let seconds = |at: Duration| at.as_secs_f64() - load_start.as_secs_f64();
    let events = evidence.observations.events.iter();
    events
        .filter_map(|event| match event {
            Event::Fault(fault) => Some(EventSpan {
                what: fault.kind.to_string(),
                place: fault.place.clone(),
                from_s: seconds(fault.from),
                to_s: seconds(fault.to),
            }),
            _ => None,
        })
        .collect()
}

async fn stop(fleet: Rc<Fleet>) {
    match Rc::try_unwrap(fleet) {
        Ok(fleet) => fleet.stop().await,
        Err(_) => tracing::warn!("fleet is still in use by a task and was not stopped"),
    }
}

fn about(summary: &Summary) -> String {
    format!(
        "transactions of the table service, scenario {}, seed {}, {} s, faults: {}",
        summary.scenario, summary.seed, summary.seconds, summary.faults
    )
}

fn unix_s() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
