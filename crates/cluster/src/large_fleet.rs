//! Message routing in a large fleet: nodes send to the delegates of their zone; delegates send to
//! their zone and to the delegates of other zones.

use std::cell::RefCell;
use std::net::SocketAddr;

use rand::seq::IndexedRandom;

use crate::cadence::DueMessages;
use crate::delegates::cross_region_receivers;
use crate::gossip::Gossip;
use crate::loads::node_number;
use crate::messages::{ExtraLiveness, LivenessRecords, PacketKind, Summary};
use crate::peers::RelayPeer;
use crate::roster::Roster;
use crate::zone_digest::ZoneDigest;

/// Number of random nodes that receive a heartbeat while no delegate is heard.
pub(crate) const FANOUT: usize = 6;

impl Gossip {
    pub(crate) fn send_large_round(&self, due_messages: DueMessages) {
        if !due_messages.sums && !due_messages.heartbeat {
            return;
        }
        let roster = self.peers.roster();
        self.zone_nodes.set(roster.own_zone_peers().count());
        let others = roster.delegate_peers(&self.settings.zone);
        *self.near_delegates.borrow_mut() = others.map(|peer| peer.address).collect();
        if roster.own_delegate_index().is_some() {
            if due_messages.sums {
                self.send_zone_summaries(&roster, due_messages);
                self.send_to_other_zones(&roster, due_messages);
            }
            if due_messages.heartbeat {
                self.send_to_silent_zones();
            }
            if due_messages.far {
                self.send_at_random(1);
            }
        } else if due_messages.heartbeat {
            self.send_to_delegates(due_messages.far);
        }
    }

    /// Sends this node's loads to the delegates of its zone. With `include_far`, one random node
    /// gets a heartbeat too; while no delegate is heard, `FANOUT` random nodes do in each call.
    fn send_to_delegates(&self, include_far: bool) {
        let message = self.heartbeat(true, None);
        self.send(message, self.near_delegates.borrow().iter().copied());
        let fanout = match self.has_recent_summary() {
            true => usize::from(include_far),
            false => FANOUT,
        };
        self.send_at_random(fanout);
    }

    /// As a delegate, sends each node of the zone the load of all others.
    fn send_zone_summaries(&self, roster: &Roster, due_messages: DueMessages) {
        let (signs, remaining) = self.due_liveness(None, due_messages);
        let evacuated = match due_messages.liveness {
            true => self.view.evacuated_work(&self.loads),
            false => Vec::new(),
        };
        let used = self.used_servers_by_node.borrow();
        let delegates = roster.delegates(&self.settings.zone);
        let near: Vec<&RelayPeer> = roster.own_zone_peers().collect();
        let numbers: Vec<(u64, &[u32])> = near
            .iter()
            .map(|peer| node_number(&peer.name))
            .map(|number| (number, used.get(&number).map_or(&[][..], Vec::as_slice)))
            .collect();
        let all: Vec<u64> = numbers.iter().map(|(number, _)| *number).collect();
        let sums = self.loads.sums_without(&numbers);
        let sums = sums.into_iter().zip(self.loads.demand.sums_without(&all));
        for (peer, (loads, demands)) in near.iter().zip(sums) {
            let message = match delegates.contains(&peer.name) {
                // Another delegate adds up the loads of the zone itself.
                true => self.heartbeat(true, signs.clone()),
                false => PacketKind::Summary(Summary {
                    levels: self.quotas.levels_for(node_number(&peer.name)),
                    loads,
                    waiting: self.loads.waiting.sum_without(node_number(&peer.name)),
                    demands,
                    signs: signs.clone(),
                    evacuated: evacuated.clone(),
                    ..self.summary()
                }),
            };
            self.send(message, [peer.address].into_iter());
        }
        let addresses: Vec<SocketAddr> = near.iter().map(|peer| peer.address).collect();
        self.send_extra_liveness(remaining, &addresses);
    }

    /// Liveness records of one zone, or of all, if they are due: the first batch, which is attached
    /// to another message, and the remaining ones.
    fn due_liveness(
        &self,
        zone: Option<&str>,
        due_messages: DueMessages,
    ) -> (Option<LivenessRecords>, Vec<LivenessRecords>) {
        if !due_messages.liveness {
            return (None, Vec::new());
        }
        let mut signs = self.peers.liveness_records(zone).into_iter();
        (signs.next(), signs.collect())
    }

