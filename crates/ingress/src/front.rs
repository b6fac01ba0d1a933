//! HTTP handlers for online requests, jobs, the directory, readiness, peers and metrics.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_web::http::header::CONTENT_TYPE;
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use dappleyard_budget::MemoryShort;
use dappleyard_model::{Endpoint, HomeRegions, RequestMetadata, Route, RouteKind};
use futures::future::LocalBoxFuture;
use http::HeaderMap;

use crate::admission::{Refusal, caller_of_jobs, caller_of_route, charge_quota};
use crate::attempt::{Ran, Upstreams};
use crate::capacity::detect_retry;
use crate::completion::log_late_request;
use crate::crashes::{operator_call, request_features};
use crate::deadline::Deadline;
use crate::dispatch::{Dispatched, Request, Started, dispatch, is_event_route};
use crate::error_kind::ErrorKind;
use crate::evacuated_zones::{orders_text, zone_metrics};
use crate::job_calls::{JobCalls, JobReply};
use crate::late_requests::{note_late_request, refuse_late_request};
use crate::metrics::{Metrics, tenant_metrics};
use crate::node::{DisconnectLogger, InFlightGuard, Node};
use crate::placement::PromptShape;
use crate::refusals::{refund_quota, refuse, without_route};
use crate::relay;
use crate::request_body::{PEER_LIMITS, asks_for_websocket, body_limits, read_declared_body};
use crate::responses::{
    copy_headers, ending_connection, error_response, header_map, start_response,
};
use crate::resumption::{find_origin, is_resumption};
use crate::shares::{acquire_share, share_metrics};
use dappleyard_callers::connection_of;
use dappleyard_clock::Instant;

/// Copies of the body of a submission that exist at a time.
const SUBMISSION_COPIES: usize = 3;
/// A larger job does not fit into one transaction of the store, and is refused before it is copied.
const MAX_SUBMISSION_BYTES: usize = 1_000_000;
/// Time limit of a request without a deadline.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(60);
/// Handles a call of another node; request and response are in the peer protocol.
pub type PeerHandler = Rc<dyn Fn(Bytes) -> LocalBoxFuture<'static, Bytes>>;

pub struct HandlerData {
    upstreams: Upstreams,
    jobs: Rc<dyn JobCalls>,
    peers: PeerHandler,
}

/// Shared state of the handlers of one worker thread.
pub fn front_app_data(
    upstreams: Upstreams,
    jobs: Rc<dyn JobCalls>,
    peers: PeerHandler,
) -> web::Data<HandlerData> {
    web::Data::new(HandlerData {
        upstreams,
        jobs,
        peers,
    })
}

/// Registers the handlers.
pub fn configure(config: &mut web::ServiceConfig) {
    config.default_service(web::to(handle));
}

async fn handle(
    request: HttpRequest,
    payload: web::Payload,
    data: web::Data<HandlerData>,
) -> HttpResponse {
    let node = data.upstreams.node().clone();
    let listen = &node.settings.listen;
    let port = connection_of(&request).map_or(listen.front.port(), |it| it.local.port());
    let endpoint = node
        .dialect
        .endpoint(request.method(), request.path(), request.query_string());
    if port == listen.ready.port() && port != listen.front.port() {
        return match endpoint {
            Endpoint::Ready => ready(&node),
            _ => not_found(&node, "only readiness is told here"),
        };
    }
    if port == listen.directory.port() && port != listen.front.port() {
        return match endpoint {
            Endpoint::Resolve => resolve(&node, request.query_string()),
            _ => not_found(&node, "only the directory is here"),
        };
    }
    if port == node.settings.peer_port {
        return peer_call(&request, payload, &data).await;
    }
    if listen.metrics.is_some_and(|metrics| metrics.port() == port) {
        let asked = operator_call(&node, request.method(), request.path());
        return match request.path() {
            "/metrics" => metrics(&node),
            _ => asked.unwrap_or_else(|| not_found(&node, "only metrics and crashes are here")),
        };
    }
    let in_flight = InFlightGuard::begin(&node);
    if node.is_leaving() {
        note_late_request(&node, &request);
    }
    if asks_for_websocket(&request) {
        let id = node.dialect.request_metadata(&header_map(&request)).id;
        let refused = Refusal::new(ErrorKind::UpgradeUnsupported, "WebSocket");
        return refuse(&node, &id, &refused);
    }
    if node.connections.is_closed() {
        return refuse_late_request(&node, &request, payload).await;
    }
    match endpoint {
        Endpoint::JobResults { .. } | Endpoint::JobItem { .. } | Endpoint::JobEnd { .. } => {
            job_call(&node, &data, &request, endpoint).await
        }
        _ => routed_request(request, payload, &data, in_flight).await,
    }
}

