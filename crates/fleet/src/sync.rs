//! Snapshot of configuration and members from a peer, over a link.

use std::time::Duration;

use dappleyard_decide::configuration::ConfigurationState;
use dappleyard_tables::{Identity, Lifecycle, NodeTables};
use dappleyard_transport::policy::SharedPolicy;
use dappleyard_transport::{Link, LinkSettings};
use dappleyard_wire::PROTOCOL_VERSION;
use dappleyard_wire::messages::{
    Call, CellSync, CellSyncAnswer, Hello, Member, call, frame, reply,
};

/// Longest time for a snapshot to arrive, milliseconds.
const SNAPSHOT_TIMEOUT_MS: u32 = 3_000;

/// What is needed to dial a peer.
#[derive(Clone)]
pub struct Dialler {
    /// Shaping of traffic.
    pub policy: SharedPolicy,
    /// Bounds of links.
    pub settings: LinkSettings,
}

impl Dialler {
    /// Asks the node at `address` for its snapshot. `None` when it cannot be had.
    pub async fn cell_sync(&self, identity: &Identity, address: &str) -> Option<CellSyncAnswer> {
        let hello = Hello {
            protocol: PROTOCOL_VERSION,
            id: identity.node.to_string(),
            zone: identity.zone.to_string(),
            region: identity.region.to_string(),
            incarnation: identity.incarnation,
            sidecar: false,
        };
        let link = Link::connect(address, hello, &self.settings, self.policy.clone())
            .await
            .ok()?;
        let answer = ask(&link, identity).await;
        link.close();
        answer
    }
}

async fn ask(link: &Link, identity: &Identity) -> Option<CellSyncAnswer> {
    let call = Call {
        budget_ms: SNAPSHOT_TIMEOUT_MS,
        method: Some(call::Method::CellSync(CellSync {
            node: identity.node.to_string(),
        })),
    };
    let mut stream = link.open(frame::Body::Call(call)).ok()?;
    let timeout = Duration::from_millis(u64::from(SNAPSHOT_TIMEOUT_MS));
    let received = tokio::time::timeout(timeout, stream.receive()).await.ok()?;
    match received.ok()? {
        frame::Body::Reply(reply) => match reply.result? {
            reply::Result::CellSync(answer) => Some(answer),
            _ => None,
        },
        _ => None,
    }
}

/// Answers a peer's call for a snapshot.
pub fn cell_sync(tables: &NodeTables) -> CellSyncAnswer {
    let state = tables.configuration.snapshot();
    let entries = state.entries.into_values().filter(|entry| !entry.deleted);
    CellSyncAnswer {
        configuration_revision: state.revision,
        entries: entries.collect(),
        members: tables.members.all(),
        ready: matches!(
            *tables.lifecycle.borrow(),
            Lifecycle::Ready | Lifecycle::Draining
        ),
    }
}

/// Takes an answer apart: the configuration, and the members.
pub fn parts(answer: CellSyncAnswer) -> (ConfigurationState, Vec<Member>) {
    let revision = answer.configuration_revision;
    let entries = answer
        .entries
        .into_iter()
        .map(|entry| (entry.key.clone(), entry))
        .collect();
    let state = ConfigurationState {
        revision,
        entries,
        deletions_forgotten_to: revision,
    };
    (state, answer.members)
}
