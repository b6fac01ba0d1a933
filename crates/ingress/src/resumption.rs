//! Streams that callers resume: finds out where they began, so that they continue at the same service and software
//! version.

use dappleyard_cluster::OriginStatus;
use dappleyard_model::{RequestMetadata, Route, RunOrigin};
use dappleyard_streams::{Asked, Knowledge, StreamKey, resolve};
use dappleyard_tenants::Caller;
use derive_more::Display;

use crate::admission::Refusal;
use crate::dispatch::Request;
use crate::error_kind::ErrorKind;
use crate::metrics::Metrics;
use crate::node::Node;

/// Retry delay while a server of the stream's version may come back.
const LAPSED_RETRY_MS: u64 = 1_000;
/// Retry delay while another node may still answer where the stream began.
const UNANSWERED_RETRY_MS: u64 = 300;

/// Whether a request resumes a stream of which its client has received a part.
pub(crate) fn is_resumption(route: &Route, facts: &RequestMetadata) -> bool {
    route.resumable && facts.last_event_id.is_some()
}

/// How a node knows where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
enum Source {
    #[display("own record")]
    OwnRecord,
    #[display("single version")]
    SingleVersion,
    #[display("other nodes")]
    OtherNodes,
}

/// Finds out where the stream of a resumption began. Refuses it if that is not certain or if it cannot be continued
/// there; in neither case has anything run.
pub(crate) async fn find_origin(
    node: &Node,
    caller: &Caller,
    route: &Route,
    facts: &RequestMetadata,
) -> Result<RunOrigin, Refusal> {
    Metrics::count(&node.metrics.resumptions);
    let found = find(node, caller, route, facts).await;
    let outcome = found
        .and_then(|(origin, source)| check_status(node, route, &origin).map(|()| (origin, source)));
    node.log.write("resumption", || {
        let (origin, source) = outcome.as_ref().ok().cloned().unzip();
        let refused = outcome.as_ref().err();
        serde_json::json!({"request": facts.id, "route": route.name, "resumes": facts.resumes,
            "after_event": facts.last_event_id,
            "origin": origin.map(|origin: RunOrigin| origin.to_string()),
            "known_by": source.map(|source: Source| source.to_string()),
            "refused": refused.map(|refused| refused.kind.to_string()),
            "cause": refused.map(|refused| refused.detail.clone())})
    });
    match outcome {
        Ok((origin, _)) => Ok(origin),
        Err(refused) => {
            Metrics::count(&node.metrics.resumptions_refused);
            Err(refused)
        }
    }
}

async fn find(
    node: &Node,
    caller: &Caller,
    route: &Route,
    facts: &RequestMetadata,
) -> Result<(RunOrigin, Source), Refusal> {
    let attempt = facts.resumes.as_deref();
    let stream = attempt.map(|attempt| StreamKey::of(caller.tenant_name(), attempt));
    if let Some(origin) = stream.and_then(|stream| node.streams.find(stream)) {
        return Ok((origin, Source::OwnRecord));
    }
    let service = route.only_service().unwrap_or_default();
    let knowledge = node.view.version_knowledge(service);
    match &knowledge {
        Knowledge::Single(origin) => return Ok((origin.clone(), Source::SingleVersion)),
        // There is no other node that could know more.
        Knowledge::Stale(origin) if node.peers.expected() == 1 => {
            return Ok((origin.clone(), Source::SingleVersion));
        }
        _ => {}
    }
    if stream.is_none() && knowledge == Knowledge::Several {
        let detail = "the request does not say which attempt began the stream";
        return Err(unknown(detail, None));
    }
    let Asked { answers, complete } = node.streams.ask(stream, service).await;
    if let Some(origin) = resolve(&knowledge, &answers) {
        return Ok((origin, Source::OtherNodes));
    }
    let detail = format!("{} nodes do not know where the stream began", answers.len());
    let retry_after_ms = (!complete).then_some(UNANSWERED_RETRY_MS);
    Err(unknown(&detail, retry_after_ms))
}

fn unknown(detail: &str, retry_after_ms: Option<u64>) -> Refusal {
    Refusal {
        retry_after_ms,
        ..Refusal::new(ErrorKind::StreamOriginUnknown, detail)
    }
}

/// Refuses a stream whose service or software version does not serve any more.
fn check_status(node: &Node, route: &Route, origin: &RunOrigin) -> Result<(), Refusal> {
    if !route.has_service(&origin.service) {
        let detail = format!("the route has left the service of {origin}");
        return Err(Refusal::new(ErrorKind::StreamOriginGone, detail));
    }
    let retry_after_ms = match node.view.origin_status(origin) {
        OriginStatus::Listed => return Ok(()),
        OriginStatus::Lapsed => Some(LAPSED_RETRY_MS),
        OriginStatus::Gone => None,
    };
    Err(Refusal {
        retry_after_ms,
        ..Refusal::new(
            ErrorKind::StreamOriginGone,
            format!("no server of {origin}"),
        )
    })
}

/// Records where the stream of a request that has received its first event began, so that its client may resume it.
pub(crate) fn note_begun(node: &Node, request: &Request) {
    if let Some(origin) = request.origin.as_ref().filter(|_| request.route.resumable) {
        let stream = StreamKey::of(request.caller.tenant_name(), &request.facts.id);
        let lifetime = request.client_time_left();
        node.streams.note_begun(stream, origin, lifetime);
    }
}
