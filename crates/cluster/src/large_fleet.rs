//! Who tells whom in a fleet in which not every node hears every other: nodes tell the delegates of their zone,
//! delegates tell their zone and the delegates of other zones.

use std::cell::RefCell;
use std::collections::BTreeSet;

use rand::seq::IndexedRandom;

use crate::cadence::Duties;
use crate::delegates::told_by;
use crate::gossip::Gossip;
use crate::loads::node_number;
use crate::messages::{PacketKind, Summary};
use crate::peers::RelayPeer;
use crate::zone_digest::ZoneDigest;

/// Random nodes that a heartbeat goes to where no delegate is heard.
pub(crate) const FANOUT: usize = 6;

impl Gossip {
    pub(crate) fn send_large_round(&self, duties: Duties) {
        if !duties.sums && !duties.heartbeat {
            return;
        }
        let peers = self.peers.relay_peers();
        let zone = &self.settings.zone;
        let near = peers.iter().filter(|peer| peer.zone == *zone);
        self.zone_nodes.set(near.count());
        let delegates = self.peers.delegates_among(&peers, zone);
        let is_other = |peer: &&RelayPeer| delegates.contains(&peer.name.as_str());
        let others = peers.iter().filter(is_other).map(|peer| peer.address);
        *self.near_delegates.borrow_mut() = others.collect();
        if delegates.contains(&self.settings.name.as_str()) {
            if duties.sums {
                self.tell_zone(&peers, &delegates, duties);
                self.tell_other_zones(&peers, &delegates, duties);
            }
            if duties.heartbeat {
                self.tell_silent_zones();
            }
            if duties.far {
                self.send_at_random(1);
            }
        } else if duties.heartbeat {
            self.send_to_delegates(duties.far);
        }
    }

    /// Sends this node's loads to the delegates of its zone. A life sign goes to a random node now
    /// and then, and to several while no delegate is heard.
    fn send_to_delegates(&self, far_too: bool) {
        let message = self.heartbeat(true, None);
        self.send(message, self.near_delegates.borrow().iter().copied());
        let fanout = match self.is_told() {
            true => usize::from(far_too),
            false => FANOUT,
        };
        self.send_at_random(fanout);
    }

    /// As a delegate, tells each node of the zone what all others do.
    fn tell_zone(&self, peers: &[RelayPeer], delegates: &[&str], duties: Duties) {
        let signs = duties.signs.then(|| self.peers.life_signs(None));
        let evacuated = match duties.signs {
            true => self.view.evacuated_work(&self.loads),
            false => Vec::new(),
        };
        let used = self.used.borrow();
        let zone = &self.settings.zone;
        let near: Vec<&RelayPeer> = peers.iter().filter(|peer| peer.zone == *zone).collect();
        let numbers: Vec<(u64, &[u32])> = near
            .iter()
            .map(|peer| node_number(&peer.name))
            .map(|number| (number, used.get(&number).map_or(&[][..], Vec::as_slice)))
            .collect();
        for (peer, loads) in near.iter().zip(self.loads.sums_without(&numbers)) {
            let message = match delegates.contains(&peer.name.as_str()) {
                // The other delegate sums up itself.
                true => self.heartbeat(true, signs.clone()),
                false => PacketKind::Summary(Summary {
                    levels: self.quotas.levels_for(node_number(&peer.name)),
                    loads,
                    waiting: self.loads.waiting.sum_without(node_number(&peer.name)),
                    signs: signs.clone(),
                    evacuated: evacuated.clone(),
                    ..self.summary()
                }),
            };
            self.send(message, [peer.address].into_iter());
        }
    }

    /// As a delegate, tells the delegates of other zones what this zone does: nodes of other zones
    /// use some servers of this one, and the other way round, and what they do not hear of they take
    /// for free.
    fn tell_other_zones(&self, peers: &[RelayPeer], delegates: &[&str], duties: Duties) {
        let (near, far) = self.other_delegates(peers, delegates);
        self.tell_delegates(peers, near, &self.digest, duties);
        if duties.regions && !far.is_empty() {
            self.tell_delegates(peers, far, &self.region_digest, duties);
        }
    }

    /// Delegates of other zones that this delegate tells: all of the region, and its part of those of other regions.
    pub(crate) fn other_delegates<'a>(
        &'a self,
        peers: &'a [RelayPeer],
        delegates: &[&str],
    ) -> (Vec<&'a str>, Vec<&'a str>) {
        let zone = self.settings.zone.as_str();
        let ways = self.view.ways();
        let others: BTreeSet<&str> = peers.iter().map(|peer| peer.zone.as_str()).collect();
        let others = others.into_iter().filter(|other| *other != zone);
        let (near, far): (Vec<&str>, Vec<&str>) = others.partition(|other| ways.is_near(other));
        let near = near
            .into_iter()
            .flat_map(|other| self.peers.delegates_among(peers, other));
        let own = delegates
            .iter()
            .position(|name| *name == self.settings.name);
        let far = far.into_iter().flat_map(|other| {
            let there = self.peers.delegates_among(peers, other);
            told_by(own.unwrap_or_default(), delegates.len(), there)
        });
        (near.collect(), far.collect())
    }

    /// Tells some delegates of other zones what this one does, as far as they do not know it.
    fn tell_delegates(
        &self,
        peers: &[RelayPeer],
        delegates: Vec<&str>,
        digest: &RefCell<ZoneDigest>,
        duties: Duties,
    ) {
        let zone = &self.settings.zone;
        let far = peers
            .iter()
            .filter(|peer| delegates.contains(&peer.name.as_str()));
        let told = digest.borrow_mut().next(self.loads.zone_sums(), duties.all);
        let message = PacketKind::Summary(Summary {
            of_zone: true,
            loads: told.loads,
            changes_only: told.changes_only,
            waiting: self.loads.waiting.zone_sum(),
            passed: self.quotas.zone_passed(duties.signs),
            heard_permille: (self.quotas.zone_heard() * 1_000.0) as u32,
            signs: duties.signs.then(|| self.peers.life_signs(Some(zone))),
            ..self.summary()
        });
        self.send(message, far.map(|peer| peer.address));
    }

    /// As a delegate, tells the delegates of zones that have fallen silent who lives here. They are those that the
    /// zone itself chose before. Once a cut between zones heals, both sides know of all nodes of the other after
    /// 0.6 s; by heartbeats to random nodes alone it took up to 3 s, and nodes of the one side took over jobs that
    /// run at the other.
    fn tell_silent_zones(&self) {
        let delegates = self.peers.silent_delegates();
        if delegates.is_empty() {
            return;
        }
        // Loads are told again once the zone is heard.
        let signs = self.peers.life_signs(Some(&self.settings.zone));
        let message = self.heartbeat(false, Some(signs));
        self.send(message, delegates.iter().map(|node| node.address));
    }

    /// Sends life signs to nodes chosen at random; where no delegate is heard they relay others.
    fn send_at_random(&self, fanout: usize) {
        if fanout == 0 {
            return;
        }
        let targets = self.peers.heartbeat_targets();
        let chosen = targets.choose_multiple(&mut rand::rng(), fanout);
        let message = match fanout == FANOUT {
            true => self.heartbeat(true, Some(self.peers.some_life_signs())),
            false => self.heartbeat(false, None),
        };
        self.send(message, chosen.map(|(address, _)| *address));
    }
}
