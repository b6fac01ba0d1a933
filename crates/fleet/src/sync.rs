//! Transfer of configuration and member snapshots between peers, over a link.

use std::time::Duration;

use dappleyard_decide::configuration::ConfigurationState;
use dappleyard_tables::{Identity, Lifecycle, NodeTables};
use dappleyard_transport::policy::SharedPolicy;
use dappleyard_transport::{Link, LinkSettings};
use dappleyard_wire::PROTOCOL_VERSION;
use dappleyard_wire::messages::{
    Call, CellSync, CellSyncAnswer, Hello, Member, call, frame, reply,
};

const SNAPSHOT_TIMEOUT_MS: u32 = 3_000;

#[derive(Clone)]
pub struct SnapshotClient {
    pub policy: SharedPolicy,
    pub settings: LinkSettings,
}

impl SnapshotClient {
    /// Requests the snapshot of the node at `address`. `None` on any failure.
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
        let answer = request_snapshot(&link, identity).await;
        link.close();
        answer
    }
}

async fn request_snapshot(link: &Link, identity: &Identity) -> Option<CellSyncAnswer> {
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

/// The answer to a peer's request for a snapshot.
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

/// Splits an answer into the configuration and the members.
pub fn split_answer(answer: CellSyncAnswer) -> (ConfigurationState, Vec<Member>) {
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
