//! Hollow nodes: they run the real fleet protocol but serve no requests.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::Arbiter;
use dappleyard_fleet::{FleetContext, FleetHandle};
use dappleyard_settings::FleetSettings;
use dappleyard_store::memory::MemoryPlatform;
use dappleyard_store::{Machine, MachineRole};
use dappleyard_tables::{Identity, NodeTables};
use dappleyard_transport::link::{Announcement, LinkServer};
use dappleyard_transport::policy::{LinkPolicy, PathState};
use dappleyard_transport::{DatagramSocket, LinkSettings, ServerStream};
use dappleyard_wire::PROTOCOL_VERSION;
use dappleyard_wire::messages::{Hello, NodeLoad, Reply, ServiceLoad, call, frame, reply};
use parking_lot::RwLock;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;

use super::Options;
use super::changes::ChangeTracker;
use crate::error::LabError;

/// Services that each node reports load for.
const SERVICES: [&str; 2] = ["fittings-llm", "yard-assist"];
/// Low bits of an incarnation, reserved for refutations; the start time is above them.
const REFUTATION_BITS: u32 = 16;

/// Unix time of the first start, seconds.
const FIRST_START_UNIX_S: u64 = 1_780_000_000;

/// Datagram loss and isolated addresses, shared by all nodes.
pub struct Faults {
    loss: f64,
    cut: RwLock<BTreeSet<String>>,
}

/// Applies the shared faults to the links of one node.
struct NodePolicy {
    faults: Arc<Faults>,
    own_address: RwLock<String>,
}

impl LinkPolicy for NodePolicy {
    fn path(&self, peer: &str) -> PathState {
        let cut = self.faults.cut.read();
        let is_cut =
            !cut.is_empty() && (cut.contains(peer) || cut.contains(&*self.own_address.read()));
        PathState {
            delay: Duration::ZERO,
            cut: is_cut,
            loss: self.faults.loss,
        }
    }
}

#[derive(Clone)]
pub struct HollowNode {
    /// Index of the node; selects its thread and zone.
    pub index: usize,
    pub tables: Arc<NodeTables>,
    /// Gossip address.
    pub address: String,
    handle: FleetHandle,
    stop: Arc<tokio::sync::watch::Sender<bool>>,
}

/// All hollow nodes and their shared state.
pub struct HollowFleet {
    pub nodes: Vec<HollowNode>,
    pub platform: MemoryPlatform,
    faults: Arc<Faults>,
    arbiters: Vec<Arbiter>,
    options: Options,
    starts: u64,
}

impl HollowFleet {
    /// Starts all nodes; the first three are the seeds of the others.
    pub async fn start(options: &Options) -> Result<HollowFleet, LabError> {
        let platform = MemoryPlatform::default();
        platform.set_machines(servers(options));
        ChangeTracker::prepopulate(&platform)
            .await
            .map_err(LabError::failed)?;
        let mut fleet = HollowFleet {
            nodes: Vec::new(),
            platform,
            faults: Arc::new(Faults {
                loss: options.loss,
                cut: RwLock::default(),
            }),
            arbiters: (0..options.threads).map(|_| Arbiter::new()).collect(),
            options: options.clone(),
            starts: 0,
        };
        for index in 0..options.nodes {
            let node = fleet.start_node(index).await?;
            fleet.nodes.push(node);
        }
        Ok(fleet)
    }

    async fn start_node(&mut self, index: usize) -> Result<HollowNode, LabError> {
        self.starts += 1;
        let seeds = self.nodes.iter().filter(|node| node.index != index);
        let plan = NodePlan {
            index,
            identity: identity(index, self.starts, &self.options),
            seeds: seeds.take(3).map(|node| node.address.clone()).collect(),
            platform: self.platform.clone(),
            faults: self.faults.clone(),
            seed: self.options.seed,
        };
        let (answer, started) = oneshot::channel();
        let arbiter = &self.arbiters[index % self.arbiters.len()];
        arbiter.spawn_fn(move || {
            actix_rt::spawn(async move {
                let _ = answer.send(plan.start().await);
            });
        });
        let started = started.await.map_err(LabError::failed)?;
        started.map_err(LabError::failed)
    }

    /// Gracefully stops a node and starts it again under the same id.
    pub async fn restart(&mut self, index: usize) -> Result<(), LabError> {
        self.nodes[index].handle.leave().await;
        self.nodes[index].stop.send_replace(true);
        self.nodes[index] = self.start_node(index).await?;
        Ok(())
    }

    /// Isolates a node from all others; to them it looks like a crash.
    pub fn isolate(&self, index: usize) {
        let address = self.nodes[index].address.clone();
        self.faults.cut.write().insert(address);
    }

    /// Stops all nodes.
    pub async fn stop(self) {
        for node in &self.nodes {
            node.stop.send_replace(true);
        }
        for arbiter in self.arbiters {
            arbiter.stop();
            let _ = arbiter.join();
        }
    }
}

