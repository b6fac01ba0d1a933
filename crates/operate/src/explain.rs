//! Explains decisions about a subject: what was decided, why and from which inputs.
//!
//! Decision records come from the memory of this node and its peers and from journal objects. The
//! current state of the subject comes from stored rows and the node's tables.

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

/// Limit on records in an explanation; the oldest are dropped.
const MAX_RECORDS: usize = 200;

/// Kind and id of the subject to explain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubjectRef {
    /// Kind: `request`, `job`, `server`, `service`, `node` or `plan`.
    pub kind: String,
    pub id: String,
}

impl SubjectRef {
    /// Returns `None` if the kind is unknown.
    pub fn parse(kind: &str, id: &str) -> Option<SubjectRef> {
        let known = ["request", "job", "server", "service", "node", "plan"].contains(&kind);
        known.then(|| SubjectRef {
            kind: kind.to_owned(),
            id: id.to_owned(),
        })
    }

    /// The subject as used in decision records.
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

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    pub kind: String,
    pub id: String,
    /// Current state of the subject, one sentence each.
    pub state: Vec<String>,
    /// Summary in one sentence.
    pub answer: String,
    /// Decisions in chronological order.
    pub events: Vec<Event>,
    /// Information that could not be obtained.
    pub unknown: Vec<String>,
}

/// Description of one decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    pub unix_ms: u64,
    pub node: String,
    /// Decision, cause and outcome.
    pub words: String,
    /// Input names and values.
    pub inputs: Vec<(String, String)>,
}

/// Collects the records about a subject and summarizes them.
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

/// Nodes whose records were read from memory: this node and the members that responded.
fn responding_nodes(tables: &NodeTables, failed_nodes: &BTreeSet<String>) -> BTreeSet<String> {
    let members = tables.members.all().into_iter();
    members
        .filter(|member| member.state() == MemberState::MemberAlive)
        .map(|member| member.node)
        .chain([tables.identity.node.to_string()])
        .filter(|node| !failed_nodes.contains(node))
        .collect()
}

/// Sorts by time and removes duplicates, since a record may be both in memory and in the journal.
fn sorted_unique(records: Vec<Decision>) -> Vec<Decision> {
    let mut unique = BTreeMap::new();
    for record in records {
        let content = serde_json::to_string(&record).unwrap_or_default();
        unique.entry((record.unix_ms, content)).or_insert(record);
    }
    let surplus = unique.len().saturating_sub(MAX_RECORDS);
    unique.into_values().skip(surplus).collect()
}

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

/// Summarizes the latest decision, or the state if there is no record.
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
