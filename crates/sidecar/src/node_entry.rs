//! State of one known node: its location, and the state of the link to it.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_settings::Location;
use dappleyard_transport::Link;
use dappleyard_wire::messages::PeerNode;
use rand::Rng;

use crate::node_selection::distance;

/// Backoff ceiling after the first failure; doubled by each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAXIMUM_BACKOFF: Duration = Duration::from_secs(2);

/// A known node.
pub(crate) struct NodeEntry {
    /// `None` until announced or connected.
    pub location: Option<Location>,
    /// Accepts no new requests and will shut down.
    pub draining: bool,
    /// Listed in the settings, and therefore never removed.
    pub configured: bool,
    /// Maintenance round in which a peer last announced it.
    pub last_announced: u64,
    pub state: LinkState,
    failures: u32,
}

/// State of the link to a node.
pub(crate) enum LinkState {
    Idle,
    Dialling,
    /// Connected. A loss is noticed in the next maintenance round.
    Up(Link),
    /// Not dialled before this time.
    Backoff(Instant),
}

impl NodeEntry {
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

    /// The link, which may have been lost since the last maintenance round.
    pub fn link(&self) -> Option<&Link> {
        match &self.state {
            LinkState::Up(link) => Some(link),
            _ => None,
        }
    }

    /// Whether a request can be sent to the node now.
    pub fn takes_new_work(&self) -> bool {
        !self.draining && self.link().is_some_and(Link::takes_new_work)
    }

    /// Whether the node is connected or may be dialled now.
    pub fn is_usable(&self, now: Instant) -> bool {
        match &self.state {
            _ if self.draining => false,
            LinkState::Idle | LinkState::Dialling => true,
            LinkState::Up(link) => link.takes_new_work(),
            LinkState::Backoff(until) => *until <= now,
        }
    }

    /// Distance from `place`. Nodes of unknown location count as near, so that they are dialled and
    /// their location becomes known.
    pub fn distance_from(&self, place: &Location) -> u8 {
        self.location
            .as_ref()
            .map_or(0, |its| distance(place, &its.zone, &its.region))
    }

    /// Schedules the next dial after exponential backoff with jitter.
    pub fn back_off(&mut self) {
        let ceiling = INITIAL_BACKOFF
            .saturating_mul(1 << self.failures.min(10))
            .min(MAXIMUM_BACKOFF);
        let backoff = ceiling.mul_f64(rand::rng().random_range(0.5..=1.0));
        self.failures = self.failures.saturating_add(1);
        self.state = LinkState::Backoff(Instant::now() + backoff);
    }

    /// Records an established link and resets the backoff.
    pub fn mark_connected(&mut self, link: &Link) {
        self.location = Some(Location {
            zone: link.peer().zone.clone(),
            region: link.peer().region.clone(),
        });
        self.failures = 0;
        self.state = LinkState::Up(link.clone());
    }

    /// Records a peer's announcement of the node. The node is draining if any announcement of the
    /// round says so.
    pub fn announced(&mut self, peer: &PeerNode, round: u64) {
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
