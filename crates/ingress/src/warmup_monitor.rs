//! Queries servers of unknown warm-up state for their health and logs changes of it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_cluster::{WarmupSource, WarmupState};
use dappleyard_model::{ServerRecord, Service};
use rand::Rng;

use crate::attempt::Upstreams;
use crate::cold_limit::{ColdLimit, cold_share, server_warmup_state};
use crate::connections::HEALTH_TIMEOUT;
use crate::metrics::Metrics;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay of a check per rank among the nodes responsible for a server, and the minimum time between
/// two health checks by one node. Results reach the other nodes within half of it.
const CHECK_STEP: Duration = Duration::from_millis(400);
/// Delay after which a node that is not responsible checks a server itself, if any node has
/// received bytes from the server but no result of a check has arrived.
const FALLBACK_DELAY: Duration = Duration::from_millis(1_500);
/// Unused servers are checked only if a client request arrived within this time.
const IDLE_AFTER: Duration = Duration::from_secs(2);

/// Last observed state of a server.
struct ObservedServer {
    server_warmup_state: WarmupState,
    next_check: Option<Instant>,
    /// Time of the last poll that included the server.
    seen: Instant,
}

type ObservedServers = Rc<RefCell<HashMap<String, ObservedServer>>>;

/// Monitors the warm-up states of the servers this node uses. Returns at once if no limit for cold
/// servers is configured.
pub async fn monitor_warmup(upstreams: Upstreams) {
    let observed_servers = ObservedServers::default();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let node = upstreams.node();
        if node.settings.bounds.cold.is_none() {
            return;
        }
        let Some(configuration) = node.view.configuration() else {
            continue;
        };
        let now = Instant::now();
        let (mut cold, mut unknown) = (0, 0);
        for service in &configuration.services {
            let Some(share) = cold_share(service, node.settings.bounds.cold) else {
                continue;
            };
            let limit = ColdLimit::new(node, share);
            for server in &node.view.servers(&service.name).used {
                match observe(&upstreams, &limit, &observed_servers, service, server, now) {
                    WarmupState::Warm => {}
                    WarmupState::Cold => cold += 1,
                    WarmupState::InDoubt | WarmupState::Unknown => unknown += 1,
                }
            }
        }
        node.metrics.servers_cold.store(cold, Ordering::Relaxed);
        node.metrics
            .servers_unknown
            .store(unknown, Ordering::Relaxed);
        observed_servers
            .borrow_mut()
            .retain(|_, observed| observed.seen == now);
    }
}

fn observe(
    upstreams: &Upstreams,
    limit: &ColdLimit<'_>,
    observed_servers: &ObservedServers,
    service: &Service,
    server: &Arc<ServerRecord>,
    now: Instant,
) -> WarmupState {
    let (server_warmup_state, source) = server_warmup_state(upstreams.node(), server);
    let mut servers = observed_servers.borrow_mut();
    let observed = servers.entry(server.id.clone()).or_insert(ObservedServer {
        server_warmup_state: WarmupState::Warm,
        next_check: None,
        seen: now,
    });
    observed.seen = now;
    if std::mem::replace(&mut observed.server_warmup_state, server_warmup_state)
        != server_warmup_state
    {
        log_change(upstreams, server, server_warmup_state, source);
    }
    if matches!(server_warmup_state, WarmupState::Warm | WarmupState::Cold) {
        observed.next_check = None;
        return server_warmup_state;
    }
    let next = match (
        observed.next_check,
        check_delay(upstreams, limit, server, source),
    ) {
        (_, None) => None,
        (Some(next), Some(check_delay)) if next <= now => {
            check_health(upstreams, service, server);
            Some(now + CHECK_STEP + check_delay.mul_f64(rand::rng().random_range(0.5..1.5)))
        }
        (Some(next), Some(_)) => Some(next),
        (None, Some(check_delay)) => Some(now + check_delay),
    };
    observed.next_check = next;
    server_warmup_state
}

/// Delay before this node checks a server of unknown warm-up state; `None` if it leaves the check to
/// others.
fn check_delay(
    upstreams: &Upstreams,
    limit: &ColdLimit<'_>,
    server: &ServerRecord,
    source: WarmupSource,
) -> Option<Duration> {
    let node = upstreams.node();
    let idle = node.last_request.lock().elapsed() > IDLE_AFTER;
    if source == WarmupSource::Unused && idle {
        return None;
    }
    match limit.rank(server) {
        Some(position) => Some(CHECK_STEP * position),
        None => node.loads.is_alive(&server.id).then_some(FALLBACK_DELAY),
    }
}

fn check_health(upstreams: &Upstreams, service: &Service, server: &Arc<ServerRecord>) {
    let (upstreams, server) = (upstreams.clone(), server.clone());
    let (path, cold_start) = (
        service.health_path.clone(),
        Duration::from_millis(service.cold_start_ms),
    );
    tokio::task::spawn_local(async move {
        let node = upstreams.node();
        let sent_at = Instant::now();
        if path.is_empty() {
            // The service has no health endpoint: assume a full warm-up time.
            return node
                .loads
                .note_warmup_report(&server.id, sent_at, cold_start);
        }
        Metrics::count(&node.metrics.health_questions);
        let response = upstreams
            .request_health(&server, &path, HEALTH_TIMEOUT)
            .await;
        let (status, facts) = response.unwrap_or_default();
        let is_other_instance = facts
            .instance
            .as_ref()
            .is_some_and(|name| *name != server.instance);
        node.log.write("server_health", || {
            serde_json::json!({"server": server.id, "status": status, "cold_ms": facts.cold_left_ms,
                "not_run": facts.not_run, "other_server": is_other_instance,
                "took_ms": sent_at.elapsed().as_millis() as u64})
        });
        if status == 0 || is_other_instance {
            return;
        }
        let cold = match facts.cold_left_ms {
            Some(cold_ms) => Duration::from_millis(cold_ms),
            None if status == 200 => Duration::ZERO,
            // The server is full or unhealthy and reports no remaining warm-up time.
            None if facts.not_run => return node.loads.note_reached(&server.id),
            None => cold_start,
        };
        let cold = match cold.is_zero() {
            true => cold,
            // The report is dated at the sending of the request, but the remaining time counts from
            // the response.
            false => cold + sent_at.elapsed(),
        };
        node.loads.note_warmup_report(&server.id, sent_at, cold);
    });
}

fn log_change(
    upstreams: &Upstreams,
    server: &ServerRecord,
    server_warmup_state: WarmupState,
    source: WarmupSource,
) {
    let event = match server_warmup_state {
        WarmupState::Warm => "server_warm",
        WarmupState::Cold => "server_cold",
        WarmupState::InDoubt | WarmupState::Unknown => "server_temperature_unknown",
    };
    upstreams.node().log.write(event, || {
        serde_json::json!({"server": server.id, "zone": server.zone, "told_by": source.to_string(),
            "temperature": server_warmup_state.to_string()})
    });
}
