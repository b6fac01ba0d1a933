//! Gossip over UDP: liveness of the nodes, and the load that each of them puts on the servers.
//!
//! In a small fleet every node sends heartbeats to every other. In a large one it sends them to the
//! delegates of its zone. These aggregate them, exchange the sums with delegates of other zones,
//! and send each node of their zone the load of all others. Without a live delegate, heartbeats go
//! to random nodes and relay liveness records, so that the remaining nodes can select new
//! delegates.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_crashes::CrashTable;
use dappleyard_streams::StreamTable;
use dappleyard_tenants::QuotaTable;
use prost::Message;
use tokio::net::UdpSocket;

use crate::cadence::{ROUND_INTERVAL, due_messages, rounds_until_due};
use crate::change_throttle::ChangeThrottle;
use crate::health::StoreHealth;
use crate::loads::{LoadTable, node_number};
use crate::messages::{Heartbeat, LivenessRecords, LoadChange, Packet, PacketKind, Summary};
use crate::peers::PeerTable;
use crate::view::View;
use crate::zone_digest::ZoneDigest;

/// Time without a summary after which a node assumes that it has no live delegate.
const DELEGATE_TIMEOUT: Duration = Duration::from_millis(600);
/// Fleet size assumed while no node row is known, so that a starting node does not use the whole of
/// each quota.
const ASSUMED_FLEET_SIZE: usize = 64;
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Identity and address of the sending node.
#[derive(Debug, Clone)]
pub struct GossipSettings {
    pub name: String,
    pub zone: String,
    /// Number of this run of the process.
    pub life: u64,
    /// Local address for sending and receiving.
    pub address: SocketAddr,
}

/// The tables that messages are built from and applied to.
pub struct GossipTables {
    pub peers: Arc<PeerTable>,
    pub loads: Arc<LoadTable>,
    pub quotas: Arc<QuotaTable>,
    /// Requests that crashed servers.
    pub crashes: Arc<CrashTable>,
    /// Where streams began.
    pub streams: Arc<StreamTable>,
    pub view: Arc<View>,
    /// Whether the store answers direct calls of this node.
    pub health: Arc<StoreHealth>,
    /// The node is draining and will shut down.
    pub leaving: Arc<AtomicBool>,
}

/// Gossip endpoint of one node.
pub struct Gossip {
    pub(crate) settings: GossipSettings,
    pub(crate) socket: UdpSocket,
    pub(crate) peers: Arc<PeerTable>,
    pub(crate) loads: Arc<LoadTable>,
    pub(crate) quotas: Arc<QuotaTable>,
    pub(crate) crashes: Arc<CrashTable>,
    pub(crate) streams: Arc<StreamTable>,
    pub(crate) view: Arc<View>,
    pub(crate) health: Arc<StoreHealth>,
    pub(crate) leaving: Arc<AtomicBool>,
    /// When a delegate of the own zone last sent a summary.
    pub(crate) last_summary_at: Cell<Option<Instant>>,
    /// Servers used by other nodes, by node number; an empty list stands for all.
    pub(crate) used_servers_by_node: RefCell<HashMap<u64, Vec<u32>>>,
    /// Addresses of the other delegates of the own zone, as of the last round.
    pub(crate) near_delegates: RefCell<Vec<SocketAddr>>,
    /// Other nodes of the own zone that are alive, as of the last round.
    pub(crate) zone_nodes: Cell<usize>,
    /// Sums of this zone last sent to the other zones of the region.
    pub(crate) zone_digest: RefCell<ZoneDigest>,
    /// Sums of this zone last sent to other regions.
    pub(crate) region_digest: RefCell<ZoneDigest>,
    /// Sequence number of the last load message sent.
    pub(crate) sequence: Cell<u64>,
    pub(crate) changes_sent: Cell<u64>,
    /// Run of each node that was heard last, by node number.
    pub(crate) runs_heard: RefCell<HashMap<u64, u64>>,
    /// Run and sequence number of the newest load message of each node.
    pub(crate) newest_sequences: RefCell<HashMap<u64, (u64, u64)>>,
}

