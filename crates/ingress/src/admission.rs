//! Identifies the tenant of a request and checks its quota.

use std::time::Duration;

use dappleyard_crashes::RefusedFeature;
use dappleyard_model::{Configuration, RequestMetadata, Route, RouteKind};
use dappleyard_tenants::{Caller, KeyRefusal};

use crate::capacity::{CapacityForecast, MIN_RETRY_DELAY};
use crate::completion::OutOfTime;
use crate::crashes::refusal_detail;
use crate::dispatch::Request;
use crate::error_kind::ErrorKind;
use crate::node::Node;

/// Random extension of the retry delay, as a fraction, so that clients refused together do not
/// return together.
const RETRY_JITTER: f64 = 0.5;

/// Why a request is refused.
#[derive(Debug)]
pub(crate) struct Refusal {
    pub(crate) kind: ErrorKind,
    pub(crate) detail: String,
    /// Retry delay, more specific than the default of the kind.
    pub(crate) retry_after_ms: Option<u64>,
}

impl Refusal {
    pub(crate) fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after_ms: kind.retry_after_ms(),
        }
    }

    /// Refusal because servers crashed while they ran such requests. The caller may come back when the next one runs, if it
    /// has not run itself.
    pub(crate) fn of_crashes(kind: ErrorKind, refused: &RefusedFeature) -> Self {
        let retry_after_ms = match kind {
            ErrorKind::PromptPartRefused => Some(refused.retry_after.as_millis() as u64),
            _ => kind.retry_after_ms(),
        };
        Self {
            retry_after_ms,
            ..Self::new(kind, refusal_detail(refused))
        }
    }

    /// Refusal of a request that would miss its target.
    pub(crate) fn no_room(retry_after: Duration) -> Self {
        Self {
            retry_after_ms: Some(retry_after.as_millis() as u64),
            ..Self::new(ErrorKind::NoRoomInTime, "no slot in time")
        }
    }

    /// Refusal of a request that cannot end before its deadline or the end of the process.
    pub(crate) fn out_of_time(request: &Request, out_of_time: &OutOfTime) -> Self {
        let (left, age) = (request.remaining(), request.arrived.elapsed());
        let detail = format!("{} ms left after {} ms", left.as_millis(), age.as_millis());
        let refusal = Self::new(out_of_time.kind(), detail);
        match out_of_time {
            OutOfTime::Stopping => refusal,
            OutOfTime::DeadlineTooNear { retry_after } => Self {
                retry_after_ms: retry_after.map(|after| after.as_millis() as u64),
                ..refusal
            },
        }
    }
}

/// Identifies the sender of a request for a route.
pub(crate) fn caller_of_route(
    node: &Node,
    configuration: &Configuration,
    route: &Route,
    facts: &RequestMetadata,
) -> Result<Caller, Refusal> {
    caller(node, configuration, route.public, facts)
}

/// Identifies the sender of a job call. These calls name no route; if the host has a public batch
/// route, no key is needed, and the job determines the owner.
pub(crate) fn caller_of_jobs(
    node: &Node,
    configuration: &Configuration,
    host: &str,
    facts: &RequestMetadata,
) -> Result<Caller, Refusal> {
    let public = configuration
        .routes_of(host)
        .any(|route| route.kind == RouteKind::Batch && route.public);
    caller(node, configuration, public, facts)
}

fn caller(
    node: &Node,
    configuration: &Configuration,
    public: bool,
    facts: &RequestMetadata,
) -> Result<Caller, Refusal> {
    let identified = node.identify(configuration, public, facts.key.as_ref());
    identified.map_err(|refusal| {
        let kind = match refusal {
            KeyRefusal::Unknown => ErrorKind::UnknownKey,
            KeyRefusal::Unverifiable => ErrorKind::KeyInDoubt,
        };
        Refusal::new(
            kind,
            format!("{refusal}; {}", configuration_info(node, configuration)),
        )
    })
}

/// Version and age of the configuration behind a decision.
pub(crate) fn configuration_info(node: &Node, configuration: &Configuration) -> String {
    let version = configuration.version;
    match node.view.configuration_age() {
        Some(age) => format!("configuration {version}, {} ms old", age.as_millis()),
        None => format!("configuration {version}, of unknown age"),
    }
}

/// Charges an online request to its tenant's quota.
pub(crate) fn charge_quota(
    node: &Node,
    configuration: &Configuration,
    caller: &Caller,
    facts: &RequestMetadata,
) -> Result<(), Refusal> {
    let Some(tenant) = caller.tenant() else {
        return Ok(());
    };
    node.quotas.apply_configuration(configuration);
    node.quotas.take(&tenant.name).map_err(|shortage| {
        let level = node.quotas.level(&tenant.name).unwrap_or_default();
        let detail = format!("tenant {}: {level:.2} requests of credit", tenant.name);
        if shortage.alone {
            // Another node may be able to decide.
            return Refusal::new(ErrorKind::QuotaInDoubt, detail);
        }
        let wait = match tenant.limit.filter(|_| node.settings.load_shedding) {
            Some(limit) => {
                let forecast = CapacityForecast {
                    earliest: shortage.until_credit,
                    per_s: limit.per_s,
                    nodes: node.peers.count(),
                };
                node.capacities
                    .tenant_retry_delay(&tenant.name, forecast, facts)
            }
            None => {
                let spread = 1.0 + RETRY_JITTER * rand::random::<f64>();
                shortage.until_credit.mul_f64(spread)
            }
        };
        Refusal {
            kind: ErrorKind::OverQuota,
            detail,
            retry_after_ms: Some(wait.max(MIN_RETRY_DELAY).as_millis() as u64),
        }
    })
}
