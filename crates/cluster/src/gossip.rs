//! Heartbeats over UDP: who is there, and what work each node has at which server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;

use crate::health::StoreHealth;
use crate::loads::{LoadTable, node_number};
use crate::messages::Heartbeat;
use crate::peers::{ALL_HEARD, PeerTable};
use crate::view::View;
use tokio::time::Instant;

/// Time between heartbeats to nodes of the own zone.
const NEAR_PERIOD: Duration = Duration::from_millis(150);
/// Heartbeats to nodes of other zones are sent each so many periods.
const FAR_EVERY: u32 = 3;
/// Shortest time between heartbeats that tell of changed batch work.
const SHORTEST_GAP: Duration = Duration::from_millis(15);
/// Nodes that one round of heartbeats goes to in a fleet where not every node hears every other.
const FANOUT: usize = 6;
/// Longest datagram.
const DATAGRAM_BYTES: usize = 8 * 1024;

/// Who sends the heartbeats.
#[derive(Debug, Clone)]
pub struct GossipSettings {
    /// Name of this node.
    pub name: String,
    /// Number of this life of the process.
    pub life: u64,
    /// Address to send from and to listen on.
    pub address: SocketAddr,
}

/// Heartbeats of one node.
pub struct Gossip {
    settings: GossipSettings,
    socket: UdpSocket,
    peers: Arc<PeerTable>,
    loads: Arc<LoadTable>,
    view: Arc<View>,
    health: Arc<StoreHealth>,
    leaving: Arc<std::sync::atomic::AtomicBool>,
}

impl Gossip {
    /// Opens the socket.
    pub async fn open(
        settings: GossipSettings,
        peers: Arc<PeerTable>,
        loads: Arc<LoadTable>,
        view: Arc<View>,
        health: Arc<StoreHealth>,
        leaving: Arc<std::sync::atomic::AtomicBool>,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(settings.address).await?;
        Ok(Self {
            settings,
            socket,
            peers,
            loads,
            view,
            health,
            leaving,
        })
    }

    /// Sends and receives heartbeats until the process ends.
    pub async fn run(&self) {
        let mut buffer = vec![0_u8; DATAGRAM_BYTES];
        let mut ticks = tokio::time::interval(NEAR_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut round = 0_u32;
        let mut last_sent = Instant::now();
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    round = round.wrapping_add(1);
                    self.send_round(round.is_multiple_of(FAR_EVERY));
                }
                () = self.loads.batch_changed(), if last_sent.elapsed() > SHORTEST_GAP => {
                    // The others must not fill the same slots.
                    last_sent = Instant::now();
                    self.send_round(true);
                }
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, _)) = received {
                        self.receive(&buffer[..length]);
                    }
                }
            }
        }
    }

    fn send_round(&self, far_too: bool) {
        let targets: Vec<SocketAddr> = self
            .peers
            .heartbeat_targets()
            .into_iter()
            .filter(|(_, near)| *near || far_too)
            .map(|(address, _)| address)
            .collect();
        let chosen: Vec<SocketAddr> = match targets.len() < ALL_HEARD {
            true => targets,
            false => targets
                .choose_multiple(&mut rand::rng(), FANOUT)
                .copied()
                .collect(),
        };
        let message = self.heartbeat().encode_to_vec();
        for target in chosen {
            // A datagram that is lost is made good by the next one.
            let _ = self.socket.try_send_to(&message, target);
        }
        if far_too {
            self.peers.log_silent();
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        let store_age = self.view.store_age().unwrap_or(Duration::from_secs(3600));
        Heartbeat {
            name: self.settings.name.clone(),
            life: self.settings.life,
            ready: self.view.is_ready(),
            leaving: self.leaving.load(std::sync::atomic::Ordering::Relaxed),
            store_age_ms: u32::try_from(store_age.as_millis()).unwrap_or(u32::MAX),
            loads: self.loads.own_entries(),
            heard: self.peers.heard_entries(),
            direct_age_ms: self.health.age().map_or(0, |age| {
                u32::try_from(age.as_millis()).unwrap_or(u32::MAX - 1) + 1
            }),
        }
    }

    fn receive(&self, datagram: &[u8]) {
        let Ok(heartbeat) = Heartbeat::decode(datagram) else {
            return;
        };
        if heartbeat.name == self.settings.name || !self.peers.heard(&heartbeat) {
            return;
        }
        self.peers.relayed(&heartbeat.heard);
        let number = node_number(&heartbeat.name);
        self.loads.set_peer(number, heartbeat.loads);
    }
}
