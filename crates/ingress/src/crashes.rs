//! Crash attribution: finds out whether a server crashed when its response broke off, and limits
//! the further runs of the requests involved.
//!
//! A crash interrupts about a dozen requests, of which at most one is the cause. All of them are
//! counted. The count is cleared once a request is served elsewhere. The last allowed run of a
//! request takes place on a server without the last run of another one.

use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::Method;
use dappleyard_cluster::Exclusion;
use dappleyard_crashes::{
    Feature, Fingerprint, PromptPartId, RefusedFeature, RequestFeatures, RunGuard,
};
use dappleyard_model::{PromptPart, ServerRecord};
use dappleyard_upstream::Connection;
use derive_more::Display;

use crate::attempt::{AttemptError, Upstreams};
use crate::metrics::Metrics;
use crate::node::Node;
use crate::placement::affinity_server;

/// Path on the metrics port.
const OPERATORS_PATH: &str = "/crashes";
/// Connect timeout: two round trips to another region. The port of an ended process refuses within
/// one.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Delay before the second check.
const SECOND_CHECK_DELAY: Duration = Duration::from_millis(100);
/// Interval between checks of the server list.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of list checks. A server registers within one heartbeat of its start and its
/// predecessor's entry expires after three, which is 4 s at the longest heartbeat in use.
const LIST_CHECKS: u32 = 8;

/// Result of checking a server's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Evidence {
    /// The port refuses connections: the process has ended.
    #[display("ended")]
    Ended,
    /// The port accepts connections: only the one connection failed.
    #[display("alive")]
    Alive,
    /// The server was draining or gone, so it may have ended as planned.
    #[display("leaving")]
    Leaving,
    /// No response in time: the server, its machine or the network may be down.
    #[display("unknown")]
    Unknown,
}

/// A run that was interrupted.
pub struct InterruptedRun<'a> {
    pub error: &'a AttemptError,
    /// Time since the first output of the run; `None` if there was none.
    pub output_duration: Option<Duration>,
}

/// Selects the server for the last run of a request, avoiding servers with the last run of another.
/// Rendezvous hashing separates different requests, since nodes decide at the same moment after a
/// crash without knowing of each other's choice.
pub fn last_run_server(
    node: &Node,
    request: &RequestFeatures,
    mut servers: Vec<Arc<ServerRecord>>,
) -> Option<Arc<ServerRecord>> {
    let taken = node.crashes.last_run_servers(request);
    servers.retain(|server| !taken.contains(&server.id));
    affinity_server(&servers, request.request().number()).cloned()
}

/// Features of a request by which crashes are counted.
pub fn request_features(fingerprint: Fingerprint, parts: &[PromptPart]) -> RequestFeatures {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    RequestFeatures::new(fingerprint, shared.iter().map(|part| PromptPartId(part.id)))
}

/// Explains to a caller why a request is refused.
pub(crate) fn refusal_detail(refused: &RefusedFeature) -> String {
    let servers = refused.ended.join(", ");
    match refused.feature {
        Feature::Request(_) => format!("servers ended while they ran it: {servers}"),
        Feature::PromptPart(part) => {
            format!("servers ended while they ran requests with prompt part {part}: {servers}")
        }
    }
}

/// Operator calls: `GET /crashes` lists the features of requests that are refused, `DELETE
/// /crashes/FEATURE` clears one on all nodes. Returns `None` for any other call.
pub(crate) fn operator_call(node: &Node, method: &Method, path: &str) -> Option<HttpResponse> {
    let rest = path.strip_prefix(OPERATORS_PATH)?;
    if *method == Method::GET && rest.is_empty() {
        return Some(list(node));
    }
    let request = rest.strip_prefix('/')?;
    (*method == Method::DELETE).then(|| forgive(node, request))
}

fn list(node: &Node) -> HttpResponse {
    let (refused, suspects) = node.crashes.refused();
    let refused = refused.into_iter().map(|refusal| {
        serde_json::json!({"feature": refusal.feature.to_string(), "servers": refusal.ended,
            "age_ms": refusal.age.as_millis() as u64})
    });
    let refused: Vec<serde_json::Value> = refused.collect();
    HttpResponse::Ok().json(serde_json::json!({"refused": refused, "suspects": suspects}))
}

fn forgive(node: &Node, text: &str) -> HttpResponse {
    let feature: Feature = match text.parse() {
        Ok(feature) => feature,
        Err(error) => {
            let error = format!("{text:?} in the path: {error}");
            return HttpResponse::BadRequest().json(serde_json::json!({"error": error}));
        }
    };
    let cleared = node.crashes.forgive(&feature);
    node.log.write(
        "feature_cleared",
        || serde_json::json!({"feature": feature.short(), "by": "operator", "cleared": cleared}),
    );
    HttpResponse::Ok().json(serde_json::json!({"cleared": cleared}))
}

