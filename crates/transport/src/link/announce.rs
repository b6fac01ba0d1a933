//! What the accepting end tells every link of its own accord.

use std::rc::Rc;

use dappleyard_wire::messages::{GoAway, NodeLoad, Peers, Pong, frame};
use tokio::sync::watch;

use super::outgoing::Outgoing;

/// What the accepting end tells every link.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Announcement {
    /// The node takes new work.
    pub ready: bool,
    /// The node leaves in this many milliseconds.
    pub go_away_ms: Option<u32>,
    /// Nodes that sidecars may use.
    pub peers: Peers,
    /// The node's load.
    pub load: Option<NodeLoad>,
}

impl Announcement {
    /// Whether the node takes new work: it is ready and does not go away.
    pub(super) fn takes_new_work(&self) -> bool {
        self.ready && self.go_away_ms.is_none()
    }

    /// Frames that tell what has changed since `told`; `None` when nothing was told yet.
    fn changes(&self, told: Option<&Announcement>) -> Vec<frame::Body> {
        let changed = |differs: fn(&Announcement, &Announcement) -> bool| {
            told.is_none_or(|told| differs(self, told))
        };
        let mut bodies = Vec::new();
        if changed(|now, told| now.peers != told.peers) {
            bodies.push(frame::Body::Peers(self.peers.clone()));
        }
        if changed(|now, told| now.load != told.load) {
            bodies.extend(self.load.clone().map(frame::Body::Load));
        }
        if changed(|now, told| now.go_away_ms != told.go_away_ms) {
            let go_away = self.go_away_ms.map(|leave_in_ms| GoAway { leave_in_ms });
            bodies.extend(go_away.map(frame::Body::GoAway));
        }
        if changed(|now, told| now.takes_new_work() != told.takes_new_work()) {
            let ready = self.takes_new_work();
            bodies.push(frame::Body::Pong(Pong { nonce: 0, ready }));
        }
        bodies
    }
}

/// Tells one link everything at first, and then what changes, until the link is lost.
pub(super) async fn announce(
    mut announcement: watch::Receiver<Announcement>,
    outgoing: Rc<Outgoing>,
) {
    let mut told: Option<Announcement> = None;
    loop {
        let current = announcement.borrow_and_update().clone();
        for body in current.changes(told.as_ref()) {
            if outgoing.send(0, body).is_err() {
                return;
            }
        }
        told = Some(current);
        if announcement.changed().await.is_err() {
            return;
        }
    }
}
