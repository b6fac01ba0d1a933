//! Puts a node together: the only place that knows all of its parts.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::{App, HttpServer};
use dappleyard_cluster::{
    ConfigurationSink, Gossip, GossipSettings, LoadTable, PeerTable, ServersSink, TableSink, View,
    follow,
};
use dappleyard_ingress::{Metrics, Node, Upstreams, configure, front_app_data};
use dappleyard_jobs::{JobTable, NodeJobs, Runner};
use dappleyard_model::{Dialect, EventLog, NodeSettings, RowStore};
use dappleyard_platform::{HttpRows, PlatformDialect, describe};
use parking_lot::Mutex;

use super::registration;
use tokio::time::Instant;

/// Time that a caller's connection may rest; the operators' limit is never above it.
const KEEP_ALIVE: Duration = Duration::from_secs(120);
/// Time for the head of a request to come.
const HEAD_LIMIT: Duration = Duration::from_secs(15);
/// Time between two looks at resting connections and old loads.
const SWEEP: Duration = Duration::from_secs(2);
/// New connections that may wait to be taken.
const BACKLOG: u32 = 1024;

/// A node that runs.
pub struct Running {
    pub node: Arc<Node>,
    pub store: Rc<dyn RowStore>,
    pub runner: Rc<Runner>,
    pub server: ServerHandle,
}

/// Starts all parts of a node.
pub async fn start(settings: NodeSettings, log: bool) -> std::io::Result<Running> {
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
    let view = Arc::new(View::new(&settings.name, &settings.zone, log.clone()));
    let node = Arc::new(Node {
        life,
        view: view.clone(),
        loads: Arc::new(LoadTable::default()),
        peers: Arc::new(PeerTable::new(&settings.name, &settings.zone, log.clone())),
        dialect: dialect.clone(),
        log: log.clone(),
        metrics: Arc::new(Metrics::default()),
        leaving: Arc::new(AtomicBool::new(false)),
        under_way: AtomicU64::new(0),
        last_request: Mutex::new(Instant::now()),
        settings,
    });
    let table = Arc::new(JobTable::default());
    let store: Rc<dyn RowStore> = Rc::new(HttpRows::new(node.settings.store.clone()));
    let sinks: [Rc<dyn TableSink>; 2] = [
        Rc::new(ConfigurationSink {
            view: view.clone(),
            dialect: dialect.clone(),
        }),
        Rc::new(ServersSink {
            view: view.clone(),
            dialect,
        }),
    ];
    for sink in sinks {
        spawn_follow(store.clone(), log.clone(), move || sink.clone());
    }
    spawn_shared_follow(store.clone(), log.clone(), node.peers.clone());
    spawn_shared_follow(store.clone(), log, table.clone());
    spawn_gossip(&node).await?;
    tokio::task::spawn_local(registration::register(node.clone(), store.clone()));
    let upstreams = Upstreams::new(node.clone());
    spawn_sweep(node.clone(), upstreams.clone());
    let runner = Runner::new(node.clone(), table.clone(), store.clone(), upstreams);
    tokio::task::spawn_local(runner.clone().run());
    let server = spawn_server(node.clone(), table)?;
    Ok(Running {
        node,
        store,
        runner,
        server,
    })
}

fn spawn_follow(
    store: Rc<dyn RowStore>,
    log: Arc<EventLog>,
    sink: impl Fn() -> Rc<dyn TableSink> + 'static,
) {
    tokio::task::spawn_local(async move {
        follow(store.as_ref(), sink().as_ref(), &log).await;
    });
}

fn spawn_shared_follow(
    store: Rc<dyn RowStore>,
    log: Arc<EventLog>,
    sink: Arc<impl TableSink + 'static>,
) {
    tokio::task::spawn_local(async move {
        follow(store.as_ref(), sink.as_ref(), &log).await;
    });
}

async fn spawn_gossip(node: &Arc<Node>) -> std::io::Result<()> {
    let settings = GossipSettings {
        name: node.settings.name.clone(),
        life: node.life,
        address: (node.settings.ip, node.settings.peer_port).into(),
    };
    let gossip = Gossip::open(
        settings,
        node.peers.clone(),
        node.loads.clone(),
        node.view.clone(),
        node.leaving.clone(),
    )
    .await?;
    tokio::task::spawn_local(async move { gossip.run().await });
    Ok(())
}

fn spawn_sweep(node: Arc<Node>, upstreams: Upstreams) {
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(SWEEP).await;
            upstreams.sweep();
            node.loads.sweep();
        }
    });
}

fn spawn_server(node: Arc<Node>, table: Arc<JobTable>) -> std::io::Result<ServerHandle> {
    let listen = node.settings.listen.clone();
    let factory = move || {
        let store = Rc::new(HttpRows::new(node.settings.store.clone()));
        let jobs = NodeJobs::new(node.clone(), table.clone(), store);
        let data = front_app_data(Upstreams::new(node.clone()), Rc::new(jobs));
        App::new().app_data(data).configure(configure)
    };
    let mut server = HttpServer::new(factory)
        .workers(1)
        .backlog(BACKLOG)
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEAD_LIMIT)
        .h1_allow_half_closed(false)
        .disable_signals()
        .bind(listen.front)?
        .bind(listen.ready)?
        .bind(listen.directory)?;
    if let Some(metrics) = listen.metrics {
        server = server.bind(metrics)?;
    }
    let server = server.run();
    let handle = server.handle();
    tokio::task::spawn_local(server);
    Ok(handle)
}
