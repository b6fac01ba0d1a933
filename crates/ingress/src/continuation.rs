//! Continues a stream that must not run twice at the server that has a copy of its memory.
//!
//! It does so only once the former server is known to have ended: its port refuses connections. A server that is silent,
//! or whose connection alone broke, may still be at work, and not every server drops a request whose connection closes;
//! such a stream is cut. Another start that is listed at the address proves nothing: the entry of an earlier start goes
//! some heartbeats after its end. A stream that had brought no event is cut too: a copy continues after an event.

use std::sync::Arc;

use dappleyard_cluster::WorkKind;
use dappleyard_model::{MemoryCopy, MemoryStamp, ServerRecord};
use derive_more::Display;

use crate::attempt::Upstreams;
use crate::backup::{choose_backup, copies_now, takes_backup};
use crate::cold::ColdGate;
use crate::crashes::{Broken, Evidence, SECOND_LOOK};
use crate::dispatch::{Begun, Request, ask, note_failure};
use crate::homes::reached;
use crate::metrics::Metrics;
use dappleyard_clock::Instant;

/// Looks at the former server before the stream is cut. The second one finds a process that closed its connections
/// before its port.
const LOOKS: u32 = 2;

/// A run whose memory another server was to get a copy of.
pub(crate) struct Copied {
    /// Where it ran.
    pub(crate) from: Arc<ServerRecord>,
    /// Who was to get the copy.
    pub(crate) to: Arc<ServerRecord>,
}

/// Why a stream is not continued.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum Refused {
    /// The former server may still be at work.
    #[display("its server may still run it")]
    MayStillRun,
    /// Too many servers ended under the request, or its next run must wait for another one.
    #[display("servers ended under it")]
    ServersEnded,
    /// The server with the copy did not take it up.
    #[display("the server with the copy: {_0}")]
    ByServer(String),
}

/// The server that is to get a copy of the memory of a run at `server`.
pub(crate) fn backup_of(
    upstreams: &Upstreams,
    request: &Request,
    server: &ServerRecord,
) -> Option<Arc<ServerRecord>> {
    let node = upstreams.node();
    if request.route.may_repeat() || !copies_now(node.crashes.since_last_end()) {
        return None;
    }
    let configuration = node.view.configuration()?;
    let service = configuration.service(&request.service)?;
    let tokens = request
        .facts
        .tokens_in
        .saturating_add(request.facts.tokens_out);
    if !takes_backup(&request.route, service, tokens, server.slots) {
        return None;
    }
    let gate = ColdGate::of(node, &request.service);
    let servers = node.view.servers(&request.service);
    let places = &node.settings.places;
    let open = reached(&servers, &request.homes, node)
        .filter(|open| request.homes.allow(&open.zone, places))
        .filter(|open| gate.as_ref().is_none_or(|gate| gate.passes(open)));
    let load = |open: &ServerRecord| node.loads.summary(&open.id);
    let backup = choose_backup(server, open, load, &mut rand::rng())?;
    Metrics::count(&node.metrics.streams_backed_up);
    Some(backup)
}

/// Goes on after an event at the server that has the copy, as the same run.
pub(crate) async fn continue_run(
    upstreams: &Upstreams,
    request: &mut Request,
    copied: &Copied,
    last_event: u64,
) -> Result<Begun, Refused> {
    let continued = try_continuing(upstreams, request, copied, last_event).await;
    let node = upstreams.node();
    Metrics::count(match continued {
        Ok(_) => &node.metrics.streams_continued,
        Err(_) => &node.metrics.continuations_refused,
    });
    node.log.write("stream_continued", || {
        let refused = continued.as_ref().err().map(ToString::to_string);
        serde_json::json!({"request": request.facts.id, "from": copied.from.id, "at": copied.to.id,
            "after_event": last_event, "refused": refused})
    });
    continued
}

async fn try_continuing(
    upstreams: &Upstreams,
    request: &mut Request,
    copied: &Copied,
    last_event: u64,
) -> Result<Begun, Refused> {
    if !has_ended(upstreams, &copied.from).await {
        return Err(Refused::MayStillRun);
    }
    let (node, server) = (upstreams.node().clone(), &copied.to);
    let begun = node.crashes.begin(request.fingerprint, &server.id);
    let run = begun.map_err(|_| Refused::ServersEnded)?;
    request.asked.insert(server.id.clone());
    let work = node.loads.begin(server, WorkKind::Online, 0);
    let sent = Instant::now();
    let backup = backup_of(upstreams, request, server);
    let id = request.facts.id.clone();
    let memory = MemoryStamp {
        backup: backup.as_ref().map(|backup| backup.address),
        copy: Some(MemoryCopy {
            holder: server.address,
            request: &id,
        }),
    };
    let exchange = match ask(upstreams, request, server, Some(last_event), memory).await {
        Ok(exchange) => exchange,
        Err(error) => {
            let broken = Broken {
                error: &error,
                output_for: None,
            };
            upstreams.judge(run, server, &broken).await;
            note_failure(upstreams, request, server, &error);
            return Err(Refused::ByServer(error.reason));
        }
    };
    request.runs += 1;
    if exchange.head.status / 100 != 2 {
        return Err(Refused::ByServer(format!(
            "status {}",
            exchange.head.status
        )));
    }
    Ok(Begun {
        exchange,
        work,
        run,
        sent,
        backup,
    })
}

/// Whether a server is known to have ended.
async fn has_ended(upstreams: &Upstreams, server: &ServerRecord) -> bool {
    for look in 0..LOOKS {
        if look > 0 {
            tokio::time::sleep(SECOND_LOOK).await;
        }
        if upstreams.look_at_port(server).await == Evidence::Ended {
            return true;
        }
    }
    false
}
