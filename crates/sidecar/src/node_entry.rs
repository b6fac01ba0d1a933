//! What a worker knows of one node: where it is, and how far the link to it is.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_settings::Location;
use dappleyard_transport::Link;
use dappleyard_wire::messages::PeerNode;
use rand::Rng;

use crate::node_selection::distance;

/// First backoff before a node is dialled again.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff before a node is dialled again.
const MAXIMUM_BACKOFF: Duration = Duration::from_secs(2);

/// A node that may be dialled.
pub(crate) struct NodeEntry {
    /// Where it is; `None` before it is known.
    pub location: Option<Location>,
    /// It takes nothing new and will leave.
    pub draining: bool,
    /// Named by the settings: never forgotten.
    pub configured: bool,
    /// Number of the round at which a node last apply_announcement of it.
    pub last_announced: u64,
    /// How far the link is.
    pub state: LinkState,
    failures: u32,
}

/// How far the link to a node is.
pub(crate) enum LinkState {
    /// Not dialled.
    Idle,
    /// Being dialled.
    Dialling,
    /// Up, or lost a moment ago.
    Up(Link),
    /// Not to be dialled before this moment.
    Backoff(Instant),
}

impl NodeEntry {
    /// A node that was not dialled yet.
    pub fn new(configured: bool) -> Self {
        Self {
            location: None,
            draining: false,
            configured,
            last_announced: 0,
            state: LinkState::Idle,
            failures: 0,
        }
    }

    /// Its link, also when that was lost a moment ago.
    pub fn link(&self) -> Option<&Link> {
        match &self.state {
            LinkState::Up(link) => Some(link),
            _ => None,
        }
    }

    /// Whether a request could be sent to it now.
    pub fn takes_new_work(&self) -> bool {
        !self.draining && self.link().is_some_and(Link::takes_new_work)
    }

    /// Whether it counts among the links kept: up, or worth dialling now.
    pub fn is_usable(&self, now: Instant) -> bool {
        match &self.state {
            _ if self.draining => false,
            LinkState::Idle | LinkState::Dialling => true,
            LinkState::Up(link) => link.takes_new_work(),
            LinkState::Backoff(until) => *until <= now,
        }
    }

    /// Distance, with a node of unknown place counted as near, so that its place is learnt.
    pub fn distance_from(&self, place: &Location) -> u8 {
        self.location
            .as_ref()
            .map_or(0, |its| distance(place, &its.zone, &its.region))
    }

    /// The link was lost or not made: the node is not dialled again for a jittered backoff.
    pub fn back_off(&mut self) {
        let ceiling = INITIAL_BACKOFF
            .saturating_mul(1 << self.failures.min(10))
            .min(MAXIMUM_BACKOFF);
        let backoff = ceiling.mul_f64(rand::rng().random_range(0.5..=1.0));
        self.failures = self.failures.saturating_add(1);
        self.state = LinkState::Backoff(Instant::now() + backoff);
    }

    /// A link to it is up.
    pub fn mark_connected(&mut self, link: &Link) {
        self.location = Some(Location {
            zone: link.peer().zone.clone(),
            region: link.peer().region.clone(),
        });
        self.failures = 0;
        self.state = LinkState::Up(link.clone());
    }

    /// A node apply_announcement of it at the round `round`. It drains when any of those that tell of it says so.
    pub fn apply_announcement(&mut self, peer: &PeerNode, round: u64) {
        let already_draining = self.last_announced == round && self.draining;
        self.draining = peer.draining || already_draining;
        self.last_announced = round;
        let same = |place: &Location| place.zone == peer.zone && place.region == peer.region;
        if !self.location.as_ref().is_some_and(same) {
            self.location = Some(Location {
                zone: peer.zone.clone(),
                region: peer.region.clone(),
            });
        }
    }
}
