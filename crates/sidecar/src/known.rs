//! What a worker knows of one node: where it is, and how far the link to it is.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_settings::Location;
use dappleyard_transport::Link;
use dappleyard_wire::messages::PeerNode;
use rand::Rng;

use crate::choose::distance;

/// First pause before a node is dialled again.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause before a node is dialled again.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// A node that may be dialled.
pub(crate) struct Known {
    /// Where it is; `None` before it is known.
    pub place: Option<Location>,
    /// It takes nothing new and will leave.
    pub draining: bool,
    /// Named by the settings: never forgotten.
    pub configured: bool,
    /// Number of the look at which a node last told of it.
    pub told_at: u64,
    /// How far the link is.
    pub state: State,
    failures: u32,
}

/// How far the link to a node is.
pub(crate) enum State {
    /// Not dialled.
    Idle,
    /// Being dialled.
    Dialling,
    /// Up, or lost a moment ago.
    Up(Link),
    /// Not to be dialled before this moment.
    Waiting(Instant),
}

impl Known {
    /// A node that was not dialled yet.
    pub fn new(configured: bool) -> Self {
        Self {
            place: None,
            draining: false,
            configured,
            told_at: 0,
            state: State::Idle,
            failures: 0,
        }
    }

    /// Its link, also when that was lost a moment ago.
    pub fn link(&self) -> Option<&Link> {
        match &self.state {
            State::Up(link) => Some(link),
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
            State::Idle | State::Dialling => true,
            State::Up(link) => link.takes_new_work(),
            State::Waiting(until) => *until <= now,
        }
    }

    /// Distance, with a node of unknown place counted as near, so that its place is learnt.
    pub fn distance_from(&self, place: &Location) -> u8 {
        self.place
            .as_ref()
            .map_or(0, |its| distance(place, &its.zone, &its.region))
    }

    /// The link was lost or not made: the node is not dialled again for a jittered pause.
    pub fn wait(&mut self) {
        let longest = FIRST_PAUSE
            .saturating_mul(1 << self.failures.min(10))
            .min(LONGEST_PAUSE);
        let pause = longest.mul_f64(rand::rng().random_range(0.5..=1.0));
        self.failures = self.failures.saturating_add(1);
        self.state = State::Waiting(Instant::now() + pause);
    }

    /// A link to it is up.
    pub fn linked(&mut self, link: &Link) {
        self.place = Some(Location {
            zone: link.peer().zone.clone(),
            region: link.peer().region.clone(),
        });
        self.failures = 0;
        self.state = State::Up(link.clone());
    }

    /// A node told of it at the look `look`. It drains when any of those that tell of it says so.
    pub fn told(&mut self, peer: &PeerNode, look: u64) {
        let said_before = self.told_at == look && self.draining;
        self.draining = peer.draining || said_before;
        self.told_at = look;
        let same = |place: &Location| place.zone == peer.zone && place.region == peer.region;
        if !self.place.as_ref().is_some_and(same) {
            self.place = Some(Location {
                zone: peer.zone.clone(),
                region: peer.region.clone(),
            });
        }
    }
}
