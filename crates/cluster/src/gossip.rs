//! Messages over UDP: who is there, and what work each node has at which server.
//!
//! In a small fleet every node sends heartbeats to every other. In a large one it sends them to the
//! delegates of its zone; these sum up, tell each other across zones, and tell each node of their
//! zone what all the others do. Where no delegate is heard, heartbeats go to random nodes and relay
//! what was heard, so that a fleet that has lost its delegates finds new ones.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_crashes::CrashTable;
use dappleyard_tenants::QuotaTable;
use prost::Message;
use tokio::net::UdpSocket;

use crate::cadence::{ROUND, duties, rounds_until_due};
use crate::health::StoreHealth;
use crate::loads::{LoadTable, node_number};
use crate::messages::{Heartbeat, LifeSigns, LoadChange, Packet, PacketKind, Summary};
use crate::pace::ChangePace;
use crate::peers::PeerTable;
use crate::view::View;
use crate::zone_digest::ZoneDigest;

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
    /// Requests under which servers ended.
    pub crashes: Arc<CrashTable>,
    /// Configuration and servers.
    pub view: Arc<View>,
    /// Whether the store answers this node's own calls.
    pub health: Arc<StoreHealth>,
    /// The node takes no new work and will end.
    pub leaving: Arc<AtomicBool>,
}

/// Messages of one node.
pub struct Gossip {
    pub(crate) settings: GossipSettings,
    pub(crate) socket: UdpSocket,
    pub(crate) peers: Arc<PeerTable>,
    pub(crate) loads: Arc<LoadTable>,
    pub(crate) quotas: Arc<QuotaTable>,
    pub(crate) crashes: Arc<CrashTable>,
    pub(crate) view: Arc<View>,
    pub(crate) health: Arc<StoreHealth>,
    pub(crate) leaving: Arc<AtomicBool>,
    /// When a delegate of the own zone last told of the fleet.
    pub(crate) told: Cell<Option<Instant>>,
    /// Servers that other nodes use, by the number of the node; none stand for all.
    pub(crate) used: RefCell<HashMap<u64, Vec<u32>>>,
    /// Addresses of the other delegates of the own zone, as of the last round.
    pub(crate) near_delegates: RefCell<Vec<SocketAddr>>,
    /// Other nodes of the own zone that are alive, as of the last round.
    pub(crate) zone_nodes: Cell<usize>,
    /// What other zones of the region were told of this one.
    pub(crate) digest: RefCell<ZoneDigest>,
    /// What zones of other regions were told.
    pub(crate) region_digest: RefCell<ZoneDigest>,
    /// Messages about loads that were sent.
    pub(crate) sequence: Cell<u64>,
    pub(crate) changes_told: Cell<u64>,
    /// The newest message about loads from each node: its life, and its place in that life.
    pub(crate) newest: RefCell<HashMap<u64, (u64, u64)>>,
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
            crashes: tables.crashes,
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
        let mut round = 0_u32;
        let mut rounds = 1;
        let mut next = Instant::now();
        let mut pace = ChangePace::new(Instant::now());
        loop {
            tokio::select! {
                () = dappleyard_clock::sleep_until(next) => {
                    round = round.wrapping_add(rounds);
                    self.send_round(round);
                    rounds = self.rounds_to_next(round);
                    next = Instant::now() + ROUND * rounds;
                }
                // News of requests under which servers end are told in the very next round.
                () = self.crashes.more_news(), if rounds > 1 => {
                    rounds = 1;
                    next = next.min(Instant::now() + ROUND);
                }
                () = self.loads.changed(), if !pace.is_pending() => pace.note_change(),
                () = dappleyard_clock::sleep_until(pace.next()), if pace.is_pending() => {
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

    /// Rounds until the next one in which there is something to tell. A node that is no delegate sleeps through
    /// most: it wakes seven times a second for messages of its own instead of 40 times.
    fn rounds_to_next(&self, round: u32) -> u32 {
        if self.crashes.has_news() {
            return 1;
        }
        let tells_sums = self.peers.is_large() && self.peers.is_delegate();
        rounds_until_due(round, self.zone_nodes.get(), tells_sums)
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
        self.tell_crashes(duties);
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
    pub(crate) fn is_told(&self) -> bool {
        let told = self.told.get();
        told.is_some_and(|at| at.elapsed() < DELEGATE_SILENCE)
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
            demands: self.loads.demand.own(),
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

    pub(crate) fn next_sequence(&self) -> u64 {
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

    pub(crate) fn send(&self, kind: PacketKind, targets: impl Iterator<Item = SocketAddr>) {
        let packet = Packet { kind: Some(kind) };
        let bytes = packet.encode_to_vec();
        for target in targets {
            // A datagram that is lost is made good by the next one; one that never fits is not.
            if let Err(error) = self.socket.try_send_to(&bytes, target) {
                self.peers.log.write("datagram_not_sent", || {
                    serde_json::json!({"to": target.to_string(), "bytes": bytes.len(),
                        "cause": error.to_string()})
                });
            }
        }
    }

    pub(crate) fn heartbeat(&self, with_loads: bool, signs: Option<LifeSigns>) -> PacketKind {
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
            demands: match with_loads {
                true => self.loads.demand.own(),
                false => Vec::new(),
            },
            sequence: self.next_sequence(),
            signs,
        })
    }

    /// A summary that names its sender and tells nothing yet.
    pub(crate) fn summary(&self) -> Summary {
        Summary {
            name: self.settings.name.clone(),
            life: self.settings.life,
            sequence: self.next_sequence(),
            ..Summary::default()
        }
    }
}
