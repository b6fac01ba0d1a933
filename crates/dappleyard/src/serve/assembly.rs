//! Composition root of a node: creates its parts and starts their tasks.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::Duration;

use actix_web::App;
use actix_web::dev::ServerHandle;
use dappleyard_callers::{ConnectionGate, ServerOptions, listen, serve};
use dappleyard_cluster::{
    CRASHES_TABLE, ConfigurationSink, Contact, Gossip, GossipSettings, GossipTables, LoadTable,
    NODES_TABLE, PeerTable, Registration, ServersSink, StoreHealth, TableSink, VERSIONS_TABLE,
    View, ZoneDistances, node_number, sync_refused_requests, sync_versions,
};
use dappleyard_crashes::CrashTable;
use dappleyard_ingress::{
    CapacityTable, EvacuationLogger, Metrics, Node, PeerHandler, ProcessEnd, ResponseTimes,
    ShareTable, Upstreams, configure, front_app_data, monitor_warmup, monitor_zones,
};
use dappleyard_jobs::{BODY_TABLES, JOB_TABLES, JobService, JobTable, Runner};
use dappleyard_model::{Dialect, EventLog, NodeSettings, Row, RowStore};
use dappleyard_platform::{HttpRowStore, PlatformDialect, describe};
use dappleyard_relay::{
    Access, Histories, RelayService, RelayedRows, Replica, follow_directly, mirror,
};
use dappleyard_tenants::QuotaTable;
use dappleyard_upstream::ConnectionLimit;
use futures::FutureExt;
use parking_lot::Mutex;

use super::registration::register;
use dappleyard_clock::Instant;

/// Interval at which idle connections, old loads and old crash records are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);
/// Interval of the check whether an evacuated zone is empty.
const ZONE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time allowed for writing the node's row before the node surveys its peers regardless.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(1_000);

pub struct RunningNode {
    pub node: Arc<Node>,
    pub registration: Rc<Registration>,
    pub store: Rc<dyn RowStore>,
    pub runner: Rc<Runner>,
    pub server: ServerHandle,
}

