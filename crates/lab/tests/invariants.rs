//! Each invariant detects its violations.

use std::time::Duration;

use dappleyard_lab::faults::FaultKind;
use dappleyard_lab::invariants::{EngineRun, Evidence, check_all};
use dappleyard_lab::recorder::{
    CancelRecord, ConfigurationAccepted, Drain, Event, FaultRecord, ItemFinding, JobRecord,
    JobResults, OnlineEnd, OnlineRecord, PlannedStop, Refusal, RevisionSample, Unavailable,
};
use googletest::prelude::*;

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

fn request(id: &str, end: OnlineEnd) -> OnlineRecord {
    OnlineRecord {
        name: id.to_owned(),
        request_id: id.to_owned(),
        tenant: "tenant".to_owned(),
        sidecar: 0,
        once_key: None,
        resend: false,
        sent: seconds(1.0),
        first_token: Some(seconds(1.1)),
        ended: seconds(2.0),
        gaps_ms: Vec::new(),
        text_bytes: 10,
        wrong_text: None,
        end,
    }
}

fn refused(ran: &str, kind: &str) -> OnlineEnd {
    OnlineEnd::Refused(Refusal {
        status: 503,
        kind: kind.to_owned(),
        ran: ran.to_owned(),
        message: String::new(),
    })
}

fn run(id: &str, online: bool, arrived: f64, started: f64) -> EngineRun {
    EngineRun {
        server: "server".to_owned(),
        request_id: id.to_owned(),
        attempt: 1,
        online,
        arrived: seconds(arrived),
        started: Some(seconds(started)),
        ended: Some(seconds(started + 1.0)),
        steps_behind_batch: 0,
        finished: true,
        from: 0,
        to: 10,
    }
}

fn finished_job() -> JobRecord {
    let results = JobResults {
        right: 10,
        findings: Vec::new(),
        fingerprint: 7,
    };
    JobRecord {
        name: "job".to_owned(),
        items: 10,
        accepted: Some(seconds(1.0)),
        ids: vec!["batch-1".to_owned()],
        ended: Some(seconds(2.0)),
        status: "completed".to_owned(),
        results: Some(results.clone()),
        results_again: Some(results),
        ..JobRecord::default()
    }
}

fn sample(node: &str, start: u32, at: f64, revision: u64) -> RevisionSample {
    RevisionSample {
        node: node.to_owned(),
        start,
        at: seconds(at),
        revision,
        ready: true,
    }
}

fn evidence() -> Evidence {
    Evidence {
        end: seconds(60.0),
        ..Evidence::default()
    }
}

fn violated(evidence: &Evidence, name: &str) -> u64 {
    check_all(evidence)[name].violated
}

fn checked(evidence: &Evidence, name: &str) -> u64 {
    check_all(evidence)[name].checked
}

#[gtest]
fn no_evidence_is_not_a_pass() {
    let verdicts = check_all(&evidence());
    expect_that!(verdicts.len(), eq(11));
    expect_that!(
        dappleyard_lab::invariants::failures(&verdicts).len(),
        eq(11)
    );
}

#[gtest]
fn exactly_once_detects_missing_duplicate_and_wrong_items() {
    let mut evidence = evidence();
    evidence.observations.jobs.push(finished_job());
    expect_that!(violated(&evidence, "exactly_once"), eq(0));
    let findings = vec![
        ItemFinding::Missing("1".to_owned()),
        ItemFinding::Doubled("2".to_owned()),
        ItemFinding::Wrong("3".to_owned()),
        ItemFinding::Failed("4".to_owned()),
        ItemFinding::Foreign("5".to_owned()),
    ];
    let results = evidence.observations.jobs[0]
        .results
        .as_mut()
        .expect("results");
    results.findings = findings;
    expect_that!(violated(&evidence, "exactly_once"), eq(5));
}

