//! At-most-once execution at the ingress node: reserves the idempotency key before dispatch and records
//! the outcome afterwards.

use std::rc::Rc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_transport::CallError;
use dappleyard_wire::hash::{hash_bytes, rendezvous_weight};
use dappleyard_wire::ids::NodeId;
use dappleyard_wire::messages::{
    Call, OnceOutcome, OncePhase, OnceRow, RecordBegin, RecordSettle, RecordState, call, reply,
};
use dappleyard_wire::{ErrorKind, Failure, keys};

use crate::receive::Incoming;
use crate::recorder::STORE_RETRY_AFTER_MS;
use crate::settle::{outcome_unknown, recorded_failure};
use crate::view::NodeAddress;
use crate::worker::OnlineWorker;

/// Time to wait for the cell's recorder before writing the record directly.
const RECORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Retry delay suggested while the request with this key is still running, milliseconds.
const IN_PROGRESS_RETRY_AFTER_MS: u32 = 250;

/// Age up to which a record written by an unknown node is considered running, milliseconds.
const UNKNOWN_WRITER_GRACE_MS: u64 = 10_000;

/// Bounds of the backoff between attempts to write a record.
const INITIAL_WRITE_BACKOFF: Duration = Duration::from_millis(100);
const MAXIMUM_WRITE_BACKOFF: Duration = Duration::from_secs(2);

/// Result of reserving the key of an at-most-once request.
#[derive(Debug, PartialEq)]
pub(crate) enum BeginOutcome {
    /// The request holds the key and may run once.
    Acquired(KeyReservation),
    /// An earlier attempt of the same request holds the key; the request may only attach to its stream.
    Attach(KeyReservation),
    /// The request has completed; this is its recorded answer.
    Replay(OnceOutcome),
}

/// A request's reservation of its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KeyReservation {
    tenant: String,
    key: String,
    request_id: String,
    /// Token of the attempt that created the record; empty for an attempt that only attaches.
    writer: String,
}

/// Reserves the idempotency key of a request.
pub(crate) async fn begin(
    worker: &Rc<OnlineWorker>,
    incoming: &Incoming,
) -> Result<BeginOutcome, Failure> {
    let reservation = KeyReservation::new(worker, incoming);
    let begin = RecordBegin {
        tenant: reservation.tenant.clone(),
        idempotency_key: reservation.key.clone(),
        request_id: reservation.request_id.clone(),
        fingerprint: fingerprint(incoming),
        writer: reservation.writer.clone(),
    };
    let reserving = reserve_key(worker, begin.clone(), incoming.deadline);
    match dappleyard_clock::timeout_at(incoming.deadline, reserving).await {
        Ok(Ok(state)) if state.fresh => Ok(BeginOutcome::Acquired(reservation)),
        Ok(Ok(state)) => {
            resolve_existing(worker, incoming, reservation, state.row.unwrap_or_default())
        }
        Ok(Err(failure)) if failure.kind == ErrorKind::OutcomeUnknown => {
            release_key(worker, begin);
            Err(store_unavailable(&failure.message))
        }
        Ok(Err(failure)) => Err(failure),
        Err(_) => {
            release_key(worker, begin);
            Err(store_unavailable(
                "the record could not be written before the deadline",
            ))
        }
    }
}

fn store_unavailable(message: &str) -> Failure {
    Failure::not_run(ErrorKind::StoreUnavailable, message).retry_after(STORE_RETRY_AFTER_MS)
}

/// Determines the result for a key that another attempt holds.
fn resolve_existing(
    worker: &Rc<OnlineWorker>,
    incoming: &Incoming,
    reservation: KeyReservation,
    row: OnceRow,
) -> Result<BeginOutcome, Failure> {
    if row.fingerprint != fingerprint(incoming) {
        return Err(Failure::not_run(
            ErrorKind::KeyReused,
            "the idempotency key was used for another request",
        ));
    }
    if row.phase() == OncePhase::OnceSettled {
        let outcome = row.outcome.unwrap_or_default();
        return if outcome.kind == 0 {
            Ok(BeginOutcome::Replay(outcome))
        } else {
            Err(recorded_failure(&outcome))
        };
    }
    if row.request_id == reservation.request_id && incoming.earlier.has_stream() {
        let writer = String::new();
        return Ok(BeginOutcome::Attach(KeyReservation {
            writer,
            ..reservation
        }));
    }
    if writer_is_gone(worker, &row) {
        settle_unknown(worker, &reservation, &row);
        return Err(outcome_unknown());
    }
    let failure = Failure::maybe_ran(
        ErrorKind::InProgress,
        "a request with this idempotency key is running; ask again for its answer",
    );
    Err(failure.retry_after(IN_PROGRESS_RETRY_AFTER_MS))
}

/// Settles a record whose node is gone as unknown. The key cannot be used again.
fn settle_unknown(worker: &Rc<OnlineWorker>, reservation: &KeyReservation, row: &OnceRow) {
    tracing::info!(
        key = reservation.key,
        writer = row.writer,
        "settling a record as unknown: the node that ran the request is gone"
    );
    let lost = KeyReservation {
        request_id: row.request_id.clone(),
        writer: row.writer.clone(),
        ..reservation.clone()
    };
    lost.settle(worker, dappleyard_decide::once::unknown_outcome());
}