impl Gossip {
    /// Binds the socket.
    pub async fn open(settings: GossipSettings, tables: GossipTables) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(settings.address).await?;
        Ok(Self {
            settings,
            socket,
            peers: tables.peers,
            loads: tables.loads,
            quotas: tables.quotas,
            crashes: tables.crashes,
            streams: tables.streams,
            view: tables.view,
            health: tables.health,
            leaving: tables.leaving,
            last_summary_at: Cell::new(None),
            used_servers_by_node: RefCell::default(),
            near_delegates: RefCell::default(),
            zone_nodes: Cell::new(0),
            zone_digest: RefCell::default(),
            region_digest: RefCell::new(ZoneDigest::coarse()),
            sequence: Cell::new(0),
            changes_sent: Cell::new(0),
            runs_heard: RefCell::default(),
            newest_sequences: RefCell::default(),
        })
    }

    /// Local address of the socket.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends and receives messages until the process ends.
    pub async fn run(&self) {
        let mut buffer = vec![0_u8; MAX_DATAGRAM_BYTES];
        let mut round = 0_u32;
        let mut rounds = 1;
        let mut next = Instant::now();
        let mut throttle = ChangeThrottle::new(Instant::now());
        loop {
            tokio::select! {
                () = dappleyard_clock::sleep_until(next) => {
                    round = round.wrapping_add(rounds);
                    self.send_round(round);
                    rounds = self.rounds_to_next(round);
                    next = Instant::now() + ROUND_INTERVAL * rounds;
                }
                // Records of crashing requests are sent in the very next round.
                () = self.crashes.wait_for_updates(), if rounds > 1 => {
                    rounds = 1;
                    next = next.min(Instant::now() + ROUND_INTERVAL);
                }
                // A caller waits for the answers.
                () = self.streams.wait_for_questions() => {
                    self.send_stream_questions();
                    rounds = 1;
                    next = next.min(Instant::now() + ROUND_INTERVAL);
                }
                () = self.streams.wait_for_begun(), if rounds > 1 => {
                    rounds = 1;
                    next = next.min(Instant::now() + ROUND_INTERVAL);
                }
                () = self.loads.changed(), if !throttle.is_pending() => throttle.note_change(),
                () = dappleyard_clock::sleep_until(throttle.next()), if throttle.is_pending() => {
                    // Sent early to keep other nodes from filling the same slots.
                    throttle.note_sent(Instant::now());
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

    /// Rounds until the next one in which a message is due. Skipping idle rounds cuts the wakeups
    /// of a node that is not a delegate from 40 to 7 a second.
    fn rounds_to_next(&self, round: u32) -> u32 {
        if self.crashes.has_updates() || self.streams.has_questions() {
            return 1;
        }
        let sends_sums = self.peers.is_large() && self.peers.is_delegate();
        rounds_until_due(round, self.zone_nodes.get(), sends_sums)
    }

    fn send_round(&self, round: u32) {
        let due_messages = due_messages(round, self.zone_nodes.get());
        if due_messages.heartbeat {
            self.update_quota_share();
        }
        if self.peers.is_large() {
            self.send_large_round(due_messages);
        } else if due_messages.heartbeat {
            self.send_to_all(due_messages.far);
        }
        self.send_crash_news(due_messages);
        self.send_stream_news();
        self.send_stream_questions();
        if due_messages.far {
            self.peers.log_silent();
        }
    }

    /// Reports to the quotas which share of the fleet's requests this node knows.
    fn update_quota_share(&self) {
        if let Some(configuration) = self.view.configuration() {
            self.quotas.apply_configuration(&configuration);
        }
        let expected = match self.peers.row_count() {
            0 => ASSUMED_FLEET_SIZE,
            _ => self.peers.expected(),
        };
        let aggregates = !self.peers.is_large() || self.peers.is_delegate();
        let known = match (aggregates, self.has_recent_summary()) {
            (true, _) => self.peers.count(),
            (false, true) => expected,
            (false, false) => 1,
        };
        let share = (known as f64 / expected as f64).min(1.0);
        self.quotas.set_role(aggregates, share);
    }

    /// Whether a delegate of the own zone sent a summary within `DELEGATE_TIMEOUT`.
    pub(crate) fn has_recent_summary(&self) -> bool {
        let last_summary_at = self.last_summary_at.get();
        last_summary_at.is_some_and(|at| at.elapsed() < DELEGATE_TIMEOUT)
    }

    /// Sends changed loads immediately: to all nodes in a small fleet, to the delegates of the zone
    /// in a large one.
    fn send_change(&self) {
        self.changes_sent.set(self.changes_sent.get() + 1);
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

    /// Number of load changes sent outside of heartbeats.
    pub fn changes_sent(&self) -> u64 {
        self.changes_sent.get()
    }

    pub(crate) fn next_sequence(&self) -> u64 {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        sequence
    }

    fn send_to_all(&self, include_far: bool) {
        let targets = self.peers.heartbeat_targets().into_iter();
        let targets = targets.filter(|(_, near)| *near || include_far);
        let message = self.heartbeat(true, None);
        self.send(message, targets.map(|(address, _)| address));
    }

    pub(crate) fn send(&self, kind: PacketKind, targets: impl Iterator<Item = SocketAddr>) {
        let packet = Packet { kind: Some(kind) };
        let bytes = packet.encode_to_vec();
        for target in targets {
            // A lost datagram is made up for by the next message. One that is too long is never
            // sent, so the error is logged.
            if let Err(error) = self.socket.try_send_to(&bytes, target) {
                self.peers.log.write("datagram_not_sent", || {
                    serde_json::json!({"to": target.to_string(), "bytes": bytes.len(),
                        "cause": error.to_string()})
                });
            }
        }
    }

    pub(crate) fn heartbeat(&self, with_loads: bool, signs: Option<LivenessRecords>) -> PacketKind {
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

    /// An empty summary with the identity of its sender.
    pub(crate) fn summary(&self) -> Summary {
        Summary {
            name: self.settings.name.clone(),
            life: self.settings.life,
            sequence: self.next_sequence(),
            ..Summary::default()
        }
    }
}
