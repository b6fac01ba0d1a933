//! Selects the server for the next attempt of a request, and queues the request while none is
//! available.

use std::sync::Arc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_cluster::{LoadSummary, ServerSet};
use dappleyard_crashes::Permit;
use dappleyard_model::{Distance, ServerRecord, SoftwareVersion};
use dappleyard_room::Admission;

use crate::attempt::Upstreams;
use crate::capacity::{self, WaitState};
use crate::cold_limit::ColdLimit;
use crate::completion::{OutOfTime, check_time_left};
use crate::crashes::last_run_server;
use crate::dispatch::Request;
use crate::home_regions::candidate_servers;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::placement::{
    Candidate, affinity_server, choose, has_free_slot, is_healthy, limit_by_region, mean_excess,
    sample,
};
use crate::resumption::is_resumption;
use crate::urgency::{Urgency, due_age, urgency};

/// Maximum number of servers tried per request.
const MAX_SERVERS_TRIED: usize = 6;
/// Mean interval between checks for a slot; loads are exchanged as often.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The server selected for the next attempt.
pub(crate) struct Placement {
    pub(crate) server: Arc<ServerRecord>,
    /// The server caches the shared prompt parts.
    pub(crate) cached: bool,
    pub(crate) load: LoadSummary,
    /// Mean number of online requests beyond the slots, over the candidates.
    mean_excess: f64,
    /// Number of candidates.
    candidates: usize,
}

/// Why no server was selected.
pub(crate) enum Unplaced {
    /// No server is available.
    NoServer,
    /// The request would miss its target.
    Late {
        /// Suggested retry delay.
        retry_after: Duration,
    },
    /// The request cannot end in time.
    OutOfTime(OutOfTime),
}

/// Selects the server for the next attempt, waiting for a slot if necessary. A stream that has
/// already started, for which `starts` is false, does not wait.
pub(crate) async fn select_server(
    upstreams: &Upstreams,
    request: &Request,
    starts: bool,
) -> Result<Placement, Unplaced> {
    let sheds = upstreams.node().settings.load_shedding;
    let starts = starts && !(sheds && is_resumption(&request.route, &request.facts));
    if starts
        && sheds
        && let Some(found) = select_within_capacity(upstreams, request).await
    {
        return found;
    }
    select_by_urgency(upstreams, request, starts).await
}

/// Selection with load shedding: requests that would miss their target are refused. Returns `None`
/// if this node has too little information for that.
async fn select_within_capacity(
    upstreams: &Upstreams,
    request: &Request,
) -> Option<Result<Placement, Unplaced>> {
    let node = upstreams.node();
    let mut waiting = None;
    let mut wait_state = WaitState::default();
    loop {
        if let Err(out_of_time) = check_time_left(node, request) {
            return Some(Err(Unplaced::OutOfTime(out_of_time)));
        }
        let admission = capacity::decide(node, request, wait_state)?;
        let (interval, counted) = match admission {
            Admission::Refuse { retry_after } => return Some(Err(Unplaced::Late { retry_after })),
            Admission::Wait { interval, counted } => (interval, counted),
            Admission::Serve => match select_now(upstreams, request) {
                Some(placement) => {
                    log_placed(upstreams, request, &placement);
                    return Some(Ok(placement));
                }
                // No slot is missing, so it does not count as waiting for one.
                None if !is_due(request) && is_held_back(upstreams, request) => {
                    (CHECK_INTERVAL, false)
                }
                None => return Some(Err(Unplaced::NoServer)),
            },
        };
        if !wait_state.checked_before {
            Metrics::count(&node.metrics.room_waits);
        }
        wait_state = WaitState {
            checked_before: true,
            counted,
        };
        waiting = match counted {
            true => waiting.or_else(|| Some(node.loads.demand.wait(&request.service))),
            false => None,
        };
        tokio::time::sleep(interval.min(request.remaining())).await;
        if request.remaining().is_zero() {
            return Some(Err(Unplaced::NoServer));
        }
    }
}

/// Whether a request has waited as long as it may.
fn is_due(request: &Request) -> bool {
    let patience = Duration::from_millis(request.route.patience_ms);
    request.arrived.elapsed() >= due_age(patience)
}

/// Selection without load shedding: every request is served, in an order set by its age.
async fn select_by_urgency(
    upstreams: &Upstreams,
    request: &Request,
    starts: bool,
) -> Result<Placement, Unplaced> {
    let patience = Duration::from_millis(request.route.patience_ms);
    let target = request.route.first_event_target();
    loop {
        let remaining = request.remaining();
        if remaining.is_zero() {
            // Nothing will be sent, so the client may be told that the request did not run.
            return Err(Unplaced::NoServer);
        }
        check_time_left(upstreams.node(), request).map_err(Unplaced::OutOfTime)?;
        let urgency = urgency(request.arrived.elapsed(), target, patience);
        let Some(placement) = select_now(upstreams, request) else {
            if urgency == Urgency::Due || !is_held_back(upstreams, request) {
                return Err(Unplaced::NoServer);
            }
            tokio::time::sleep(CHECK_INTERVAL.min(remaining)).await;
            continue;
        };
        // An idle server is used at once.
        let idle = placement.load.online == 0;
        let overcommit = upstreams.overcommit();
        let admitted = overcommit.admits(urgency, placement.mean_excess, rand::random());
        if !starts || idle || admitted {
            log_placed(upstreams, request, &placement);
            return Ok(placement);
        }
        // Jitter, so that waiting requests do not all find the same free slot.
        let pause = CHECK_INTERVAL.mul_f64(rand::random_range(0.5..1.5));
        tokio::time::sleep(pause.min(remaining)).await;
    }
}

