//! Messages over UDP: who is there, and what work each node has at which server.
//!
//! In a small fleet every node sends heartbeats to every other. In a large one it sends them to the
//! delegates of its zone; these sum up, tell each other across zones, and tell each node of their
//! zone what all the others do. Where no delegate is heard, heartbeats go to random nodes and relay
//! what was heard, so that a fleet that has lost its delegates finds new ones.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dappleyard_tenants::{QuotaTable, ZonePassed};
use prost::Message;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::cadence::{Duties, ROUND, duties};
use crate::delegates::told_by;
use crate::health::StoreHealth;
use crate::loads::{LoadTable, node_number};
use crate::messages::{Heartbeat, LifeSigns, LoadChange, Packet, PacketKind, Summary};
use crate::pace::ChangePace;
use crate::peers::{PeerTable, RelayPeer};
use crate::server_loads::Source;
use crate::view::View;
use crate::zone_digest::ZoneDigest;

/// Random nodes that a heartbeat goes to where no delegate is heard.
const FANOUT: usize = 6;
/// Time after which a delegate that says nothing is not counted on.
const DELEGATE_SILENCE: Duration = Duration::from_millis(600);
/// Nodes that there may be while no row of any is known: a node that has just begun must not take the
/// whole of each quota for its own.
const UNKNOWN_FLEET: usize = 64;
/// Longest datagram.
const DATAGRAM_BYTES: usize = 16 * 1024;

/// Who sends the heartbeats.
#[derive(Debug, Clone)]
pub struct GossipSettings {
    /// Name of this node.
    pub name: String,
    /// Zone of this node.
    pub zone: String,
    /// Number of this life of the process.
    pub life: u64,
    /// Address to send from and to listen on.
    pub address: SocketAddr,
}

/// What the messages tell of, and what they change.
pub struct GossipTables {
    /// The other nodes.
    pub peers: Arc<PeerTable>,
    /// Work at servers.
    pub loads: Arc<LoadTable>,
    /// Quotas of tenants.
    pub quotas: Arc<QuotaTable>,
    /// Configuration and servers.
    pub view: Arc<View>,
    /// Whether the store answers this node's own calls.
    pub health: Arc<StoreHealth>,
    /// The node takes no new work and will end.
    pub leaving: Arc<AtomicBool>,
}

/// Messages of one node.
pub struct Gossip {
    settings: GossipSettings,
    socket: UdpSocket,
    peers: Arc<PeerTable>,
    loads: Arc<LoadTable>,
    quotas: Arc<QuotaTable>,
    view: Arc<View>,
    health: Arc<StoreHealth>,
    leaving: Arc<AtomicBool>,
    /// When a delegate of the own zone last told of the fleet.
    told: Cell<Option<Instant>>,
    /// Servers that other nodes use, by the number of the node; none stand for all.
    used: RefCell<HashMap<u64, Vec<u32>>>,
    /// Addresses of the other delegates of the own zone, as of the last round.
    near_delegates: RefCell<Vec<SocketAddr>>,
    /// Other nodes of the own zone that are alive, as of the last round.
    zone_nodes: Cell<usize>,
    /// What other zones of the region were told of this one.
    digest: RefCell<ZoneDigest>,
    /// What zones of other regions were told.
    region_digest: RefCell<ZoneDigest>,
    /// Messages about loads that were sent.
    sequence: Cell<u64>,
    changes_told: Cell<u64>,
    /// The newest message about loads from each node: its life, and its place in that life.
    newest: RefCell<HashMap<u64, (u64, u64)>>,
}