fn not_found(node: &Node, detail: &str) -> HttpResponse {
    error_response(node, &Refusal::new(ErrorKind::NoRoute, detail))
}

/// Handles a call about an accepted job.
async fn job_call(
    node: &Arc<Node>,
    data: &HandlerData,
    request: &HttpRequest,
    endpoint: Endpoint,
) -> HttpResponse {
    let headers = header_map(request);
    let facts = node.dialect.request_metadata(&headers);
    let Some(configuration) = node.view.configuration() else {
        let refused = Refusal::new(ErrorKind::NotReady, "no configuration yet");
        return refuse(node, &facts.id, &refused);
    };
    let caller = match caller_of_jobs(node, &configuration, host_of(&headers), &facts) {
        Ok(caller) => caller,
        Err(refused) => return refuse(node, &facts.id, &refused),
    };
    let jobs = &data.jobs;
    let unread = ErrorKind::StoreUnavailable;
    let reply = match endpoint {
        Endpoint::JobResults { job, from } => {
            let reply = jobs.results(&caller, &job, from, facts.wait_ms);
            reply_in_time(node, unread, reply).await
        }
        Endpoint::JobItem { job, item } => {
            reply_in_time(node, unread, jobs.item(&caller, &job, &item)).await
        }
        Endpoint::JobEnd { job } => {
            let ending = jobs.end(&caller, &job);
            reply_in_time(node, ErrorKind::StoreInDoubt, ending).await
        }
        Endpoint::Ready | Endpoint::Resolve | Endpoint::Routed => {
            return not_found(node, "no call about a job");
        }
    };
    job_response(node, reply)
}

/// Waits for the reply to a call about a job, until the process has to end: then the call is refused with `late`.
async fn reply_in_time(
    node: &Node,
    late: ErrorKind,
    reply: impl Future<Output = JobReply>,
) -> JobReply {
    let deadline = Deadline::new(
        Instant::now() + DEFAULT_TIME_LIMIT,
        node.process_end.clone(),
    );
    let reply = deadline.wait(reply).await;
    reply.unwrap_or_else(|| JobReply::Refused(late, "no reply in time".to_owned()))
}

async fn peer_call(
    request: &HttpRequest,
    payload: web::Payload,
    data: &HandlerData,
) -> HttpResponse {
    match read_declared_body(request, payload, PEER_LIMITS).await {
        Ok(call) => HttpResponse::Ok().body((data.peers)(call).await),
        Err(kind) => {
            let refused = Refusal::new(kind, "body of a node's call");
            ending_connection(error_response(data.upstreams.node(), &refused))
        }
    }
}

fn ready(node: &Node) -> HttpResponse {
    match node.is_ready() {
        true => HttpResponse::Ok().finish(),
        false => HttpResponse::ServiceUnavailable().finish(),
    }
}

fn metrics(node: &Node) -> HttpResponse {
    HttpResponse::Ok()
        .insert_header((CONTENT_TYPE, "text/plain; version=0.0.4"))
        .body(
            node.metrics_text()
                + &tenant_metrics(&node.quotas)
                + &share_metrics(node)
                + &zone_metrics(node),
        )
}

fn resolve(node: &Node, query: &str) -> HttpResponse {
    let zone = node.dialect.resolve_zone(query);
    let host = node.dialect.resolve_host(query);
    match node.resolve(host.as_deref(), zone.as_deref()) {
        Some(response) => start_response(node, 200)
            .insert_header((CONTENT_TYPE, "application/json"))
            .body(response),
        None => {
            let refused = Refusal::new(ErrorKind::NotReady, "no node is known to be ready");
            error_response(node, &refused)
        }
    }
}

