//! At-most-once execution by a durable record under an idempotency key.
//!
//! The record is created by compare-and-swap before dispatch and settled after it. Only the creator
//! of the record runs the request, and only once; every resend reads the record.

use dappleyard_wire::messages::{OnceOutcome, OncePhase, OnceRow, Ran};

/// What a request that must not be repeated may do, given the record that was read or written.
#[derive(Debug, Clone, PartialEq)]
pub enum OnceDecision {
    /// Create the record, comparing its absence (or, for a released one, its revision).
    Create(OnceRow),
    /// This request created the record: run it, once.
    Run,
    /// Answer with the recorded outcome.
    Replay(OnceOutcome),
    /// Another request holds the key and may still be running.
    InProgress,
    /// The key was used for a different request.
    KeyReused,
    /// This attempt gave the key back already: it must neither run nor create the record again.
    /// Without this a slow loop of the same attempt would take the key back for nobody.
    GivenUp,
}

/// Who asks for the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceAttempt {
    /// Request id.
    pub request_id: String,
    /// Fingerprint of the request's content.
    pub fingerprint: u64,
    /// Token of this attempt to create the record; unique for each attempt.
    pub writer: String,
    /// Wall-clock time, milliseconds since 1970.
    pub now_unix_ms: u64,
}

/// Decides on the record as read. `writing` is `true` when this attempt has sent its create already
/// and reads back what became of it.
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

/// The record that an attempt writes when it was told, or told its caller, that it does not run, while
/// a create of its own may still take effect; `None` when the key is not its own and needs no write.
/// An absent record, or one that another attempt released, is written as released too, so that a late
/// create finds another revision than it expects.
pub fn give_up(row: Option<&OnceRow>, attempt: &OnceAttempt) -> Option<OnceRow> {
    let open = row.is_none_or(|row| {
        let own = row.writer == attempt.writer;
        match row.phase() {
            OncePhase::OnceStarted => own,
            OncePhase::OnceReleased => !own,
            OncePhase::OnceSettled => false,
        }
    });
    open.then(|| {
        let mut released = create(attempt);
        released.set_phase(OncePhase::OnceReleased);
        released
    })
}

/// Whether an outcome may be written over the row. Only the attempt that created a record may release
/// it; a whole answer replaces an outcome that is none.
pub fn may_settle(row: &OnceRow, request_id: &str, writer: &str, outcome: &OnceOutcome) -> bool {
    let is_answer = outcome.kind == 0;
    let releases = !is_answer && outcome.ran() == Ran::No;
    let is_writer = !writer.is_empty() && row.writer == writer;
    if !is_writer && (row.request_id != request_id || releases) {
        return false;
    }
    match row.phase() {
        OncePhase::OnceStarted => true,
        OncePhase::OnceSettled => is_answer && !holds_answer(row),
        OncePhase::OnceReleased => false,
    }
}

fn holds_answer(row: &OnceRow) -> bool {
    row.outcome
        .as_ref()
        .is_some_and(|outcome| outcome.kind == 0)
}

/// The record after the run ended. An attempt that is known not to have run releases the key.
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

/// The outcome of a request whose run was lost.
pub fn unknown_outcome() -> OnceOutcome {
    OnceOutcome {
        kind: dappleyard_wire::ErrorKind::OutcomeUnknown as u32,
        ran: Ran::Maybe as i32,
        ..OnceOutcome::default()
    }
}
