//! Requests under which servers end: what became of a server whose answer broke off, and where such a request runs
//! next.
//!
//! A server runs a dozen requests when it ends, and one of them is the cause at most. Each is counted; the count is
//! taken back when the request is served somewhere, and the last run that a request may end a server with happens apart
//! from the last runs of others.

use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::Method;
use dappleyard_cluster::Exclusion;
use dappleyard_crashes::{Fingerprint, RunUnderWay};
use dappleyard_model::ServerRecord;
use derive_more::Display;
use tokio::net::TcpStream;

use crate::attempt::{AttemptError, Upstreams};
use crate::metrics::Metrics;
use crate::node::Node;
use crate::placement::home;

/// Where operators ask for such requests, on the port of the metrics.
const OPERATORS_PATH: &str = "/crashes";
/// Longest wait for a server's address to take or refuse a connection: the way to another region and back, twice. A
/// dead process's port refuses in one such way.
const LOOK_LIMIT: Duration = Duration::from_millis(100);

/// Time from the first look to the second one.
const SECOND_LOOK: Duration = Duration::from_millis(100);
/// Time between two looks at the list of servers.
const LIST_LOOK: Duration = Duration::from_millis(500);
/// Looks at the list: a server writes its entry within a heartbeat of its start, and the entry of the one before goes
/// after three, 4 s at the longest heartbeat in use.
const LIST_LOOKS: u32 = 8;

/// What was seen at a server's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Evidence {
    /// Its port refuses connections: the process has ended.
    #[display("ended")]
    Ended,
    /// It takes connections: only the one connection broke.
    #[display("alive")]
    Alive,
    /// It was known to leave: it may have ended as planned.
    #[display("leaving")]
    Leaving,
    /// Nothing answered in time: the server, its machine or the way there may be gone.
    #[display("unknown")]
    Unknown,
}

/// A run that did not come to its end.
pub struct Broken<'a> {
    /// What was seen.
    pub error: &'a AttemptError,
    /// Time for which the run had brought output; `None` when it had brought none.
    pub output_for: Option<Duration>,
}

/// Of some servers, those at which the last run of a request may happen: not where another request has its last run.
/// Nodes choose among them by a hash of the request, since they choose at the same moment, when a server has ended, and
/// cannot know of each other's choice.
pub fn apart(
    node: &Node,
    request: &Fingerprint,
    mut servers: Vec<Arc<ServerRecord>>,
) -> Option<Arc<ServerRecord>> {
    let taken = node.crashes.last_run_servers(request);
    servers.retain(|server| !taken.contains(&server.id));
    home(&servers, request.number()).cloned()
}

/// What operators ask of such requests: `GET /crashes` lists those that run no more, `DELETE /crashes/FINGERPRINT` lets one
/// run again at all nodes. `None` for any other call.
pub(crate) fn operators_call(node: &Node, method: &Method, path: &str) -> Option<HttpResponse> {
    let rest = path.strip_prefix(OPERATORS_PATH)?;
    if *method == Method::GET && rest.is_empty() {
        return Some(list(node));
    }
    let request = rest.strip_prefix('/')?;
    (*method == Method::DELETE).then(|| forgive(node, request))
}

fn list(node: &Node) -> HttpResponse {
    let (refused, suspects) = node.crashes.refused();
    let refused = refused.into_iter().map(|held| {
        serde_json::json!({"fingerprint": held.fingerprint.to_string(), "servers": held.ended,
            "age_ms": held.age.as_millis() as u64})
    });
    let refused: Vec<serde_json::Value> = refused.collect();
    HttpResponse::Ok().json(serde_json::json!({"refused": refused, "suspects": suspects}))
}

fn forgive(node: &Node, text: &str) -> HttpResponse {
    let request: Fingerprint = match text.parse() {
        Ok(request) => request,
        Err(error) => {
            let error = format!("{text:?} in the path: {error}");
            return HttpResponse::BadRequest().json(serde_json::json!({"error": error}));
        }
    };
    let cleared = node.crashes.forgive(&request);
    node.log.write("request_cleared", || {
        serde_json::json!({"fingerprint": request.short(), "by": "operator", "cleared": cleared})
    });
    HttpResponse::Ok().json(serde_json::json!({"cleared": cleared}))
}

impl Upstreams {
    /// Judges a run that did not come to its end: whether its server ended. The caller's next run follows a way to the
    /// server and back later. Where the first look finds no end, others follow while the caller's next run is under way.
    pub async fn judge(&self, run: RunUnderWay, server: &Arc<ServerRecord>, broken: &Broken<'_>) {
        if !broken.error.broken_off {
            return;
        }
        let output = broken.output_for;
        match self.look_at(server).await {
            Evidence::Ended => self.note_ended(&run, server, &broken.error.reason, output),
            Evidence::Leaving => {}
            Evidence::Alive | Evidence::Unknown => self.look_again(run, server.clone(), output),
        }
    }

    /// A process may close its connections before its port, or be back at its port within milliseconds.
    fn look_again(
        &self,
        mut run: RunUnderWay,
        server: Arc<ServerRecord>,
        output: Option<Duration>,
    ) {
        run.note_doubt();
        let upstreams = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(SECOND_LOOK).await;
            if upstreams.look_at(&server).await == Evidence::Ended {
                let cause = "its port closed after its connections";
                upstreams.note_ended(&run, &server, cause, output);
                return;
            }
            // The run counts as under way no more; an end that shows later still counts.
            run.over();
            for _ in 0..LIST_LOOKS {
                tokio::time::sleep(LIST_LOOK).await;
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
        run: &RunUnderWay,
        server: &ServerRecord,
        cause: &str,
        output: Option<Duration>,
    ) {
        let noted = run.note_ended(output);
        let node = &self.node;
        let fingerprint = run.request().short();
        Metrics::count(&node.metrics.servers_ended);
        node.log.write("server_ended", || {
            serde_json::json!({"fingerprint": fingerprint, "server": server.id,
                "cause": cause, "ended": noted.ended, "output_ms": output.map(|time| time.as_millis() as u64)})
        });
        if noted.now_refused {
            Metrics::count(&node.metrics.requests_blamed);
            node.log.write("request_blamed", || {
                serde_json::json!({"fingerprint": fingerprint, "by": "this node",
                    "servers": node.crashes.ended_under(&run.request())})
            });
        }
    }

    /// Notes that a run came to a good end.
    pub fn note_served(&self, run: &RunUnderWay) {
        if run.note_served() {
            let fingerprint = run.request().short();
            self.node.log.write(
                "request_cleared",
                || serde_json::json!({"fingerprint": fingerprint, "by": "a whole answer"}),
            );
        }
    }

    /// Looks at the address of a server, right after an answer of it broke off.
    pub async fn look_at(&self, server: &ServerRecord) -> Evidence {
        if self.node.view.is_replaced(server) {
            return Evidence::Ended;
        }
        let leaves = self.node.view.exclusion(&server.id);
        if matches!(leaves, Some(Exclusion::Draining | Exclusion::Gone)) {
            return Evidence::Leaving;
        }
        match tokio::time::timeout(LOOK_LIMIT, TcpStream::connect(server.address)).await {
            Ok(Ok(_)) => Evidence::Alive,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                Evidence::Ended
            }
            Ok(Err(_)) | Err(_) => Evidence::Unknown,
        }
    }
}
