//! Failures, recorded outcomes and decision records for the end of a submission.

use dappleyard_decide::once::unknown_outcome;
use dappleyard_tables::decisions::{Decision, DecisionKind, Subject};
use dappleyard_wire::error::ran_label;
use dappleyard_wire::messages::OnceOutcome;
use dappleyard_wire::{ErrorKind, Failure, Ran};

use crate::receive::Incoming;
use crate::worker::OnlineWorker;

/// Retry delay suggested after an exceeded deadline, milliseconds.
const DEADLINE_RETRY_AFTER_MS: u32 = 100;

/// Retry delay suggested when the caller should use another node, milliseconds.
const OTHER_NODE_RETRY_AFTER_MS: u32 = 50;

pub(crate) fn not_ready() -> Failure {
    Failure::not_run(
        ErrorKind::NotReady,
        "the node takes no new work at present; use another node",
    )
    .retry_after(OTHER_NODE_RETRY_AFTER_MS)
}

pub(crate) fn deadline(ran: Ran) -> Failure {
    let failure = Failure::not_run(ErrorKind::DeadlineExceeded, "the deadline passed");
    failure.retry_after(DEADLINE_RETRY_AFTER_MS).after(ran)
}

pub(crate) fn cancelled(ran: Ran) -> Failure {
    Failure::not_run(ErrorKind::Cancelled, "the caller went away").after(ran)
}

/// An at-most-once request may have run and its outcome is lost.
pub(crate) fn outcome_unknown() -> Failure {
    Failure::maybe_ran(
        ErrorKind::OutcomeUnknown,
        "the request may have run and its outcome is lost; it is not run again",
    )
}

/// The limit of servers that ended while running the request was reached.
pub(crate) fn servers_ended(ran: Ran) -> Failure {
    let message = "servers ended while they ran this request; it is not run again";
    Failure::not_run(ErrorKind::ServersEnded, message).after(ran)
}

/// Outcome recorded for a failure.
pub(crate) fn failed_outcome(failure: &Failure) -> OnceOutcome {
    if failure.kind == ErrorKind::OutcomeUnknown {
        return unknown_outcome();
    }
    OnceOutcome {
        kind: failure.kind as u32,
        ran: failure.ran as i32,
        ..OnceOutcome::default()
    }
}

/// Failure reported for a recorded outcome.
pub(crate) fn recorded_failure(outcome: &OnceOutcome) -> Failure {
    let kind = ErrorKind::from_number(outcome.kind);
    Failure {
        kind,
        ran: Ran::try_from(outcome.ran).unwrap_or(Ran::Maybe),
        retry_after_ms: 0,
        message: format!("recorded for this key: {}", kind.answer().code),
    }
}

/// Records a refusal as a decision. Refusals by tenant limits are frequent and only counted in metrics.
pub(crate) fn record_refusal(worker: &OnlineWorker, incoming: &Incoming, failure: &Failure) {
    if matches!(
        failure.kind,
        ErrorKind::TenantRate | ErrorKind::TenantConcurrency
    ) {
        return;
    }
    let inputs = vec![
        ("ran".to_owned(), ran_label(failure.ran).to_owned()),
        ("attempt".to_owned(), incoming.attempt.to_string()),
        ("left_ms".to_owned(), incoming.remaining_ms().to_string()),
    ];
    let code = failure.kind.answer().code;
    let kind = DecisionKind::Refused;
    record(worker, incoming, kind, &failure.message, inputs, code);
}

/// Records a repeated placement as a decision.
pub(crate) fn record_retry(worker: &OnlineWorker, incoming: &Incoming, cause: &str, ran: Ran) {
    let inputs = vec![("ran".to_owned(), ran_label(ran).to_owned())];
    let kind = DecisionKind::PlacedAgain;
    record(worker, incoming, kind, cause, inputs, "placed again");
}

/// Records a decision about a request. The rate is limited; decisions beyond it are only counted.
fn record(
    worker: &OnlineWorker,
    incoming: &Incoming,
    kind: DecisionKind,
    cause: &str,
    inputs: Vec<(String, String)>,
    outcome: &str,
) {
    let tables = &worker.tables;
    if !worker.shared.may_record_decision(tables.clock.now()) {
        return;
    }
    tables.decisions.record(Decision {
        unix_ms: tables.clock.unix_ms(),
        node: tables.identity.node.to_string(),
        kind,
        subjects: vec![
            Subject::Request(incoming.id.to_string()),
            Subject::Service(incoming.request.service.clone()),
        ],
        cause: cause.to_owned(),
        inputs,
        outcome: outcome.to_owned(),
    });
}