fn host_of(headers: &HeaderMap) -> &str {
    headers
        .get(http::header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default()
}

async fn routed_request(
    http: HttpRequest,
    payload: web::Payload,
    data: &HandlerData,
    mut in_flight: InFlightGuard,
) -> HttpResponse {
    let arrived = Instant::now();
    let node = data.upstreams.node().clone();
    Metrics::count(&node.metrics.requests);
    let headers = header_map(&http);
    let facts = node.dialect.request_metadata(&headers);
    // Reads the body before choosing the route, so that a refusal does not interrupt the client
    // while it sends.
    let body_time = facts
        .deadline_ms
        .map_or(DEFAULT_TIME_LIMIT, Duration::from_millis);
    let body_deadline = Deadline::new(arrived + body_time, node.process_end.clone());
    let reading = read_declared_body(&http, payload, body_limits(&node));
    let body = body_deadline.wait(reading).await;
    let body = match body.unwrap_or(Err(ErrorKind::BodyTimeout)) {
        Ok(body) => body,
        Err(kind) => {
            let refused = Refusal::new(kind, "body");
            return ending_connection(refuse(&node, &facts.id, &refused));
        }
    };
    let Some(configuration) = node.view.configuration() else {
        let refused = Refusal::new(ErrorKind::NotReady, "no configuration yet");
        return refuse(&node, &facts.id, &refused);
    };
    let Some(route) = configuration.route(host_of(&headers), http.path()).cloned() else {
        let refused = without_route(&node, &configuration);
        return refuse(&node, &facts.id, &refused);
    };
    let caller = match caller_of_route(&node, &configuration, &route, &facts) {
        Ok(caller) => caller,
        Err(refused) => return refuse(&node, &facts.id, &refused),
    };
    if facts.id.is_empty() {
        let refused = Refusal::new(ErrorKind::NoRequestId, "no identifier");
        return refuse(&node, &facts.id, &refused);
    }
    if route.kind == RouteKind::Batch {
        if let Err(kind) = charge_submission(&http, body.len()) {
            let refused = Refusal::new(kind, "copies of a submission");
            return refuse(&node, &facts.id, &refused);
        }
        let submitting = data.jobs.submit(&caller, &route, &facts, body);
        let reply = reply_in_time(&node, ErrorKind::StoreInDoubt, submitting).await;
        return job_response(&node, reply);
    }
    let origin = match is_resumption(&route, &facts) {
        true => match find_origin(&node, &caller, &route, &facts).await {
            Ok(origin) => Some(origin),
            Err(refused) => return refuse(&node, &facts.id, &refused),
        },
        false => None,
    };
    let service = origin.as_ref().map(|origin| origin.service.as_str());
    let service = service.or_else(|| route.pick_service(rand::random()));
    let Some(service) = service.map(str::to_owned) else {
        let refused = Refusal::new(ErrorKind::NoServer, "the route has no service");
        return refuse(&node, &facts.id, &refused);
    };
    let time_limit = time_limit(&route, &facts);
    node.capacities.adopt(&configuration);
    let is_retry = detect_retry(&node, &route, &facts);
    if let Err(refused) = charge_quota(&node, &configuration, &caller, &facts) {
        return refuse(&node, &facts.id, &refused);
    }
    match acquire_share(&node, &configuration, &caller, &route, &service, &facts) {
        Ok(share_guard) => in_flight.count(share_guard),
        Err(refused) => return refuse(&node, &facts.id, &refused),
    }
    let target = http
        .uri()
        .path_and_query()
        .map_or_else(|| http.path().to_owned(), ToString::to_string);
    let homes = HomeRegions::of(&route, caller.tenant().map(AsRef::as_ref));
    let host = host_of(&headers);
    let fingerprint = Request::fingerprint_of(&caller, http.method(), host, &target, &body);
    let request = Request {
        features: request_features(fingerprint, &facts.parts),
        method: http.method().clone(),
        target,
        headers,
        body,
        shape: PromptShape::new(&facts.parts, facts.tokens_in),
        facts,
        caller,
        route,
        homes,
        service,
        origin,
        arrived,
        deadline: Deadline::new(arrived + time_limit, node.process_end.clone()),
        is_retry,
        ran: Ran::No,
        runs: 0,
        tried: Default::default(),
    };
    log_late_request(&node, &request);
    serve(data.upstreams.clone(), request, in_flight).await
}

/// Charges a submission for its copies: the parsed and the encoded items, and the call to the store.
fn charge_submission(http: &HttpRequest, body_bytes: usize) -> Result<(), ErrorKind> {
    let copied_bytes = SUBMISSION_COPIES * body_bytes.min(MAX_SUBMISSION_BYTES);
    let charged = connection_of(http).map_or(Ok(()), |it| it.account().charge(copied_bytes));
    charged.map_err(|MemoryShort| ErrorKind::MemoryShort)
}

/// Time that a request has from its arrival.
fn time_limit(route: &Route, facts: &RequestMetadata) -> Duration {
    let of_route = Some(route.timeout_ms).filter(|ms| *ms > 0);
    let limits = [facts.deadline_ms, of_route].into_iter().flatten();
    limits
        .min()
        .map_or(DEFAULT_TIME_LIMIT, Duration::from_millis)
}

async fn serve(
    upstreams: Upstreams,
    mut request: Request,
    in_flight: InFlightGuard,
) -> HttpResponse {
    let node = upstreams.node().clone();
    let disconnect_logger = DisconnectLogger::begin(&node, &request.facts.id);
    let dispatched = dispatch(&upstreams, &mut request, None).await;
    match dispatched {
        Dispatched::Started(started) => {
            stream(upstreams, request, *started, in_flight, disconnect_logger)
        }
        Dispatched::Failed(failed) => {
            disconnect_logger.end();
            Metrics::count(&node.metrics.failed);
            let mut response = start_response(&node, failed.status);
            copy_headers(&mut response, &failed.headers);
            response.body(failed.body)
        }
        Dispatched::Late(retry_after) => {
            disconnect_logger.end();
            refund_quota(&node, &request);
            refuse(&node, &request.facts.id, &Refusal::no_room(retry_after))
        }
        Dispatched::OutOfTime(out_of_time) => {
            disconnect_logger.end();
            refund_quota(&node, &request);
            let refused = Refusal::out_of_time(&request, &out_of_time);
            refuse(&node, &request.facts.id, &refused)
        }
        Dispatched::Refused(kind, refused) => {
            disconnect_logger.end();
            refund_quota(&node, &request);
            Metrics::count(&node.metrics.servers_ended_refused);
            refuse(
                &node,
                &request.facts.id,
                &Refusal::of_crashes(kind, &refused),
            )
        }
        Dispatched::Held => {
            disconnect_logger.end();
            refund_quota(&node, &request);
            let refused = Refusal::new(request.held_kind(), "other runs may crash servers");
            refuse(&node, &request.facts.id, &refused)
        }
        Dispatched::GaveUp(kind) => {
            disconnect_logger.end();
            refund_quota(&node, &request);
            let none = kind == ErrorKind::NoServer;
            let out_of_homes = none && request.homes.is_restricted() && request.tried.is_empty();
            let detail = || format!("{} servers asked", request.tried.len());
            let refused = match none && node.view.is_evacuated(&request.service) {
                // All servers that are not draining are in evacuated zones.
                true => Refusal::new(ErrorKind::ZonesEvacuated, orders_text(&node)),
                false if out_of_homes => Refusal::new(ErrorKind::HomesCannotServe, detail()),
                false => Refusal::new(kind, detail()),
            };
            refuse(&node, &request.facts.id, &refused)
        }
    }
}

fn stream(
    upstreams: Upstreams,
    request: Request,
    started: Started,
    mut in_flight: InFlightGuard,
    disconnect_logger: DisconnectLogger,
) -> HttpResponse {
    let node = upstreams.node().clone();
    in_flight.response_started();
    let mut response = start_response(&node, started.exchange.head.status);
    copy_headers(&mut response, &started.exchange.head.headers);
    let length = match started.exchange.head.framing {
        dappleyard_upstream::BodyFraming::Length(length) => Some(length),
        _ => None,
    };
    let sized = length.filter(|_| !is_event_route(&request.route));
    let body = relay::body(upstreams, request, started, in_flight, disconnect_logger);
    match sized {
        Some(length) => response.body(actix_web::body::SizedStream::new(length, Box::pin(body))),
        None => response.streaming(Box::pin(body)),
    }
}

fn job_response(node: &Arc<Node>, reply: JobReply) -> HttpResponse {
    match reply {
        JobReply::Accepted => start_response(node, 202).json(serde_json::json!({})),
        JobReply::Ended => start_response(node, 200).json(serde_json::json!({})),
        JobReply::Page(page) => start_response(node, 200)
            .insert_header((CONTENT_TYPE, "application/json"))
            .body(page),
        JobReply::Body(body) => start_response(node, 200)
            .insert_header((CONTENT_TYPE, "application/octet-stream"))
            .body(body),
        JobReply::Refused(kind, detail) => error_response(node, &Refusal::new(kind, detail)),
    }
}