    fn send_extra_liveness(&self, signs: Vec<LivenessRecords>, targets: &[SocketAddr]) {
        for signs in signs {
            let message = PacketKind::ExtraLiveness(ExtraLiveness {
                name: self.settings.name.clone(),
                life: self.settings.life,
                sequence: self.next_sequence(),
                signs: Some(signs),
            });
            self.send(message, targets.iter().copied());
        }
    }

    /// As a delegate, sends the load sums of this zone to the delegates of other zones, whose nodes
    /// use some servers of this zone too.
    fn send_to_other_zones(&self, roster: &Roster, due_messages: DueMessages) {
        let (near, far) = self.other_delegates(roster);
        self.send_zone_sums(near, &self.zone_digest, due_messages);
        if due_messages.regions && !far.is_empty() {
            self.send_zone_sums(far, &self.region_digest, due_messages);
        }
    }

    /// Delegates of other zones to which this delegate sends: first all those of the own region,
    /// then its share of those of other regions.
    pub(crate) fn other_delegates<'a>(
        &self,
        roster: &'a Roster,
    ) -> (Vec<&'a RelayPeer>, Vec<&'a RelayPeer>) {
        let zone = self.settings.zone.as_str();
        let zone_distances = self.view.zone_distances();
        let others = roster.zones().filter(|other| *other != zone);
        let (near, far): (Vec<&str>, Vec<&str>) =
            others.partition(|other| zone_distances.is_near(other));
        let near = near
            .into_iter()
            .flat_map(|other| roster.delegate_peers(other));
        let own = roster.own_delegate_index().unwrap_or_default();
        let senders = roster.delegates(zone).len();
        let far = far.into_iter().flat_map(|other| {
            let receivers = roster.delegates(other).iter().map(String::as_str);
            cross_region_receivers(own, senders, receivers.collect())
        });
        let far = far.filter_map(|name| roster.peer(name));
        (near.collect(), far.collect())
    }

    /// Sends some delegates of other zones the sums that they do not have yet.
    fn send_zone_sums(
        &self,
        delegates: Vec<&RelayPeer>,
        digest: &RefCell<ZoneDigest>,
        due_messages: DueMessages,
    ) {
        let zone = &self.settings.zone;
        let message_sums = digest
            .borrow_mut()
            .next(self.loads.zone_sums(), due_messages.all);
        let (signs, remaining) = self.due_liveness(Some(zone), due_messages);
        let message = PacketKind::Summary(Summary {
            of_zone: true,
            loads: message_sums.loads,
            changes_only: message_sums.changes_only,
            waiting: self.loads.waiting.zone_sum(),
            demands: self.loads.demand.zone_sum(),
            passed: self.quotas.zone_passed(due_messages.liveness),
            heard_permille: (self.quotas.zone_heard() * 1_000.0) as u32,
            signs,
            ..self.summary()
        });
        let addresses: Vec<SocketAddr> = delegates.iter().map(|peer| peer.address).collect();
        self.send(message, addresses.iter().copied());
        self.send_extra_liveness(remaining, &addresses);
    }

    /// As a delegate, sends the liveness records of this zone to the last known delegates of silent
    /// zones. Without it, the two sides of a healed partition rediscover each other slowly, and one
    /// side may take over jobs that still run on the other.
    fn send_to_silent_zones(&self) {
        let delegates = self.peers.silent_delegates();
        if delegates.is_empty() {
            return;
        }
        // The heartbeat holds no loads; these are sent again once the zone is heard.
        let addresses: Vec<SocketAddr> = delegates.iter().map(|node| node.address).collect();
        let mut signs = self
            .peers
            .liveness_records(Some(&self.settings.zone))
            .into_iter();
        let message = self.heartbeat(false, signs.next());
        self.send(message, addresses.iter().copied());
        self.send_extra_liveness(signs.collect(), &addresses);
    }

    /// Sends a heartbeat to random nodes; with `FANOUT` nodes it relays liveness records.
    fn send_at_random(&self, fanout: usize) {
        if fanout == 0 {
            return;
        }
        let targets = self.peers.heartbeat_targets();
        let chosen = targets.choose_multiple(&mut rand::rng(), fanout);
        let message = match fanout == FANOUT {
            true => self.heartbeat(true, Some(self.peers.sample_liveness_records())),
            false => self.heartbeat(false, None),
        };
        self.send(message, chosen.map(|(address, _)| *address));
    }
}