/// Starts all parts of a node. Must be called in a local task set.
pub async fn start(settings: NodeSettings, log: bool) -> std::io::Result<RunningNode> {
    let log = Arc::new(match log {
        true => EventLog::to(std::io::stdout()),
        false => EventLog::silent(),
    });
    let dialect: Arc<dyn Dialect> = Arc::new(PlatformDialect);
    let life: u64 = rand::random();
    log.write("start", || {
        serde_json::json!({"settings": describe(&settings), "life": life,
            "version": env!("CARGO_PKG_VERSION")})
    });
    let zone_distances = Arc::new(ZoneDistances::new(&settings.zone, &settings.places));
    let view = Arc::new(View::with_zone_distances(
        &settings.name,
        zone_distances.clone(),
        log.clone(),
    ));
    let peers = Arc::new(PeerTable::new(&settings.name, &settings.zone, log.clone()));
    let health = Arc::new(StoreHealth::default());
    let access = Access::new(
        &settings.name,
        &settings.zone,
        health.clone(),
        peers.clone(),
        log.clone(),
    );
    let access = Arc::new(
        access
            .with_zone_distances(zone_distances)
            .with_body_tables(view.clone(), &BODY_TABLES)
            .undecided(),
    );
    let metrics = Arc::new(Metrics::default());
    let limits = settings.resources.caller_limits();
    let connections = ConnectionGate::new(limits, log.clone());
    let node = Arc::new(Node {
        life,
        view: view.clone(),
        loads: Arc::new(LoadTable::default()),
        response_times: ResponseTimes::default(),
        capacities: CapacityTable::default(),
        quotas: Arc::new(QuotaTable::new(settings.bounds.quota, life)),
        streams: Arc::default(),
        crashes: Arc::new(CrashTable::new(node_number(&settings.name) ^ life)),
        peers,
        health: health.clone(),
        dialect: dialect.clone(),
        log: log.clone(),
        metrics,
        leaving: Arc::new(AtomicBool::new(false)),
        connections: Arc::new(connections),
        server_connections: ConnectionLimit::new(limits.server_connections),
        process_end: ProcessEnd::default(),
        last_request: Mutex::new(Instant::now()),
        buffered_bytes: AtomicU64::new(0),
        shares: ShareTable::default(),
        settings,
    });
    let table = Arc::new(JobTable::default());
    let direct: Rc<dyn RowStore> = Rc::new(HttpRowStore::new(node.settings.store.clone()));
    let store: Rc<dyn RowStore> = Rc::new(RelayedRows::new(direct.clone(), access.clone()));
    let sinks: [Rc<dyn TableSink>; 4] = [
        Rc::new(ConfigurationSink {
            view: view.clone(),
            dialect: dialect.clone(),
        }),
        Rc::new(ServersSink {
            view: view.clone(),
            dialect: dialect.clone(),
        }),
        Rc::new(SharedSink(node.peers.clone())),
        Rc::new(SharedSink(table.clone())),
    ];
    let tables = sinks.each_ref().map(|sink| sink.table());
    let histories = Histories::new(&tables);
    spawn_follow(&sinks, &histories, &store, &direct, &access, &log);
    spawn_gossip(&node, health).await?;
    spawn_keep_refused(node.clone(), store.clone());
    spawn_sync_versions(node.clone(), store.clone());
    let registration = Rc::new(Registration::new(&node.settings.zone, &node.settings.name));
    spawn_registration(
        node.clone(),
        registration.clone(),
        store.clone(),
        access.clone(),
    );
    let upstreams = Upstreams::new(node.clone());
    spawn_sweep(node.clone(), upstreams.clone());
    tokio::task::spawn_local(monitor_warmup(upstreams.clone()));
    spawn_zone_watch(node.clone());
    tokio::task::spawn_local(monitor_zones(upstreams.clone()));
    let runner = Runner::new(node.clone(), table.clone(), store.clone(), upstreams);
    tokio::task::spawn_local(runner.clone().run());
    let server = spawn_server(node.clone(), table, access, histories)?;
    Ok(RunningNode {
        node,
        registration,
        store,
        runner,
        server,
    })
}

/// Tables that nodes read and write on behalf of each other.
fn node_tables() -> Vec<&'static str> {
    let own = [NODES_TABLE, CRASHES_TABLE, VERSIONS_TABLE];
    JOB_TABLES.into_iter().chain(own).collect()
}

/// Sink for a table that other threads read as well.
struct SharedSink<S>(Arc<S>);

impl<S: TableSink> TableSink for SharedSink<S> {
    fn table(&self) -> &'static str {
        self.0.table()
    }

    fn is_partitioned(&self) -> bool {
        self.0.is_partitioned()
    }

    fn min_poll_interval(&self) -> Duration {
        self.0.min_poll_interval()
    }

    fn replace(&self, rows: Vec<Row>, revision: u64) {
        self.0.replace(rows, revision);
    }

    fn change(&self, row: Row) {
        self.0.change(row);
    }

    fn contact(&self, contact: &Contact) {
        self.0.contact(contact);
    }

    fn digest(&self, row: Row) -> Row {
        self.0.digest(row)
    }
}

/// Starts the tasks that follow all tables, either at the store or through other nodes.
fn spawn_follow(
    sinks: &[Rc<dyn TableSink>],
    histories: &Histories,
    store: &Rc<dyn RowStore>,
    direct: &Rc<dyn RowStore>,
    access: &Arc<Access>,
    log: &Arc<EventLog>,
) {
    let replicas: Vec<Rc<Replica>> = sinks
        .iter()
        .filter_map(|sink| Replica::new(sink.clone(), histories, access.clone()))
        .map(Rc::new)
        .collect();
    for replica in replicas.clone() {
        let (store, access, log) = (store.clone(), access.clone(), log.clone());
        tokio::task::spawn_local(async move {
            follow_directly(store, replica, &access, &log).await;
        });
    }
    let (watched, log) = (access.clone(), log.clone());
    tokio::task::spawn_local(async move { mirror(&replicas, &watched, &log).await });
    let (access, direct) = (access.clone(), direct.clone());
    tokio::task::spawn_local(async move { access.run(direct.as_ref()).await });
}

