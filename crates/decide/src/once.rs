//! At-most-once execution with a durable record per idempotency key.
//!
//! The record is created by compare-and-swap before dispatch and settled afterwards. Only the
//! attempt that created it runs the request, once; resends read the record.

use dappleyard_wire::messages::{OnceOutcome, OncePhase, OnceRow, Ran};

/// What a non-repeatable request may do, given its record.
#[derive(Debug, Clone, PartialEq)]
pub enum OnceDecision {
    /// Create the record, conditional on its absence or, if it was released, on its revision.
    Create(OnceRow),
    /// This attempt created the record; run the request once.
    Run,
    /// Return the recorded outcome.
    Replay(OnceOutcome),
    /// Another attempt holds the key and may still be running.
    InProgress,
    /// The key was used for a different request.
    KeyReused,
    /// This attempt already released the key and must neither run nor create the record again.
    /// Otherwise a delayed retry of the attempt would hold the key with nobody running the request.
    GivenUp,
}

/// Attempt to acquire an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceAttempt {
    pub request_id: String,
    /// Fingerprint of the request's content.
    pub fingerprint: u64,
    /// Unique token of the attempt, stored in the record that it creates.
    pub writer: String,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
}

/// Decides based on the record that was read. `writing` is `true` if this attempt has already sent
/// its create and is reading back the result.
pub fn decide(row: Option<&OnceRow>, attempt: &OnceAttempt, writing: bool) -> OnceDecision {
    let Some(row) = row else {
        return OnceDecision::Create(create(attempt));
    };
    if row.fingerprint != attempt.fingerprint {
        return OnceDecision::KeyReused;
    }
    match row.phase() {
        OncePhase::OnceReleased if row.writer == attempt.writer => OnceDecision::GivenUp,
        OncePhase::OnceReleased => OnceDecision::Create(create(attempt)),
        OncePhase::OnceSettled => {
            OnceDecision::Replay(row.outcome.clone().unwrap_or_else(unknown_outcome))
        }
        OncePhase::OnceStarted if writing && row.writer == attempt.writer => OnceDecision::Run,
        OncePhase::OnceStarted => OnceDecision::InProgress,
    }
}

fn create(attempt: &OnceAttempt) -> OnceRow {
    let mut row = OnceRow {
        request_id: attempt.request_id.clone(),
        fingerprint: attempt.fingerprint,
        created_unix_ms: attempt.now_unix_ms,
        writer: attempt.writer.clone(),
        ..OnceRow::default()
    };
    row.set_phase(OncePhase::OnceStarted);
    row
}

/// Returns the record that an attempt writes when it will not run but its create may still take
/// effect; `None` if no write is needed. An absent record, or one released by another attempt, is
/// overwritten as released, so that a delayed create fails its revision check.
pub fn give_up(row: Option<&OnceRow>, attempt: &OnceAttempt) -> Option<OnceRow> {
    let must_write = row.is_none_or(|row| {
        let own = row.writer == attempt.writer;
        match row.phase() {
            OncePhase::OnceStarted => own,
            OncePhase::OnceReleased => !own,
            OncePhase::OnceSettled => false,
        }
    });
    must_write.then(|| {
        let mut released = create(attempt);
        released.set_phase(OncePhase::OnceReleased);
        released
    })
}

/// Whether an outcome may be stored in the row. Only the attempt that created the record may
/// release it. A successful response may replace an error outcome.
pub fn may_settle(row: &OnceRow, request_id: &str, writer: &str, outcome: &OnceOutcome) -> bool {
    let is_success = outcome.kind == 0;
    let releases = !is_success && outcome.ran() == Ran::No;
    let is_writer = !writer.is_empty() && row.writer == writer;
    if !is_writer && (row.request_id != request_id || releases) {
        return false;
    }
    match row.phase() {
        OncePhase::OnceStarted => true,
        OncePhase::OnceSettled => is_success && !has_response(row),
        OncePhase::OnceReleased => false,
    }
}

fn has_response(row: &OnceRow) -> bool {
    row.outcome
        .as_ref()
        .is_some_and(|outcome| outcome.kind == 0)
}

/// Returns the record after the run. The key is released if the request is known not to have run.
pub fn settle(row: &OnceRow, outcome: OnceOutcome) -> OnceRow {
    let mut next = row.clone();
    let released = outcome.kind != 0 && outcome.ran() == Ran::No;
    next.set_phase(if released {
        OncePhase::OnceReleased
    } else {
        OncePhase::OnceSettled
    });
    next.outcome = Some(outcome);
    next
}

/// Outcome of a request that may have run but whose result was lost.
pub fn unknown_outcome() -> OnceOutcome {
    OnceOutcome {
        kind: dappleyard_wire::ErrorKind::OutcomeUnknown as u32,
        ran: Ran::Maybe as i32,
        ..OnceOutcome::default()
    }
}
