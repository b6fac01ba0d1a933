//! Explanations: what the fleet decided about a subject, why and from which inputs.
//!
//! Records come from this node's memory, from the memories of its peers, and from the journal objects
//! of nodes that are gone. The state of the subject as it stands comes from rows and tables.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use dappleyard_store::Platform;
use dappleyard_tables::NodeTables;
use dappleyard_tables::decisions::{Decision, DecisionKind, Subject};
use dappleyard_wire::messages::MemberState;
use serde::{Deserialize, Serialize};

use crate::journal;
use crate::peers::Peers;
use crate::subject_state::describe_state;

/// Most records in one explanation; the latest stay.
const MAX_RECORDS: usize = 200;

/// Which subject is to be explained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubjectRef {
    /// Kind: `request`, `job`, `server`, `service`, `node` or `plan`.
    pub kind: String,
    /// Identifier.
    pub id: String,
}

impl SubjectRef {
    /// Reads a subject_ref; `None` for a kind that is not known.
    pub fn parse(kind: &str, id: &str) -> Option<SubjectRef> {
        let known = ["request", "job", "server", "service", "node", "plan"].contains(&kind);
        known.then(|| SubjectRef {
            kind: kind.to_owned(),
            id: id.to_owned(),
        })
    }

    /// The subject that decision records name.
    pub fn subject(&self) -> Subject {
        let id = self.id.clone();
        match self.kind.as_str() {
            "request" => Subject::Request(id),
            "job" => Subject::Job(id),
            "server" => Subject::Server(id),
            "service" => Subject::Service(id),
            "node" => Subject::Node(id),
            _ => Subject::Plan(id),
        }
    }
}

/// An explanation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Kind of the subject.
    pub kind: String,
    /// Identifier.
    pub id: String,
    /// How the subject stands now, one sentence each.
    pub state: Vec<String>,
    /// The answer in one sentence.
    pub answer: String,
    /// What was decided, in order of time.
    pub events: Vec<Event>,
    /// What could not be learnt.
    pub unknown: Vec<String>,
}

/// One decision, in plain words.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When, milliseconds since 1970.
    pub unix_ms: u64,
    /// Node that decided.
    pub node: String,
    /// What was decided, why and with what outcome.
    pub words: String,
    /// Inputs by name.
    pub inputs: Vec<(String, String)>,
}

/// Gathers and explains.
pub async fn explain(
    tables: &Arc<NodeTables>,
    platform: &Platform,
    peers: &Peers,
    subject_ref: &SubjectRef,
) -> Explanation {
    let subject = subject_ref.subject();
    let mut unknown = Vec::new();
    let mut records = tables.decisions.about(&subject);
    let path = format!(
        "/admin/v1/decisions/{}/{}",
        subject_ref.kind, subject_ref.id
    );
    let responses = peers.query::<Vec<Decision>>(&path).await;
    records.extend(responses.responses.into_iter().flatten());
    let failed_nodes: BTreeSet<String> = responses
        .failed
        .iter()
        .map(|(node, _)| node.clone())
        .collect();
    let failed = responses.failed.into_iter();
    unknown.extend(failed.map(|(node, cause)| format!("node {node} did not answer: {cause}")));
    let about = |record: &Decision| record.subjects.contains(&subject);
    match journal::search(
        &*platform.objects,
        &responding_nodes(tables, &failed_nodes),
        about,
    )
    .await
    {
        Ok((found, partial)) => {
            records.extend(found);
            if partial {
                unknown.push("only the latest journal objects were read".to_owned());
            }
        }
        Err(error) => unknown.push(format!("the journal: {error}")),
    }
    let records = sorted_unique(records);
    let (state, undetermined) = describe_state(tables, platform, subject_ref).await;
    unknown.extend(undetermined);
    Explanation {
        kind: subject_ref.kind.clone(),
        id: subject_ref.id.clone(),
        answer: answer(subject_ref, &records, &state, &unknown),
        state,
        events: records.iter().map(event).collect(),
        unknown,
    }
}

/// Nodes whose memory was asked: this one and the live members that responding_nodes.
fn responding_nodes(tables: &NodeTables, failed_nodes: &BTreeSet<String>) -> BTreeSet<String> {
    let members = tables.members.all().into_iter();
    members
        .filter(|member| member.state() == MemberState::MemberAlive)
        .map(|member| member.node)
        .chain([tables.identity.node.to_string()])
        .filter(|node| !failed_nodes.contains(node))
        .collect()
}

/// In order of time, each record once: a record may be both in memory and in the journal.
fn sorted_unique(records: Vec<Decision>) -> Vec<Decision> {
    let mut unique = BTreeMap::new();
    for record in records {
        let content = serde_json::to_string(&record).unwrap_or_default();
        unique.entry((record.unix_ms, content)).or_insert(record);
    }
    let surplus = unique.len().saturating_sub(MAX_RECORDS);
    unique.into_values().skip(surplus).collect()
}

/// What a kind of decision says, in words.
pub const fn describe_kind(kind: DecisionKind) -> &'static str {
    match kind {
        DecisionKind::Refused => "refused the request",
        DecisionKind::PlacedAgain => "placed the request again",
        DecisionKind::Preempted => "paused batch work",
        DecisionKind::TakenOver => "took over",
        DecisionKind::Fenced => "held back an old write or order",
        DecisionKind::Ordered => "gave the engine an order",
        DecisionKind::PlanStep => "took a step or held one back",
        DecisionKind::Withdrawn => "stopped new work",
        DecisionKind::MemberChanged => "changed its mind about a member",
        DecisionKind::ConfigurationApplied => "put configuration in force",
        DecisionKind::StoreGate => "changed its calls to the store",
        DecisionKind::JobChanged => "changed the job",
        DecisionKind::Rollout => "moved the rollout",
    }
}

fn event(record: &Decision) -> Event {
    Event {
        unix_ms: record.unix_ms,
        node: record.node.clone(),
        words: describe_record(record),
        inputs: record.inputs.clone(),
    }
}

fn describe_record(record: &Decision) -> String {
    let outcome = if record.outcome.is_empty() {
        String::new()
    } else {
        format!(": {}", record.outcome)
    };
    format!(
        "{} since {}{outcome}",
        describe_kind(record.kind),
        record.cause
    )
}

/// The last decision explains how the subject stands now.
fn answer(
    subject_ref: &SubjectRef,
    records: &[Decision],
    state: &[String],
    unknown: &[String],
) -> String {
    let name = format!("{} {}", subject_ref.kind, subject_ref.id);
    match (records.last(), state.first()) {
        (Some(last), _) => format!("{name}: node {} {}", last.node, describe_record(last)),
        (None, Some(state)) => format!("{name}: {state}; no decision about it is on record"),
        (None, None) if unknown.is_empty() => format!(
            "{name}: nothing is known of it; records are kept for a limited time, and undisturbed requests leave none"
        ),
        (None, None) => format!("{name}: nothing was found, but not every place could be asked"),
    }
}