/// Whether the node that created a record is dead, has left or has restarted. An invalid token counts
/// as gone. So does an unknown node, unless the record is recent: membership may not have announced a
/// newly started node yet.
fn writer_is_gone(worker: &OnlineWorker, row: &OnceRow) -> bool {
    let mut parts = row.writer.split('|');
    let (Some(node), Some(Ok(incarnation))) = (parts.next(), parts.next().map(str::parse::<u64>))
    else {
        return true;
    };
    let tables = &worker.tables;
    if node == tables.identity.node.as_str() {
        return incarnation != tables.identity.incarnation;
    }
    let age_ms = tables.clock.unix_ms().saturating_sub(row.created_unix_ms);
    if tables.members.get(&NodeId::from(node)).is_none() && age_ms < UNKNOWN_WRITER_GRACE_MS {
        return false;
    }
    tables.members.is_gone(node, incarnation)
}

impl KeyReservation {
    fn new(worker: &OnlineWorker, incoming: &Incoming) -> KeyReservation {
        let identity = &worker.tables.identity;
        let unique = uuid::Uuid::new_v4().simple();
        KeyReservation {
            tenant: incoming.request.tenant.clone(),
            key: incoming.request.idempotency_key.clone(),
            request_id: incoming.request.request_id.clone(),
            writer: format!("{}|{}|{unique}", identity.node, identity.incarnation),
        }
    }

    fn settlement(&self, outcome: OnceOutcome) -> RecordSettle {
        RecordSettle {
            tenant: self.tenant.clone(),
            idempotency_key: self.key.clone(),
            request_id: self.request_id.clone(),
            outcome: Some(outcome),
            writer: self.writer.clone(),
        }
    }

    /// Records the outcome in a task that retries until the store has accepted it. A graceful shutdown
    /// waits for the task.
    pub fn settle(&self, worker: &Rc<OnlineWorker>, outcome: OnceOutcome) {
        let (worker, settlement) = (worker.clone(), self.settlement(outcome));
        let slot = worker.shared.count_stream();
        actix_rt::spawn(async move {
            let _slot = slot;
            retry_until_done(async || send_settlement(&worker, &settlement).await).await;
        });
    }
}

/// Releases a key whose create was not confirmed.
fn release_key(worker: &Rc<OnlineWorker>, begin: RecordBegin) {
    let worker = worker.clone();
    actix_rt::spawn(async move {
        retry_until_done(async || worker.recorder.release_key(begin.clone()).await).await;
    });
}

/// Retries a write with exponential backoff until it succeeds.
async fn retry_until_done(write: impl AsyncFn() -> Result<(), Failure>) {
    let mut backoff = INITIAL_WRITE_BACKOFF;
    while write().await.is_err() {
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAXIMUM_WRITE_BACKOFF);
    }
}

/// Reserves the key through the cell's recorder, or directly if the recorder is unreachable.
///
/// The recorder's budget equals the time that this node waits for it, so that it does not reserve the key
/// for a caller that no longer waits.
async fn reserve_key(
    worker: &Rc<OnlineWorker>,
    begin: RecordBegin,
    deadline: Instant,
) -> Result<RecordState, Failure> {
    let recorder = recorder_node(worker, &begin.tenant, &begin.idempotency_key);
    let mut unanswered = false;
    if let Some(address) = recorder {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let call_timeout = remaining.min(RECORDER_TIMEOUT);
        let mut call = new_call(call::Method::RecordBegin(begin.clone()));
        call.budget_ms = u32::try_from(call_timeout.as_millis()).unwrap_or(u32::MAX);
        let sent = worker
            .links
            .call(&address.link_address, call, call_timeout)
            .await;
        unanswered = matches!(sent, Err(CallError::NoReply { .. }));
        match sent {
            Ok(reply) => {
                if let Some(reply::Result::Record(state)) = reply.result {
                    return Ok(state);
                }
            }
            Err(CallError::Refused(refused)) => {
                let failure = Failure::from_refused(&refused);
                if matches!(
                    failure.kind,
                    ErrorKind::StoreUnavailable | ErrorKind::OutcomeUnknown
                ) {
                    return Err(failure);
                }
            }
            Err(CallError::NotSent(_) | CallError::NoReply { .. }) => {}
        }
    }
    let reserved = worker.recorder.begin(begin, deadline).await;
    reserved.map_err(|failure| Failure {
        kind: if unanswered {
            // The recorder's create may still take effect, so the key must be released.
            ErrorKind::OutcomeUnknown
        } else {
            failure.kind
        },
        ..failure
    })
}

async fn send_settlement(
    worker: &Rc<OnlineWorker>,
    settlement: &RecordSettle,
) -> Result<(), Failure> {
    let recorder = recorder_node(worker, &settlement.tenant, &settlement.idempotency_key);
    if let Some(address) = recorder {
        let call = new_call(call::Method::RecordSettle(settlement.clone()));
        let sent = worker
            .links
            .call(&address.link_address, call, RECORDER_TIMEOUT)
            .await;
        if sent.is_ok() {
            return Ok(());
        }
    }
    worker.recorder.settle(settlement.clone()).await
}

/// Node of this cell that records the key; `None` if it is this node.
fn recorder_node(worker: &OnlineWorker, tenant: &str, key: &str) -> Option<NodeAddress> {
    let hash = hash_bytes(keys::once(tenant, key).as_bytes());
    let view = worker.view();
    let preferred = view
        .owners
        .iter()
        .max_by_key(|owner| rendezvous_weight(hash, &owner.address.node))?;
    (!preferred.is_self).then(|| preferred.address.clone())
}

/// Hash of the request content, which detects reuse of a key for a different request.
fn fingerprint(incoming: &Incoming) -> u64 {
    let request = &incoming.request;
    let text = format!(
        "{}\u{0}{}\u{0}{}\u{0}{}",
        request.service, request.adapter, request.max_tokens, request.prompt
    );
    hash_bytes(text.as_bytes())
}

fn new_call(method: call::Method) -> Call {
    Call {
        budget_ms: 0,
        method: Some(method),
    }
}