/// Registers the node, then surveys its peers.
fn spawn_registration(
    node: Arc<Node>,
    registration: Rc<Registration>,
    store: Rc<dyn RowStore>,
    access: Arc<Access>,
) {
    tokio::task::spawn_local(async move {
        let registered = register(node.clone(), registration.clone(), store.clone());
        // Nodes that start together see each other; a slow or unavailable store only delays by the timeout.
        let registered = dappleyard_clock::timeout(REGISTRATION_TIMEOUT, registered).await;
        access
            .discover_nodes(store.as_ref(), node.peers.as_ref())
            .await;
        if registered.is_err() {
            register(node, registration, store).await;
        }
    });
}

async fn spawn_gossip(node: &Arc<Node>, health: Arc<StoreHealth>) -> std::io::Result<()> {
    let settings = GossipSettings {
        name: node.settings.name.clone(),
        zone: node.settings.zone.clone(),
        life: node.life,
        address: (node.settings.ip, node.settings.peer_port).into(),
    };
    let tables = GossipTables {
        peers: node.peers.clone(),
        loads: node.loads.clone(),
        quotas: node.quotas.clone(),
        crashes: node.crashes.clone(),
        streams: node.streams.clone(),
        view: node.view.clone(),
        health,
        leaving: node.leaving.clone(),
    };
    let gossip = Gossip::open(settings, tables).await?;
    tokio::task::spawn_local(async move { gossip.run().await });
    Ok(())
}

fn spawn_keep_refused(node: Arc<Node>, store: Rc<dyn RowStore>) {
    tokio::task::spawn_local(async move {
        sync_refused_requests(&node.crashes, store.as_ref(), &node.log).await;
    });
}

fn spawn_sync_versions(node: Arc<Node>, store: Rc<dyn RowStore>) {
    tokio::task::spawn_local(async move {
        sync_versions(&node.view, &node.peers, store.as_ref(), &node.log).await;
    });
}

fn spawn_sweep(node: Arc<Node>, upstreams: Upstreams) {
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            upstreams.sweep();
            node.loads.sweep();
            node.crashes.sweep();
            node.streams.sweep();
        }
    });
}

fn spawn_zone_watch(node: Arc<Node>) {
    tokio::task::spawn_local(async move {
        let mut watch = EvacuationLogger::default();
        loop {
            tokio::time::sleep(ZONE_CHECK_INTERVAL).await;
            watch.log_empty_zones(&node);
        }
    });
}

fn spawn_server(
    node: Arc<Node>,
    table: Arc<JobTable>,
    access: Arc<Access>,
    histories: Histories,
) -> std::io::Result<ServerHandle> {
    let ports = &node.settings.listen;
    let peer = (node.settings.ip, node.settings.peer_port).into();
    let mut addresses = vec![ports.front, ports.ready, ports.directory, peer];
    addresses.extend(ports.metrics);
    let limits = node.connections.limits();
    let listeners = addresses.into_iter().map(|address| listen(address, limits));
    let listeners = listeners.collect::<std::io::Result<Vec<_>>>()?;
    let connections = node.connections.clone();
    let factory = move || {
        let direct: Rc<dyn RowStore> = Rc::new(HttpRowStore::new(node.settings.store.clone()));
        let store = Rc::new(RelayedRows::new(direct.clone(), access.clone()));
        let jobs = JobService::new(node.clone(), table.clone(), store);
        let relay = RelayService::new(direct, access.clone(), histories.clone(), node_tables());
        let relay = Rc::new(relay);
        let peers: PeerHandler = Rc::new(move |call| {
            let relay = relay.clone();
            async move { relay.answer(call).await }.boxed_local()
        });
        let data = front_app_data(Upstreams::new(node.clone()), Rc::new(jobs), peers);
        App::new().app_data(data).configure(configure)
    };
    let server = serve(
        listeners,
        1,
        ServerOptions::default(),
        &connections,
        factory,
    )?;
    let handle = server.handle();
    tokio::task::spawn_local(server);
    Ok(handle)
}
