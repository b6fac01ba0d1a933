//! Admission control at the ingress stage: checks deadline, service limits, tenant limits and expected
//! wait.

use std::rc::Rc;

use dappleyard_decide::admission::{self, Infeasible, NodeLimits};
use dappleyard_wire::{ErrorKind, Failure};

use crate::receive::Incoming;
use crate::shared::TenantSlot;
use crate::worker::OnlineWorker;

/// Retry delay suggested when no server offers the service, milliseconds.
const NO_SERVER_RETRY_AFTER_MS: u32 = 1_000;

/// Admits or refuses a request. A resumed request is not checked against the expected wait again, and a
/// repeated attempt does not count against the tenant's request rate; both reserve concurrent tokens.
pub(crate) fn admit(
    worker: &Rc<OnlineWorker>,
    incoming: &Incoming,
) -> Result<Option<TenantSlot>, Failure> {
    check_deadline(incoming)?;
    check_service(worker, incoming)?;
    let slot = acquire_tenant_slot(worker, incoming)?;
    if incoming.pieces.is_empty() && !incoming.earlier.has_stream() {
        check_feasible(worker, incoming)?;
    }
    Ok(slot)
}

fn check_deadline(incoming: &Incoming) -> Result<(), Failure> {
    if incoming.remaining_ms() > 0 {
        return Ok(());
    }
    Err(Failure::not_run(
        ErrorKind::DeadlineExceeded,
        "the deadline had passed when the request came",
    ))
}

fn check_service(worker: &OnlineWorker, incoming: &Incoming) -> Result<(), Failure> {
    let request = &incoming.request;
    let configuration = worker.tables.configuration.current();
    let Some(row) = configuration.services.get(&request.service) else {
        return check_unconfigured(worker, &request.service);
    };
    check_size("prompt", request.prompt_tokens, row.max_prompt_tokens)?;
    check_size("output", request.max_tokens, row.max_output_tokens)?;
    let adapter = &request.adapter;
    if !adapter.is_empty() && !row.adapters.contains(adapter) {
        return Err(Failure::not_run(
            ErrorKind::UnknownModel,
            format!("service {} has no adapter {adapter}", request.service),
        ));
    }
    Ok(())
}

/// A service without a configuration row exists if servers are assigned to it.
fn check_unconfigured(worker: &OnlineWorker, service: &str) -> Result<(), Failure> {
    let has_owner = worker.view().shortest_wait_ms(service).is_some();
    let is_assigned = || {
        worker.tables.directory.read(|servers| {
            servers
                .values()
                .any(|entry| entry.service.as_str() == service)
        })
    };
    if has_owner || is_assigned() {
        return Ok(());
    }
    Err(Failure::not_run(
        ErrorKind::UnknownModel,
        format!("there is no service {service}"),
    ))
}

fn check_size(what: &str, tokens: u32, maximum: u32) -> Result<(), Failure> {
    if maximum == 0 || tokens <= maximum {
        return Ok(());
    }
    Err(Failure::not_run(
        ErrorKind::TooLarge,
        format!("the {what} of {tokens} tokens is longer than the service's {maximum}"),
    ))
}

fn acquire_tenant_slot(
    worker: &Rc<OnlineWorker>,
    incoming: &Incoming,
) -> Result<Option<TenantSlot>, Failure> {
    let configuration = worker.tables.configuration.current();
    let Some(row) = configuration.tenants.get(&incoming.request.tenant) else {
        return Ok(None);
    };
    let nodes = worker.view().region_nodes;
    let mut limits: NodeLimits = admission::node_share(
        row.requests_per_s,
        row.requests_burst,
        row.concurrent_tokens,
        nodes,
    );
    if incoming.attempt > 1 {
        limits.requests_per_s = None;
    }
    let tokens = u64::from(incoming.tokens());
    let now = worker.tables.clock.now();
    let tenant = &incoming.request.tenant;
    worker
        .shared
        .acquire_tenant_slot(tenant, limits, tokens, now)
        .map(Some)
}

fn check_feasible(worker: &OnlineWorker, incoming: &Incoming) -> Result<(), Failure> {
    let service = &incoming.request.service;
    let Some(wait_ms) = worker.view().shortest_wait_ms(service) else {
        let failure = Failure::not_run(
            ErrorKind::NoServer,
            format!("no server carries service {service} at present"),
        );
        return Err(failure.retry_after(NO_SERVER_RETRY_AFTER_MS));
    };
    check_wait(worker, incoming, wait_ms)
}

/// Refuses a request whose expected wait exceeds its deadline or the queue limit.
pub(crate) fn check_wait(
    worker: &OnlineWorker,
    incoming: &Incoming,
    wait_ms: u32,
) -> Result<(), Failure> {
    let maximum = u32::try_from(worker.settings.maximum_queue_ms).unwrap_or(u32::MAX);
    admission::feasible(wait_ms, incoming.remaining_ms(), maximum).map_err(|(why, retry_after)| {
        let message = match why {
            Infeasible::Queue => {
                format!("the queue is {wait_ms} ms long; {maximum} are allowed")
            }
            Infeasible::Deadline => {
                format!("the wait of {wait_ms} ms reaches the deadline")
            }
        };
        Failure::not_run(ErrorKind::Overloaded, message).retry_after(retry_after)
    })
}
