//! Status that the accepting end pushes to every link.

use std::rc::Rc;

use dappleyard_wire::messages::{GoAway, NodeLoad, Peers, Pong, frame};
use tokio::sync::watch;

use super::outgoing::Outgoing;

/// Status that the accepting end pushes to every link.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Announcement {
    /// Whether the node is ready for new work.
    pub ready: bool,
    /// Milliseconds until the node leaves, when it is draining.
    pub go_away_ms: Option<u32>,
    /// Nodes available to sidecars.
    pub peers: Peers,
    /// The node's load.
    pub load: Option<NodeLoad>,
}

impl Announcement {
    /// Whether the node accepts new work: it is ready and not draining.
    pub(super) fn takes_new_work(&self) -> bool {
        self.ready && self.go_away_ms.is_none()
    }

    /// Frames for the changes since `last_sent`; `None` if nothing was sent yet.
    fn changes(&self, last_sent: Option<&Announcement>) -> Vec<frame::Body> {
        let changed = |differs: fn(&Announcement, &Announcement) -> bool| {
            last_sent.is_none_or(|last_sent| differs(self, last_sent))
        };
        let mut bodies = Vec::new();
        if changed(|now, last_sent| now.peers != last_sent.peers) {
            bodies.push(frame::Body::Peers(self.peers.clone()));
        }
        if changed(|now, last_sent| now.load != last_sent.load) {
            bodies.extend(self.load.clone().map(frame::Body::Load));
        }
        if changed(|now, last_sent| now.go_away_ms != last_sent.go_away_ms) {
            let go_away = self.go_away_ms.map(|leave_in_ms| GoAway { leave_in_ms });
            bodies.extend(go_away.map(frame::Body::GoAway));
        }
        if changed(|now, last_sent| now.takes_new_work() != last_sent.takes_new_work()) {
            let ready = self.takes_new_work();
            bodies.push(frame::Body::Pong(Pong { nonce: 0, ready }));
        }
        bodies
    }
}

/// Sends the full status to one link, then each change, until the link is lost.
pub(super) async fn announce(
    mut announcement: watch::Receiver<Announcement>,
    outgoing: Rc<Outgoing>,
) {
    let mut last_sent: Option<Announcement> = None;
    loop {
        let current = announcement.borrow_and_update().clone();
        for body in current.changes(last_sent.as_ref()) {
            if outgoing.send(0, body).is_err() {
                return;
            }
        }
        last_sent = Some(current);
        if announcement.changed().await.is_err() {
            return;
        }
    }
}
