//! Refuses requests, with response, metrics and log record.

use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpResponse;
use dappleyard_model::Configuration;

use crate::admission::{Refusal, configuration_info};
use crate::attempt::Ran;
use crate::dispatch::Request;
use crate::error_kind::{ErrorKind, promises_not_run};
use crate::metrics::Metrics;
use crate::node::Node;
use crate::responses::error_response;

/// Distinguishes a missing route from a configuration that may be outdated.
pub(crate) fn without_route(node: &Node, configuration: &Configuration) -> Refusal {
    let age = node.view.configuration_age();
    let in_force = Duration::from_millis(node.settings.bounds.config_apply_ms);
    let kind = match age.is_some_and(|age| age < in_force) {
        true => ErrorKind::NoRoute,
        false => ErrorKind::ConfigurationOld,
    };
    Refusal::new(kind, configuration_info(node, configuration))
}

/// Refunds the quota charged for a request that did not run.
pub(crate) fn refund_quota(node: &Node, request: &Request) {
    if let Some(tenant) = request.caller.tenant().filter(|_| request.ran == Ran::No) {
        node.quotas.refund(&tenant.name);
    }
}

pub(crate) fn refuse(node: &Arc<Node>, id: &str, refused: &Refusal) -> HttpResponse {
    let kind = refused.kind;
    let promised = promises_not_run(kind.status());
    Metrics::count(match promised {
        true => &node.metrics.refused,
        false => &node.metrics.failed,
    });
    node.log.write("request_refused", || {
        serde_json::json!({"request": id, "kind": kind.to_string(), "status": kind.status(),
            "detail": refused.detail, "retry_after_ms": refused.retry_after_ms})
    });
    error_response(node, refused)
}