fn log_placed(upstreams: &Upstreams, request: &Request, placement: &Placement) {
    let (load, server) = (&placement.load, &placement.server.id);
    let distance = upstreams
        .node()
        .view
        .zone_distances()
        .distance(&placement.server.zone);
    if distance == Distance::OtherRegion {
        Metrics::count(&upstreams.node().metrics.left_region);
    }
    upstreams.node().log.write("placed", || {
        serde_json::json!({"request": request.facts.id, "route": request.route.name,
            "tenant": request.caller.tenant_name(), "server": server,
            "version": placement.server.version.as_ref().map(SoftwareVersion::as_str),
            "distance": distance.to_string(),
            "parts": request.features.part_ids(),
            "again": request.is_retry, "candidates": placement.candidates, "kept": placement.cached,
            "online": load.online, "batch": load.batch,
            "unread_tokens": load.unread_tokens, "suspect": load.suspect,
            "pace_percent": load.slowdown.percent(),
            "age_ms": request.arrived.elapsed().as_millis() as u64,
            "remaining_ms": request.remaining().as_millis() as u64})
    });
}

/// Selects a server from the current loads, without waiting.
fn select_now(upstreams: &Upstreams, request: &Request) -> Option<Placement> {
    let node = upstreams.node();
    if request.tried.len() >= MAX_SERVERS_TRIED {
        return None;
    }
    let servers = node.view.servers(&request.service);
    let affinity_server = affinity_server_of(request, &servers);
    let candidate = |server: &Arc<ServerRecord>| Candidate {
        server: server.clone(),
        load: node.loads.summary(&server.id),
    };
    let open = open_servers(node, request, &servers);
    if node.crashes.permit(&request.features) == Permit::LastRun {
        return select_for_last_run(node, request, &open);
    }
    let zone_distances = node.view.zone_distances();
    let affinity_id = affinity_server.map(|affinity_server| affinity_server.id.as_str());
    let sample_candidates = |servers: &[&Arc<ServerRecord>]| -> Vec<Candidate> {
        let sampled = sample(servers, zone_distances, affinity_id, &mut rand::rng());
        limit_by_region(sampled.into_iter().map(candidate).collect(), zone_distances)
    };
    let large = node.peers.is_large();
    let mut candidates = match large {
        true => sample_candidates(&open),
        false => Vec::new(),
    };
    let free_near =
        |entry: &Candidate| zone_distances.is_near(&entry.server.zone) && has_free_slot(entry);
    if large && zone_distances.has_regions() && !candidates.iter().any(free_near) {
        // No sampled server of this region has a free slot: checks the whole region before the
        // request leaves it.
        let free = open.iter().copied();
        let free: Vec<_> = free
            .filter(|server| free_near(&candidate(server)))
            .collect();
        if !free.is_empty() {
            candidates = sample_candidates(&free);
        }
    }
    let healthy = |chosen: &&Candidate| is_healthy(chosen);
    if choose(&candidates, zone_distances, affinity_id)
        .filter(healthy)
        .is_none()
    {
        candidates = limit_by_region(open.into_iter().map(candidate).collect(), zone_distances);
    }
    let chosen = choose(&candidates, zone_distances, affinity_id)?;
    Some(Placement {
        server: chosen.server.clone(),
        cached: affinity_id == Some(chosen.server.id.as_str()),
        load: chosen.load,
        mean_excess: mean_excess(&candidates),
        candidates: candidates.len(),
    })
}

