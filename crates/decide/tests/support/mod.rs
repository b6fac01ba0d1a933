//! A network of membership state machines in virtual time, deterministic for a seed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use dappleyard_decide::membership::{
    Action, Membership, MembershipSettings, REFUTATION_BITS, Standing,
};
use dappleyard_decide::time::Millis;
use dappleyard_wire::MAXIMUM_DATAGRAM_BYTES;
use dappleyard_wire::messages::{Datagram, Member, MemberState};
use prost::Message;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between two ticks of a node, milliseconds.
pub const TICK_MS: u64 = 100;
/// Time between two looks at a condition, milliseconds.
const CHECK_MS: u64 = 500;
/// Ticks between two digests of a node.
const DIGEST_TICKS: u64 = 20;
/// One-way delay of a datagram, milliseconds.
const DELAY_MS: u64 = 5;

pub struct Node {
    pub membership: Membership,
    pub running: bool,
    paused_until: Millis,
    held: Vec<(SocketAddr, Datagram)>,
    start: u64,
}

pub struct Network {
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub loss: f64,
    /// Zones of which no datagram goes in or out.
    pub cut_zones: BTreeSet<String>,
    /// Statements by a node that another one is dead: (by, of).
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
    /// `count` nodes, spread over `zones` zones, that all know the address of the first one.
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
            let node = network.fresh_node(index, 1);
            network.nodes.push(node);
        }
        network
    }

    fn fresh_node(&self, index: usize, start: u64) -> Node {
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
            held: Vec::new(),
            start,
        }
    }

    pub fn zone(&self, index: usize) -> String {
        format!("zone-{}", index % self.zones)
    }

    /// Starts a node anew under the same id.
    pub fn restart(&mut self, index: usize) {
        let start = self.nodes[index].start + 1;
        self.nodes[index] = self.fresh_node(index, start);
    }

    /// Stops a node with its announcement.
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
            // Nodes tick at different phases.
            for index in 0..self.nodes.len() {
                if (self.now.0 + index as u64 * 7).is_multiple_of(TICK_MS) && self.acts(index) {
                    self.tick(index);
                }
            }
        }
    }

    /// Runs until a condition holds, at most this long; says how long it took.
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

    fn acts(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.running && self.now >= node.paused_until
    }

    fn tick(&mut self, index: usize) {
        // Like a process that wakes: its timer runs before the datagrams that queued up.
        let actions = self.nodes[index]
            .membership
            .tick(self.now, &mut self.random);
        self.perform(index, actions);
        if (self.now.0 / TICK_MS + index as u64).is_multiple_of(DIGEST_TICKS) {
            let actions = self.nodes[index].membership.send_digest(&mut self.random);
            self.perform(index, actions);
            self.fetch_list(index);
        }
        for (from, datagram) in std::mem::take(&mut self.nodes[index].held) {
            self.hand_over(index, from, &datagram);
        }
    }

    /// Asks a member whose list differs for all of it, which goes over a link without loss.
    fn fetch_list(&mut self, index: usize) {
        let Some(peer) = self.nodes[index].membership.take_differing() else {
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
        let actions = self.nodes[index].membership.learn_all(&members, self.now);
        self.perform(index, actions);
    }

    fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now.plus(1), 0));
        for (_, (from, to, datagram)) in std::mem::replace(&mut self.in_flight, later) {
            if self.acts(to) {
                self.hand_over(to, address(from), &datagram);
            } else if self.nodes[to].running {
                self.nodes[to].held.push((address(from), datagram));
            }
        }
    }

    fn hand_over(&mut self, to: usize, from: SocketAddr, datagram: &Datagram) {
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

    /// What node `by` believes of node `of`.
    pub fn belief(&self, by: usize, of: usize) -> Option<MemberState> {
        let entry = self.nodes[by].membership.member(&name(of))?;
        Some(entry.member.state())
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|index| self.nodes[*index].running)
            .collect()
    }

    /// Whether all running nodes believe all running nodes alive, and no other.
    pub fn agrees(&self) -> bool {
        let running = self.running();
        running.iter().all(|by| {
            (0..self.nodes.len()).filter(|of| of != by).all(|of| {
                let alive = self.belief(*by, of) == Some(MemberState::MemberAlive);
                alive == self.nodes[of].running
            })
        })
    }

    pub fn standing(&self, index: usize) -> Standing {
        self.nodes[index].membership.standing(self.now)
    }
}