impl Gossip {
    /// Opens the socket.
    pub async fn open(settings: GossipSettings, tables: GossipTables) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(settings.address).await?;
        Ok(Self {
            settings,
            socket,
            peers: tables.peers,
            loads: tables.loads,
            quotas: tables.quotas,
            view: tables.view,
            health: tables.health,
            leaving: tables.leaving,
            told: Cell::new(None),
            used: RefCell::default(),
            near_delegates: RefCell::default(),
            zone_nodes: Cell::new(0),
            digest: RefCell::default(),
            region_digest: RefCell::new(ZoneDigest::coarse()),
            sequence: Cell::new(0),
            changes_told: Cell::new(0),
            newest: RefCell::default(),
        })
    }

    /// Where messages are received.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends and receives messages until the process ends.
    pub async fn run(&self) {
        let mut buffer = vec![0_u8; DATAGRAM_BYTES];
        let mut ticks = tokio::time::interval(ROUND);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut round = 0_u32;
        let mut pace = ChangePace::new(Instant::now());
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    round = round.wrapping_add(1);
                    self.send_round(round);
                }
                () = self.loads.changed(), if !pace.is_pending() => pace.note_change(),
                () = tokio::time::sleep_until(pace.next()), if pace.is_pending() => {
                    // The others must not fill the same slots.
                    pace.note_told(Instant::now());
                    self.send_change();
                }
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, sender)) = received {
                        self.receive(&buffer[..length], sender);
                    }
                }
            }
        }
    }

    fn send_round(&self, round: u32) {
        let duties = duties(round, self.zone_nodes.get());
        if duties.heartbeat {
            self.note_standing();
        }
        if self.peers.is_large() {
            self.send_large_round(duties);
        } else if duties.heartbeat {
            self.send_to_all(duties.far);
        }
        if duties.far {
            self.peers.log_silent();
        }
    }

    /// Tells the quotas which part of the fleet's requests this node knows of.
    fn note_standing(&self) {
        if let Some(configuration) = self.view.configuration() {
            self.quotas.adopt(&configuration);
        }
        let expected = match self.peers.listed() {
            0 => UNKNOWN_FLEET,
            _ => self.peers.expected(),
        };
        let sums = !self.peers.is_large() || self.peers.is_delegate();
        let known = match (sums, self.is_told()) {
            (true, _) => self.peers.count(),
            (false, true) => expected,
            (false, false) => 1,
        };
        let share = (known as f64 / expected as f64).min(1.0);
        self.quotas.set_standing(sums, share);
    }

    /// Whether a delegate has told of the fleet lately.
    fn is_told(&self) -> bool {
        let told = self.told.get();
        told.is_some_and(|at| at.elapsed() < DELEGATE_SILENCE)
    }

    fn send_large_round(&self, duties: Duties) {
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

    /// Tells of changed work at once: all nodes in a small fleet, the delegates of the zone in a large
    /// one.
    fn send_change(&self) {
        self.changes_told.set(self.changes_told.get() + 1);
        let change = PacketKind::LoadChange(LoadChange {
            node: node_number(&self.settings.name),
            life: self.settings.life,
            sequence: self.next_sequence(),
            loads: self.loads.take_changes(),
            passed: self.quotas.passed(),
        });
        if !self.peers.is_large() {
            let targets = self.peers.heartbeat_targets().into_iter();
            self.send(change, targets.map(|(address, _)| address));
            return;
        }
        self.send(change, self.near_delegates.borrow().iter().copied());
    }

    /// How often changed work was told beside the heartbeats.
    pub fn changes_told(&self) -> u64 {
        self.changes_told.get()
    }

    fn next_sequence(&self) -> u64 {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        sequence
    }

    fn send_to_all(&self, far_too: bool) {
        let targets = self.peers.heartbeat_targets().into_iter();
        let targets = targets.filter(|(_, near)| *near || far_too);
        let message = self.heartbeat(true, None);
        self.send(message, targets.map(|(address, _)| address));
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
        let zone = self.settings.zone.as_str();
        let ways = self.view.ways();
        let others: BTreeSet<&str> = peers.iter().map(|peer| peer.zone.as_str()).collect();
        let others = others.into_iter().filter(|other| *other != zone);
        let (near, far): (Vec<&str>, Vec<&str>) = others.partition(|other| ways.is_near(other));
        let near = near
            .into_iter()
            .flat_map(|other| self.peers.delegates_among(peers, other));
        self.tell_delegates(peers, near.collect(), &self.digest, duties);
        if !duties.regions || far.is_empty() {
            return;
        }
        let own = delegates
            .iter()
            .position(|name| *name == self.settings.name);
        let far = far.into_iter().flat_map(|other| {
            let there = self.peers.delegates_among(peers, other);
            told_by(own.unwrap_or_default(), delegates.len(), there)
        });
        self.tell_delegates(peers, far.collect(), &self.region_digest, duties);
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

    fn send(&self, kind: PacketKind, targets: impl Iterator<Item = SocketAddr>) {
        let packet = Packet { kind: Some(kind) };
        let bytes = packet.encode_to_vec();
        for target in targets {
            // A datagram that is lost is made good by the next one.
            let _ = self.socket.try_send_to(&bytes, target);
        }
    }

    fn heartbeat(&self, with_loads: bool, signs: Option<LifeSigns>) -> PacketKind {
        let store_age = self.view.store_age().unwrap_or(Duration::from_secs(3600));
        PacketKind::Heartbeat(Heartbeat {
            name: self.settings.name.clone(),
            life: self.settings.life,
            ready: self.view.is_ready(),
            leaving: self.leaving.load(Ordering::Relaxed),
            store_age_ms: u32::try_from(store_age.as_millis()).unwrap_or(u32::MAX),
            loads: match with_loads {
                true => self.loads.own_entries(),
                false => Vec::new(),
            },
            direct_age_ms: self.health.age().map_or(0, |age| {
                u32::try_from(age.as_millis()).unwrap_or(u32::MAX - 1) + 1
            }),
            used: match with_loads {
                true => self.view.used_servers(),
                false => Vec::new(),
            },
            waiting: self.loads.waiting.own(),
            tells_loads: with_loads,
            passed: match with_loads {
                true => self.quotas.passed(),
                false => Vec::new(),
            },
            sequence: self.next_sequence(),
            signs,
        })
    }

    /// A summary that names its sender and tells nothing yet.
    fn summary(&self) -> Summary {
        Summary {
            name: self.settings.name.clone(),
            life: self.settings.life,
            sequence: self.next_sequence(),
            ..Summary::default()
        }
    }

    fn receive(&self, datagram: &[u8], sender: SocketAddr) {
        let packet = Packet::decode(datagram).ok();
        match packet.and_then(|packet| packet.kind) {
            Some(PacketKind::Heartbeat(heartbeat)) => {
                self.peers.meet(&heartbeat, sender);
                self.receive_heartbeat(heartbeat);
            }
            Some(PacketKind::Summary(summary)) => self.receive_summary(summary),
            Some(PacketKind::LoadChange(change)) => self.receive_change(change),
            None => {}
        }
    }

    fn receive_heartbeat(&self, heartbeat: Heartbeat) {
        if heartbeat.name == self.settings.name || !self.peers.heard(&heartbeat) {
            return;
        }
        if let Some(signs) = &heartbeat.signs {
            self.peers.take_life_signs(signs);
        }
        let large = self.peers.is_large();
        let summed = self.is_told();
        // A life sign sent at random tells nothing of loads.
        let delegate = self.peers.is_delegate();
        if large && ((summed && !delegate) || !heartbeat.tells_loads) {
            return;
        }
        let number = node_number(&heartbeat.name);
        if !self.is_newest(number, heartbeat.life, heartbeat.sequence) {
            return;
        }
        if large {
            self.used.borrow_mut().insert(number, heartbeat.used);
        }
        self.quotas
            .note_node(number, heartbeat.life, &heartbeat.passed);
        let source = Source::Node(number);
        if self.waits_near(&heartbeat.name) {
            self.loads.waiting.set_source(source, heartbeat.waiting);
        }
        self.loads.set_source(source, heartbeat.loads);
    }

    /// Whether the items that a node tells of wait for the same servers as this node's own: those of other
    /// regions wait for other servers.
    fn waits_near(&self, name: &str) -> bool {
        let ways = self.view.ways();
        if !ways.has_regions() {
            return true;
        }
        let zone = self.peers.zone_of(name).unwrap_or_default();
        ways.is_near(&zone)
    }

    /// Whether a message about loads is newer than all before it from its node.
    fn is_newest(&self, node: u64, life: u64, sequence: u64) -> bool {
        let mut newest = self.newest.borrow_mut();
        let held = newest.entry(node).or_default();
        let newer = held.0 != life || held.1 < sequence;
        if newer {
            *held = (life, sequence);
        }
        newer
    }

    fn receive_change(&self, change: LoadChange) {
        let listens = !self.peers.is_large() || self.peers.is_delegate();
        // A heartbeat makes a life known before its changes count.
        let newest = self.newest.borrow().get(&change.node).copied();
        let known = newest.is_some_and(|(life, _)| life == change.life);
        if listens && known && self.is_newest(change.node, change.life, change.sequence) {
            self.quotas
                .note_node(change.node, change.life, &change.passed);
            let source = Source::Node(change.node);
            self.loads.change_source(source, change.loads);
        }
    }

    fn receive_summary(&self, summary: Summary) {
        let (name, life, sequence) = (&summary.name, summary.life, summary.sequence);
        if !self.peers.heard_from(name, life, sequence) {
            return;
        }
        if let Some(signs) = &summary.signs {
            self.peers.take_life_signs(signs);
        }
        let delegate = self.peers.is_delegate();
        match (summary.of_zone, delegate) {
            (true, true) => {
                let zone = self.peers.zone_of(&summary.name).unwrap_or_default();
                let delegate = (node_number(&summary.name), summary.life);
                let told = ZonePassed {
                    counts: &summary.passed,
                    heard_part: f64::from(summary.heard_permille) / 1_000.0,
                };
                let later = self.view.ways().extra(&zone) / 2;
                let number = node_number(&zone);
                self.quotas.note_zone(number, delegate, &told, later);
                let source = Source::Zone(node_number(&zone));
                if self.waits_near(&summary.name) {
                    self.loads.waiting.set_source(source, summary.waiting);
                }
                match summary.changes_only {
                    true => self.loads.merge_source(source, summary.loads),
                    false => self.loads.set_source(source, summary.loads),
                }
            }
            (false, false) => {
                self.told.set(Some(Instant::now()));
                self.loads.zones.note(summary.evacuated);
                self.quotas.note_levels(&summary.levels);
                self.loads
                    .waiting
                    .set_source(Source::Fleet, summary.waiting);
                self.loads.set_source(Source::Fleet, summary.loads);
            }
            // Two nodes may for a moment think differently of who the delegates are.
            _ => {}
        }
    }
}