/// Selects a server that may take a request over from a silent one: a healthy one, with a free slot unless the request
/// may queue there.
pub(crate) fn select_successor(
    upstreams: &Upstreams,
    request: &Request,
    may_queue: bool,
) -> Option<Placement> {
    let node = upstreams.node();
    if request.tried.len() >= MAX_SERVERS_TRIED {
        return None;
    }
    let servers = node.view.servers(&request.service);
    let affinity_server = affinity_server_of(request, &servers);
    let affinity_id = affinity_server.map(|server| server.id.as_str());
    let zone_distances = node.view.zone_distances();
    let open = open_servers(node, request, &servers);
    // A request that stays asks again soon, so a sample is enough.
    let open = match node.peers.is_large() {
        true => sample(&open, zone_distances, affinity_id, &mut rand::rng()),
        false => open,
    };
    let candidates = open.into_iter().map(|server| Candidate {
        server: server.clone(),
        load: node.loads.summary(&server.id),
    });
    let is_free = |entry: &Candidate| is_healthy(entry) && (may_queue || has_free_slot(entry));
    let candidates = limit_by_region(candidates.filter(is_free).collect(), zone_distances);
    let chosen = choose(&candidates, zone_distances, affinity_id)?;
    let placement = Placement {
        server: chosen.server.clone(),
        cached: affinity_id == Some(chosen.server.id.as_str()),
        load: chosen.load,
        mean_excess: mean_excess(&candidates),
        candidates: candidates.len(),
    };
    log_placed(upstreams, request, &placement);
    Some(placement)
}

/// The server that caches the shared parts of a request's prompt.
fn affinity_server_of<'a>(
    request: &Request,
    servers: &'a ServerSet,
) -> Option<&'a Arc<ServerRecord>> {
    let shared = request.shape.shared?;
    affinity_server(&servers.affinity_servers, shared)
}

/// Servers that a request may be sent to next.
fn open_servers<'a>(
    node: &Node,
    request: &Request,
    servers: &'a ServerSet,
) -> Vec<&'a Arc<ServerRecord>> {
    let limit = ColdLimit::of(node, &request.service);
    let extra = affinity_server_of(request, servers).filter(|_| servers.is_large());
    let may_take = |server: &&Arc<ServerRecord>| {
        request.accepts(server, &node.settings.places)
            && limit.as_ref().is_none_or(|limit| limit.allows(server))
    };
    let origin = request.origin.as_ref();
    let candidate_servers = candidate_servers(servers, &request.homes, origin, node).chain(extra);
    let open: Vec<&Arc<ServerRecord>> = candidate_servers.filter(may_take).collect();
    match request.origin {
        Some(_) => open,
        None => settled_servers(servers, recorded_servers(servers, request, open)),
    }
}

/// The servers at which a stream that may be resumed can begin, since the store has recorded their versions.
fn recorded_servers<'a>(
    servers: &ServerSet,
    request: &Request,
    mut open: Vec<&'a Arc<ServerRecord>>,
) -> Vec<&'a Arc<ServerRecord>> {
    if request.route.resumable {
        open.retain(|server| servers.is_recorded(server));
    }
    open
}

/// The servers at which streams may begin, or all if there is none.
fn settled_servers<'a>(
    servers: &ServerSet,
    open: Vec<&'a Arc<ServerRecord>>,
) -> Vec<&'a Arc<ServerRecord>> {
    if servers.settling.is_empty() {
        return open;
    }
    let now = Instant::now();
    let settled = open.iter().copied();
    let settled: Vec<_> = settled
        .filter(|server| servers.is_settled(server, now))
        .collect();
    match settled.is_empty() {
        true => open,
        false => settled,
    }
}

/// Selects a server for the last run of a request that may crash it: a healthy one with a free
/// slot, else a healthy one, else any.
fn select_for_last_run(
    node: &Node,
    request: &Request,
    open: &[&Arc<ServerRecord>],
) -> Option<Placement> {
    let candidates = open.iter().map(|server| Candidate {
        server: (*server).clone(),
        load: node.loads.summary(&server.id),
    });
    let candidates: Vec<Candidate> = candidates.collect();
    let choices: [fn(&Candidate) -> bool; 3] = [
        |entry| is_healthy(entry) && has_free_slot(entry),
        is_healthy,
        |_| true,
    ];
    let chosen = choices.into_iter().find_map(|is_open| {
        let open = candidates.iter().filter(|candidate| is_open(candidate));
        let open = open.map(|candidate| candidate.server.clone()).collect();
        last_run_server(node, &request.features, open)
    })?;
    Some(Placement {
        load: node.loads.summary(&chosen.id),
        server: chosen,
        cached: false,
        mean_excess: mean_excess(&candidates),
        candidates: candidates.len(),
    })
}

/// Whether some server would be eligible if it were not for the rate limit of cold servers or the record of its version.
fn is_held_back(upstreams: &Upstreams, request: &Request) -> bool {
    let node = upstreams.node();
    let limit = ColdLimit::of(node, &request.service);
    let servers = node.view.servers(&request.service);
    let may_try_more = request.tried.len() < MAX_SERVERS_TRIED;
    let places = &node.settings.places;
    let origin = request.origin.as_ref();
    let mut open = candidate_servers(&servers, &request.homes, origin, node)
        .filter(|server| request.accepts(server, places));
    let is_cold_limited =
        |server: &ServerRecord| limit.as_ref().is_some_and(|limit| !limit.allows(server));
    let awaits_record = |server: &ServerRecord| {
        origin.is_none() && request.route.resumable && !servers.is_recorded(server)
    };
    may_try_more && open.any(|server| is_cold_limited(server) || awaits_record(server))
}