impl Upstreams {
    /// Determines whether the server of an interrupted run crashed. The first check delays the
    /// client's next run by one round trip; if it finds no crash, further checks run in the
    /// background.
    pub async fn check_for_crash(
        &self,
        run: RunGuard,
        server: &Arc<ServerRecord>,
        interrupted_run: &InterruptedRun<'_>,
    ) {
        if !interrupted_run.error.broken_off {
            return;
        }
        let output = interrupted_run.output_duration;
        match self.check_address(server).await {
            Evidence::Ended => self.note_ended(&run, server, &interrupted_run.error.reason, output),
            Evidence::Leaving => {}
            Evidence::Alive | Evidence::Unknown => self.check_again(run, server.clone(), output),
        }
    }

    /// Checks again later, since a crashing process may close its connections before its port, or
    /// restart within milliseconds.
    fn check_again(&self, mut run: RunGuard, server: Arc<ServerRecord>, output: Option<Duration>) {
        run.note_doubt();
        let upstreams = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(SECOND_CHECK_DELAY).await;
            if upstreams.check_address(&server).await == Evidence::Ended {
                let cause = "its port closed after its connections";
                upstreams.note_ended(&run, &server, cause, output);
                return;
            }
            // The run no longer counts as in flight; a crash found later still counts.
            run.finish();
            for _ in 0..LIST_CHECKS {
                tokio::time::sleep(LIST_CHECK_INTERVAL).await;
                if upstreams.node.view.is_replaced(&server) {
                    let cause = "another incarnation is at its address";
                    upstreams.note_ended(&run, &server, cause, output);
                    return;
                }
            }
        });
    }

    fn note_ended(
        &self,
        run: &RunGuard,
        server: &ServerRecord,
        cause: &str,
        output: Option<Duration>,
    ) {
        let noted = run.note_ended(output);
        let node = &self.node;
        let request = run.request();
        Metrics::count(&node.metrics.servers_ended);
        node.log.write("server_ended", || {
            serde_json::json!({"fingerprint": request.request().short(), "parts": request.part_ids(),
                "server": server.id, "cause": cause, "ended": noted.ended, "output_ms": output.map(|time| time.as_millis() as u64)})
        });
        for feature in noted.now_refused {
            Metrics::count(match feature {
                Feature::Request(_) => &node.metrics.requests_blamed,
                Feature::PromptPart(_) => &node.metrics.prompt_parts_blamed,
            });
            node.log.write("feature_refused", || {
                serde_json::json!({"feature": feature.short(), "by": "this node",
                    "servers": node.crashes.ended_under(&feature)})
            });
        }
    }

    /// Records that a run completed, which clears the features of its request.
    pub fn note_served(&self, run: &RunGuard) {
        self.log_cleared(&run.note_served(), "a whole answer");
    }

    /// Records the time for which a run has produced output.
    pub fn note_output(&self, run: &mut RunGuard, output_for: Duration) {
        self.log_cleared(&run.note_output(output_for), "a long run");
    }

    fn log_cleared(&self, cleared: &[Feature], by: &str) {
        for feature in cleared {
            self.node.log.write(
                "feature_cleared",
                || serde_json::json!({"feature": feature.short(), "by": by}),
            );
        }
    }

    /// Checks the address of a server after its response broke off.
    pub async fn check_address(&self, server: &ServerRecord) -> Evidence {
        self.probe(server).await.0
    }

    /// Checks the address of a server; returns the connection if the server accepted one.
    async fn probe(&self, server: &ServerRecord) -> (Evidence, Option<Connection>) {
        if self.node.view.is_replaced(server) {
            return (Evidence::Ended, None);
        }
        match self.is_leaving(server) {
            true => (Evidence::Leaving, None),
            false => probe_port(server).await,
        }
    }

    fn is_leaving(&self, server: &ServerRecord) -> bool {
        let exclusion = self.node.view.exclusion(&server.id);
        matches!(exclusion, Some(Exclusion::Draining | Exclusion::Gone))
    }

    /// Whether an answer that ended with its connection, and whose framing does not show whether it is whole, may have
    /// been cut by the end of its server, planned or not. A stream waits for a second check, since a process may close its
    /// connections before its port; the caller of another answer is not kept waiting.
    pub async fn may_be_cut(&self, server: &ServerRecord, is_stream: bool) -> bool {
        let view = &self.node.view;
        let (evidence, connection) = probe_port(server).await;
        if evidence != Evidence::Alive || view.has_successor(server) {
            return true;
        }
        if is_stream {
            tokio::time::sleep(SECOND_CHECK_DELAY).await;
        }
        match connection.filter(Connection::is_reusable) {
            Some(connection) => {
                if !self.is_leaving(server) {
                    self.pool.put(server.address, connection);
                }
                false
            }
            None => probe_port(server).await.0 != Evidence::Alive || view.has_successor(server),
        }
    }
}

async fn probe_port(server: &ServerRecord) -> (Evidence, Option<Connection>) {
    match Connection::open(server.address, CHECK_TIMEOUT).await {
        Ok(connection) => (Evidence::Alive, Some(connection)),
        Err(error) if error.is_refused => (Evidence::Ended, None),
        Err(_) => (Evidence::Unknown, None),
    }
}
