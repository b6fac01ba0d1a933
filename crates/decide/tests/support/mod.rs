//! Deterministic simulation of a network of membership state machines in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use dappleyard_decide::membership::{
    Action, Membership, MembershipSettings, MembershipStatus, REFUTATION_BITS,
};
use dappleyard_decide::time::Millis;
use dappleyard_wire::MAXIMUM_DATAGRAM_BYTES;
use dappleyard_wire::messages::{Datagram, Member, MemberState};
use prost::Message;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Tick interval of a node, in milliseconds.
pub const TICK_MS: u64 = 100;
/// Interval at which [`Network::run_until`] checks its condition, in milliseconds.
const CHECK_MS: u64 = 500;
const DIGEST_TICKS: u64 = 20;
/// One-way delay of a datagram, in milliseconds.
const DELAY_MS: u64 = 5;

pub struct Node {
    pub membership: Membership,
    pub running: bool,
    paused_until: Millis,
    queued: Vec<(SocketAddr, Datagram)>,
    start: u64,
}

pub struct Network {
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub loss: f64,
    /// Zones that exchange no datagrams with other zones.
    pub cut_zones: BTreeSet<String>,
    /// Deaths declared or learned, as pairs of observer and dead node.
    pub deaths: Vec<(usize, usize)>,
    pub datagrams: u64,
    pub largest_datagram: usize,
    zones: usize,
    in_flight: BTreeMap<(Millis, u64), (usize, usize, Datagram)>,
    sent: u64,
    random: ChaCha8Rng,
}

pub fn settings() -> MembershipSettings {
    MembershipSettings {
        probe_interval_ms: 1_000,
        probe_timeout_ms: 300,
        indirect_probes: 3,
        suspicion_ms: 3_000,
        vouch_ms: 8_000,
        forget_ms: 60_000,
    }
}

fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(10_000 + index).expect("few nodes");
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn name(index: usize) -> String {
    format!("node-{index:03}")
}

