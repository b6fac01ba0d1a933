//! Announcements on links: the node's readiness, planned departure, load and peers.

use std::sync::Arc;
use std::time::Duration;

use dappleyard_tables::{Lifecycle, NodeTables};
use dappleyard_transport::link::Announcement;
use dappleyard_wire::messages::{MemberState, PeerNode, Peers};
use tokio::sync::watch;

/// Longest time between two checks for a changed announcement; life cycle changes are sent at once.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

const MAXIMUM_PEERS: usize = 24;

/// Keeps the announcement up to date until the node has stopped.
pub async fn run(
    tables: Arc<NodeTables>,
    announcement: Arc<watch::Sender<Announcement>>,
    stop_bound_ms: u32,
) {
    let mut lifecycle = tables.lifecycle.subscribe();
    loop {
        let next = current(&tables, stop_bound_ms);
        announcement.send_if_modified(|known| {
            let changed = is_changed(known, &next);
            if changed {
                *known = next;
            }
            changed
        });
        if *lifecycle.borrow_and_update() == Lifecycle::Stopped {
            return;
        }
        let _ = tokio::time::timeout(ANNOUNCE_INTERVAL, lifecycle.changed()).await;
    }
}

fn current(tables: &NodeTables, stop_bound_ms: u32) -> Announcement {
    let own = tables.identity.node.as_str();
    let load = tables
        .loads
        .nodes()
        .into_iter()
        .find(|known| known.value.node == own);
    let leaving = matches!(
        *tables.lifecycle.borrow(),
        Lifecycle::Draining | Lifecycle::Stopped
    );
    Announcement {
        ready: tables.takes_new_work(),
        go_away_ms: leaving.then_some(stop_bound_ms),
        peers: Peers {
            nodes: peers(tables),
        },
        load: load.map(|known| known.value),
    }
}

/// Peers that a sidecar may use: first those of this zone, then of this region, then the others.
fn peers(tables: &NodeTables) -> Vec<PeerNode> {
    let identity = &tables.identity;
    let mut members: Vec<_> = tables
        .members
        .all()
        .into_iter()
        .filter(|member| {
            matches!(
                member.state(),
                MemberState::MemberAlive | MemberState::MemberSuspect
            )
        })
        .filter(|member| member.node != identity.node.as_str())
        .collect();
    members.sort_by_key(|member| {
        let other_zone = member.zone != identity.zone.as_str();
        let other_region = member.region != identity.region.as_str();
        (other_region, other_zone, member.node.clone())
    });
    members
        .into_iter()
        .take(MAXIMUM_PEERS)
        .map(|member| PeerNode {
            id: member.node,
            zone: member.zone,
            region: member.region,
            link_address: member.link_address,
            draining: member.draining,
        })
        .collect()
}

/// Whether the announcement has to be sent again. Each load report has a new sequence number.
fn is_changed(known: &Announcement, next: &Announcement) -> bool {
    known.ready != next.ready
        || known.go_away_ms != next.go_away_ms
        || known.peers != next.peers
        || known.load != next.load
}