fn identity(index: usize, start: u64, options: &Options) -> Identity {
    let zone = index % options.zones;
    Identity {
        node: format!("node-{index:03}").into(),
        zone: format!("zone-{zone}").into(),
        region: format!("region-{}", zone % options.regions).into(),
        // Real incarnations come from the wall clock; this has the same encoded length.
        incarnation: (FIRST_START_UNIX_S + start) << REFUTATION_BITS,
    }
}

/// Servers of the machine list. It lists no nodes, which find each other through seeds.
fn servers(options: &Options) -> Vec<Machine> {
    (0..options.servers)
        .map(|index| {
            let zone = index % options.zones;
            Machine {
                name: format!("server-{index:05}"),
                role: MachineRole::Server,
                region: format!("region-{}", zone % options.regions).into(),
                zone: format!("zone-{zone}").into(),
                hall: format!("zone-{zone}-hall-{}", index / options.zones % 4),
                address: format!("http://10.{}.{}.{}:8000", zone, index / 200, index % 200),
                service: SERVICES[index % SERVICES.len()].into(),
                leaving: false,
            }
        })
        .collect()
}

/// Parameters of a node, sent to the thread it starts on.
struct NodePlan {
    index: usize,
    identity: Identity,
    seeds: Vec<String>,
    platform: MemoryPlatform,
    faults: Arc<Faults>,
    seed: u64,
}

impl NodePlan {
    async fn start(self) -> std::io::Result<HollowNode> {
        let tables = NodeTables::new(self.identity);
        let policy = Arc::new(NodePolicy {
            faults: self.faults,
            own_address: RwLock::default(),
        });
        let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        let socket = DatagramSocket::bind(any, policy.clone()).await?;
        let address = socket.local_address()?.to_string();
        policy.own_address.write().clone_from(&address);
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let link_address = serve_snapshots(&tables, &policy, stopped.clone()).await?;
        let handle = dappleyard_fleet::start(FleetContext {
            tables: tables.clone(),
            settings: FleetSettings {
                seeds: self.seeds,
                ..FleetSettings::default()
            },
            platform: self.platform.platform(),
            socket,
            link_address,
            admin_address: String::new(),
            policy,
            link_settings: LinkSettings::default(),
        });
        let rng = ChaCha8Rng::seed_from_u64(self.seed.wrapping_add(self.index as u64));
        actix_rt::spawn(vary_load(tables.clone(), rng, stopped));
        Ok(HollowNode {
            index: self.index,
            tables,
            address,
            handle,
            stop: Arc::new(stop),
        })
    }
}

/// Serves snapshot calls until the node stops.
async fn serve_snapshots(
    tables: &Arc<NodeTables>,
    policy: &Arc<NodePolicy>,
    mut stopped: tokio::sync::watch::Receiver<bool>,
) -> std::io::Result<String> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let (announce, announcement) = tokio::sync::watch::channel(Announcement {
        ready: true,
        ..Announcement::default()
    });
    let server = Rc::new(LinkServer {
        hello: Hello {
            protocol: PROTOCOL_VERSION,
            id: tables.identity.node.to_string(),
            ..Hello::default()
        },
        settings: LinkSettings::default(),
        policy: policy.clone(),
        announcement,
        gate: dappleyard_transport::RequestGate::new(),
    });
    let snapshot_tables = tables.clone();
    let handler = Rc::new(move |stream: ServerStream| {
        if let frame::Body::Call(call) = &stream.first
            && let Some(call::Method::CellSync(_)) = &call.method
        {
            let answer = dappleyard_fleet::cell_sync(&snapshot_tables);
            let result = Some(reply::Result::CellSync(answer));
            let _ = stream.send(frame::Body::Reply(Reply { result }));
        }
    });
    actix_rt::spawn(async move {
        tokio::select! {
            _ = server.serve(listener, handler) => {}
            _ = stopped.wait_for(|stopped| *stopped) => {}
        }
        drop(announce);
    });
    Ok(address)
}

/// Publishes a random load every 500 ms, as a busy node does.
async fn vary_load(
    tables: Arc<NodeTables>,
    mut rng: ChaCha8Rng,
    stopped: tokio::sync::watch::Receiver<bool>,
) {
    let node = tables.identity.node.to_string();
    let mut sequence = 0;
    while !*stopped.borrow() {
        sequence += 1;
        let services = SERVICES.map(|service| ServiceLoad {
            service: service.to_owned(),
            servers: 10,
            online_sequences: rng.random_range(100..400),
            free_sequences: rng.random_range(0..600),
            wait_ms: rng.random_range(0..40),
            versions: vec!["2026-11-30".to_owned()],
        });
        let load = NodeLoad {
            node: node.clone(),
            sequence,
            services: services.to_vec(),
            draining: false,
        };
        tables.loads.put_node(load, tables.clock.now());
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}