#[gtest]
fn exactly_once_detects_unfinished_jobs_and_two_jobs_for_one_key() {
    let mut evidence = evidence();
    let mut unfinished = finished_job();
    unfinished.results = None;
    unfinished.ended = None;
    evidence.observations.jobs.push(unfinished);
    let mut doubled = finished_job();
    doubled.ids.push("batch-2".to_owned());
    evidence.observations.jobs.push(doubled);
    expect_that!(violated(&evidence, "exactly_once"), eq(11));
}

#[gtest]
fn results_readable_detects_changed_and_missing_results() {
    let mut evidence = evidence();
    let mut vanished = finished_job();
    vanished.results_again = None;
    let mut changed = finished_job();
    changed.results_again.as_mut().expect("results").fingerprint = 8;
    evidence.observations.jobs = vec![finished_job(), vanished, changed];
    expect_that!(violated(&evidence, "results_readable"), eq(2));
}

#[gtest]
fn cancellation_detects_items_started_after_the_bound() {
    let mut evidence = evidence();
    let mut job = finished_job();
    job.status = "cancelled".to_owned();
    job.cancel = Some(CancelRecord {
        answered: seconds(5.0),
    });
    evidence.observations.jobs.push(job);
    evidence.runs.push(run("batch-1-item-3", false, 6.0, 6.9));
    expect_that!(violated(&evidence, "cancellation_effective"), eq(0));
    evidence.runs.push(run("batch-1-item-4", false, 7.0, 7.1));
    expect_that!(violated(&evidence, "cancellation_effective"), eq(1));
}

#[gtest]
fn online_priority_detects_batch_started_first() {
    let mut evidence = evidence();
    evidence.runs.push(run("online", true, 5.0, 5.010));
    evidence.runs.push(run("same-step", false, 4.0, 5.010));
    expect_that!(violated(&evidence, "online_priority"), eq(0));
    evidence.runs.push(run("overtaking", false, 4.0, 5.005));
    expect_that!(violated(&evidence, "online_priority"), eq(1));
}

#[gtest]
fn online_priority_detects_too_many_steps_behind_batch() {
    let mut evidence = evidence();
    let mut online = run("online", true, 5.0, 5.5);
    online.steps_behind_batch = 2;
    evidence.runs.push(online.clone());
    expect_that!(violated(&evidence, "online_priority"), eq(0));
    online.steps_behind_batch = 3;
    evidence.runs.push(online);
    expect_that!(violated(&evidence, "online_priority"), eq(1));
}

#[gtest]
fn stream_integrity_detects_wrong_text_and_dropped_connections() {
    let mut evidence = evidence();
    let mut wrong = request("wrong", OnlineEnd::Whole);
    wrong.wrong_text = Some("different".to_owned());
    evidence.observations.online = vec![
        request("whole", OnlineEnd::Whole),
        request("told", refused("maybe", "engine_lost")),
        request("silent", OnlineEnd::Broken("closed".to_owned())),
        wrong,
    ];
    expect_that!(checked(&evidence, "stream_integrity"), eq(4));
    expect_that!(violated(&evidence, "stream_integrity"), eq(2));
}

#[gtest]
fn truthful_rejection_detects_a_refused_request_that_ran() {
    let mut evidence = evidence();
    evidence.observations.online = vec![
        request("never-ran", refused("no", "overloaded")),
        request("ran", refused("no", "overloaded")),
        request("perhaps", refused("maybe", "engine_lost")),
    ];
    evidence.runs = vec![run("ran", true, 1.0, 1.1), run("perhaps", true, 1.0, 1.1)];
    expect_that!(checked(&evidence, "truthful_rejection"), eq(2));
    expect_that!(violated(&evidence, "truthful_rejection"), eq(1));
}

#[gtest]
fn at_most_once_detects_a_key_that_ran_twice() {
    let mut evidence = evidence();
    for id in ["first", "second"] {
        let mut sending = request(id, OnlineEnd::Whole);
        sending.once_key = Some("key".to_owned());
        evidence.observations.online.push(sending);
    }
    evidence.runs.push(run("first", true, 1.0, 1.1));
    expect_that!(violated(&evidence, "at_most_once"), eq(0));
    evidence.runs.push(run("second", true, 1.0, 1.1));
    expect_that!(violated(&evidence, "at_most_once"), eq(1));
}