impl Network {
    /// Creates `count` nodes in `zones` zones that have the first two nodes as contacts.
    pub fn new(count: usize, zones: usize, seed: u64) -> Network {
        let mut network = Network {
            now: Millis(1_000_000),
            nodes: Vec::new(),
            loss: 0.0,
            cut_zones: BTreeSet::new(),
            deaths: Vec::new(),
            datagrams: 0,
            largest_datagram: 0,
            zones,
            in_flight: BTreeMap::new(),
            sent: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..count {
            let node = network.new_node(index, 1);
            network.nodes.push(node);
        }
        network
    }

    fn new_node(&self, index: usize, start: u64) -> Node {
        let own = Member {
            node: name(index),
            zone: self.zone(index),
            region: "region-1".to_owned(),
            gossip_address: address(index).to_string(),
            incarnation: start << REFUTATION_BITS,
            ..Member::default()
        };
        let mut membership = Membership::new(own, settings(), self.now);
        membership.set_contacts(vec![address(0), address(1)]);
        Node {
            membership,
            running: true,
            paused_until: Millis(0),
            queued: Vec::new(),
            start,
        }
    }

    pub fn zone(&self, index: usize) -> String {
        format!("zone-{}", index % self.zones)
    }

    /// Restarts a node with the same id.
    pub fn restart(&mut self, index: usize) {
        let start = self.nodes[index].start + 1;
        self.nodes[index] = self.new_node(index, start);
    }

    /// Announces the leave of a node and stops it.
    pub fn leave(&mut self, index: usize) {
        let actions = self.nodes[index].membership.leave(&mut self.random);
        self.perform(index, actions);
        self.nodes[index].running = false;
    }

    pub fn pause(&mut self, index: usize, milliseconds: u64) {
        self.nodes[index].paused_until = self.now.plus(milliseconds);
    }

    pub fn run(&mut self, milliseconds: u64) {
        let end = self.now.plus(milliseconds);
        while self.now < end {
            self.now = self.now.plus(1);
            self.deliver();
            // Offset the ticks of different nodes.
            for index in 0..self.nodes.len() {
                if (self.now.0 + index as u64 * 7).is_multiple_of(TICK_MS) && self.is_active(index)
                {
                    self.tick(index);
                }
            }
        }
    }

    /// Runs until a condition holds or the limit is reached; returns the elapsed time.
    pub fn run_until(&mut self, limit_ms: u64, holds: impl Fn(&Network) -> bool) -> Option<u64> {
        let from = self.now;
        while self.now.since(from) < limit_ms {
            if holds(self) {
                return Some(self.now.since(from));
            }
            self.run(CHECK_MS);
        }
        None
    }

    fn is_active(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.running && self.now >= node.paused_until
    }

    fn tick(&mut self, index: usize) {
        // After a pause the timer runs before the queued datagrams, as in a resumed process.
        let actions = self.nodes[index]
            .membership
            .tick(self.now, &mut self.random);
        self.perform(index, actions);
        if (self.now.0 / TICK_MS + index as u64).is_multiple_of(DIGEST_TICKS) {
            let actions = self.nodes[index].membership.send_digest(&mut self.random);
            self.perform(index, actions);
            self.full_sync(index);
        }
        for (from, datagram) in std::mem::take(&mut self.nodes[index].queued) {
            self.deliver_to(index, from, &datagram);
        }
    }

    /// Merges the full member list of a peer over a reliable link.
    fn full_sync(&mut self, index: usize) {
        let Some(peer) = self.nodes[index].membership.take_full_sync_peer() else {
            return;
        };
        let Some(peer) = (0..self.nodes.len()).find(|other| name(*other) == peer) else {
            return;
        };
        let (near, far) = (self.zone(index), self.zone(peer));
        if near != far && (self.cut_zones.contains(&near) || self.cut_zones.contains(&far)) {
            return;
        }
        let list = &self.nodes[peer].membership;
        let mut members: Vec<Member> = list.members().map(|e| e.member.clone()).collect();
        members.push(list.own().clone());
        let actions = self.nodes[index]
            .membership
            .merge_member_list(&members, self.now);
        self.perform(index, actions);
    }

    fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now.plus(1), 0));
        for (_, (from, to, datagram)) in std::mem::replace(&mut self.in_flight, later) {
            if self.is_active(to) {
                self.deliver_to(to, address(from), &datagram);
            } else if self.nodes[to].running {
                self.nodes[to].queued.push((address(from), datagram));
            }
        }
    }

    fn deliver_to(&mut self, to: usize, from: SocketAddr, datagram: &Datagram) {
        let membership = &mut self.nodes[to].membership;
        let actions = membership.receive(self.now, from, datagram, &mut self.random);
        self.perform(to, actions);
    }

    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.send(index, to, datagram),
                Action::Changed { member, .. } if member.state() == MemberState::MemberDead => {
                    let dead = (0..self.nodes.len()).find(|other| name(*other) == member.node);
                    self.deaths.extend(dead.map(|dead| (index, dead)));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, datagram: Datagram) {
        self.datagrams += 1;
        self.largest_datagram = self.largest_datagram.max(datagram.encoded_len());
        assert!(datagram.encoded_len() <= MAXIMUM_DATAGRAM_BYTES);
        let to = usize::from(to.port()) - 10_000;
        let (near, far) = (self.zone(from), self.zone(to));
        let cut = near != far && (self.cut_zones.contains(&near) || self.cut_zones.contains(&far));
        if cut || self.random.random_bool(self.loss) {
            return;
        }
        self.sent += 1;
        let due = self.now.plus(DELAY_MS);
        self.in_flight
            .insert((due, self.sent), (from, to, datagram));
    }

    /// State of node `of` as seen by node `by`.
    pub fn state_seen_by(&self, by: usize, of: usize) -> Option<MemberState> {
        let entry = self.nodes[by].membership.member(&name(of))?;
        Some(entry.member.state())
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|index| self.nodes[*index].running)
            .collect()
    }

    /// Whether all running nodes see exactly the running nodes as alive.
    pub fn views_match(&self) -> bool {
        let running = self.running();
        running.iter().all(|by| {
            (0..self.nodes.len()).filter(|of| of != by).all(|of| {
                let alive = self.state_seen_by(*by, of) == Some(MemberState::MemberAlive);
                alive == self.nodes[of].running
            })
        })
    }

    pub fn status(&self, index: usize) -> MembershipStatus {
        self.nodes[index].membership.status(self.now)
    }
}