#[gtest]
fn drain_detects_work_arriving_after_the_bound() {
    let mut evidence = evidence();
    evidence.observations.events.push(Event::Drain(Drain {
        server: "server".to_owned(),
        told: seconds(5.0),
        taken_back: seconds(12.0),
    }));
    evidence.runs.push(run("soon", true, 7.9, 8.0));
    evidence.runs.push(run("back", true, 12.1, 12.2));
    expect_that!(violated(&evidence, "drain_no_new_work"), eq(0));
    evidence.runs.push(run("late", false, 8.1, 8.2));
    expect_that!(violated(&evidence, "drain_no_new_work"), eq(1));
}

#[gtest]
fn planned_stop_detects_interrupted_requests_unless_an_abrupt_fault_overlaps() {
    let mut evidence = evidence();
    evidence.observations.events.push(Event::Stop(PlannedStop {
        node: "node".to_owned(),
        told: seconds(1.5),
        stopped: seconds(3.0),
        bound_ms: 15_000,
    }));
    evidence.observations.online = vec![
        request("whole", OnlineEnd::Whole),
        request("limited", refused("no", "rate_limit_exceeded")),
        request("cut", refused("maybe", "node_lost")),
    ];
    expect_that!(checked(&evidence, "graceful_shutdown"), eq(4));
    expect_that!(violated(&evidence, "graceful_shutdown"), eq(1));
    evidence.observations.events.push(Event::Fault(FaultRecord {
        kind: FaultKind::EngineKill,
        place: "server".to_owned(),
        from: seconds(1.0),
        to: seconds(1.2),
    }));
    expect_that!(checked(&evidence, "graceful_shutdown"), eq(1));
}

#[gtest]
fn planned_stop_detects_an_exceeded_bound() {
    let mut evidence = evidence();
    evidence.observations.events.push(Event::Stop(PlannedStop {
        node: "node".to_owned(),
        told: seconds(1.0),
        stopped: seconds(20.0),
        bound_ms: 15_000,
    }));
    expect_that!(violated(&evidence, "graceful_shutdown"), eq(1));
}

fn accepted(revision: u64, at: f64) -> Event {
    Event::Configuration(ConfigurationAccepted {
        key: "config/tenant/x".to_owned(),
        revision,
        accepted: seconds(at),
    })
}

#[gtest]
fn convergence_detects_a_lagging_node() {
    let mut evidence = evidence();
    evidence.observations.events.push(accepted(5, 1.0));
    evidence.observations.revisions = vec![
        sample("quick", 1, 10.0, 5),
        sample("slow", 1, 10.0, 4),
        sample("slow", 1, 12.0, 5),
    ];
    expect_that!(checked(&evidence, "config_convergence"), eq(2));
    expect_that!(violated(&evidence, "config_convergence"), eq(1));
}

#[gtest]
fn convergence_allows_an_unavailable_node_to_catch_up() {
    let mut evidence = evidence();
    evidence.observations.events.push(accepted(5, 1.0));
    evidence
        .observations
        .events
        .push(Event::Unavailable(Unavailable {
            node: "away".to_owned(),
            from: seconds(0.5),
            to: seconds(9.0),
        }));
    evidence.observations.revisions = vec![sample("away", 1, 10.0, 4), sample("away", 1, 18.0, 5)];
    expect_that!(violated(&evidence, "config_convergence"), eq(0));
    evidence.observations.revisions[1].revision = 4;
    expect_that!(violated(&evidence, "config_convergence"), eq(1));
}

#[gtest]
fn monotonic_detects_a_falling_revision_and_a_restart_behind_the_fleet() {
    let mut evidence = evidence();
    evidence.observations.revisions = vec![
        sample("one", 1, 1.0, 5),
        sample("one", 1, 2.0, 4),
        sample("one", 1, 3.0, 5),
        sample("two", 1, 1.0, 5),
        sample("two", 1, 3.0, 5),
        sample("two", 2, 4.0, 3),
    ];
    expect_that!(violated(&evidence, "config_monotonic"), eq(2));
}
