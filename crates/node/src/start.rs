//! Start of a node: binds sockets, creates the tables and starts the threads.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;

use dappleyard_batch::BatchContext;
use dappleyard_budget::CallerLimits;
use dappleyard_callers::{ConnectionGate, listen};
use dappleyard_model::EventLog;
use dappleyard_online::OnlineShared;
use dappleyard_settings::NodeSettings;
use dappleyard_store::PlatformFactory;
use dappleyard_tables::members::REFUTATION_BITS;
use dappleyard_tables::{Identity, NodeTables};
use dappleyard_transport::link::Announcement;
use dappleyard_transport::policy::SharedPolicy;
use dappleyard_transport::{LinkMetrics, RequestGate};
use dappleyard_wire::PROTOCOL_VERSION;
use dappleyard_wire::messages::Hello;
use tokio::sync::{mpsc, oneshot, watch};

use crate::control::{self, ControlContext};
use crate::error::NodeError;
use crate::handle::{NodeHandle, NodeParts};
use crate::request::{self, RequestContext};
use crate::threads::Threads;
use crate::{admin, engine};

/// Receive buffer of a link, which carries the traffic of many callers.
const LINK_RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// Asks the batch thread to release or finish its chunks; answered once that is done.
pub type DrainRequest = oneshot::Sender<()>;

/// Starts a node. Must be called inside a running actix system; returns once its sockets are bound
/// and its threads run. The node accepts work once it has synchronized members and configuration.
pub async fn start(settings: NodeSettings, policy: SharedPolicy) -> Result<NodeHandle, NodeError> {
    let sockets = Sockets::bind(&settings)?;
    let tables = NodeTables::new(identity(&settings));
    let platform = platform_factory(&settings, &tables);
    let announcement = Arc::new(watch::Sender::new(Announcement::default()));
    let mut threads = Threads::default();

    let control = ControlContext {
        settings: settings.clone(),
        tables: tables.clone(),
        platform: platform.clone(),
        policy: policy.clone(),
        socket: sockets.gossip,
        link_address: sockets.link_address.clone(),
        admin_address: sockets.admin_address.clone(),
        announcement: announcement.clone(),
    };
    let leave = threads
        .spawn("control", move || control::start(control))
        .await?
        .map_err(|cause| bind_error("gossip_listen", &sockets.gossip_address, cause))?;
    let drain = start_batch(&mut threads, &settings, &tables, &platform).await?;

    let link_metrics = Arc::new(LinkMetrics::default());
    if let Err(error) = link_metrics.register(&tables.metrics) {
        tracing::warn!(%error, "link metrics could not be registered");
    }
    let log = Arc::new(EventLog::silent());
    let admin_connections = Arc::new(ConnectionGate::new(caller_limits(&settings), log));
    let (end_links, links_ending) = watch::channel(false);
    let request = RequestContext {
        budget: admin_connections.budget().clone(),
        link_metrics,
        end_links: links_ending,
        gate: RequestGate::new(),
        hello: hello(&tables),
        shared: OnlineShared::new(&settings.online, &tables),
        settings: settings.clone(),
        tables: tables.clone(),
        platform: platform.clone(),
        policy,
        announcement: announcement.subscribe(),
    };
    for _ in 0..settings.workers {
        let context = request.clone();
        let listener = sockets
            .link
            .try_clone()
            .map_err(|cause| bind_error("link_listen", &sockets.link_address, cause))?;
        threads
            .spawn("request", move || async move {
                actix_rt::spawn(async move {
                    if let Err(error) = request::run(context, listener).await {
                        tracing::error!(%error, "request worker stopped");
                    }
                });
            })
            .await?;
    }
    let admin = admin::start(
        sockets.admin,
        &admin_connections,
        tables.clone(),
        settings.operate.clone(),
        platform,
        request.gate.clone(),
    )
    .map_err(|cause| bind_error("admin_listen", &sockets.admin_address, cause))?;
    tracing::info!(node = %settings.id, link = sockets.link_address, "node started");
    Ok(NodeHandle::new(NodeParts {
        tables,
        shared: request.shared,
        gate: request.gate,
        stop_bound_ms: settings.stop_bound_ms,
        link_address: sockets.link_address,
        gossip_address: sockets.gossip_address,
        admin_address: sockets.admin_address,
        threads,
        admin,
        admin_connections,
        leave,
        drain,
        end_links,
    }))
}

async fn start_batch(
    threads: &mut Threads,
    settings: &NodeSettings,
    tables: &Arc<NodeTables>,
    platform: &PlatformFactory,
) -> Result<mpsc::UnboundedSender<DrainRequest>, NodeError> {
    let (settings, tables, platform) = (settings.clone(), tables.clone(), platform.clone());
    threads
        .spawn("batch", move || async move {
            let handle = dappleyard_batch::start(BatchContext {
                tables,
                settings: settings.batch.clone(),
                platform: platform(),
                engine: engine::client(&settings.online),
            });
            let (sender, mut requests) = mpsc::unbounded_channel::<DrainRequest>();
            actix_rt::spawn(async move {
                while let Some(request) = requests.recv().await {
                    handle.drain().await;
                    let _ = request.send(());
                }
            });
            sender
        })
        .await
}

/// Creates platform clients that share one store gate per node.
fn platform_factory(settings: &NodeSettings, tables: &NodeTables) -> PlatformFactory {
    let direct = dappleyard_store::client::factory(&settings.platform);
    let gate = dappleyard_store::gate::StoreGate::new(&settings.platform, &tables.metrics);
    gate.wrap(direct)
}

/// Identity of this process. Its incarnation starts at the wall-clock time, so that a restart has a
/// greater one.
fn identity(settings: &NodeSettings) -> Identity {
    let start = dappleyard_tables::clock::Clock::start().unix_ms();
    Identity {
        node: settings.id.as_str().into(),
        zone: settings.place.zone.as_str().into(),
        region: settings.place.region.as_str().into(),
        incarnation: start << REFUTATION_BITS,
    }
}

fn hello(tables: &NodeTables) -> Hello {
    Hello {
        protocol: PROTOCOL_VERSION,
        id: tables.identity.node.to_string(),
        zone: tables.identity.zone.to_string(),
        region: tables.identity.region.to_string(),
        incarnation: tables.identity.incarnation,
        sidecar: false,
    }
}

struct Sockets {
    link: TcpListener,
    link_address: String,
    admin: TcpListener,
    admin_address: String,
    gossip: UdpSocket,
    gossip_address: String,
}

impl Sockets {
    fn bind(settings: &NodeSettings) -> Result<Sockets, NodeError> {
        let limits = caller_limits(settings);
        let link_limits = CallerLimits {
            receive_buffer_bytes: LINK_RECEIVE_BUFFER_BYTES,
            ..limits
        };
        let (link, link_address) = bind_tcp("link_listen", &settings.link_listen, &link_limits)?;
        let (admin, admin_address) = bind_tcp("admin_listen", &settings.admin_listen, &limits)?;
        let key = "gossip_listen";
        let failed = |cause| bind_error(key, &settings.gossip_listen, cause);
        let gossip = UdpSocket::bind(parse(key, &settings.gossip_listen)?).map_err(failed)?;
        let gossip_address = gossip.local_addr().map_err(failed)?.to_string();
        Ok(Sockets {
            link,
            link_address,
            admin,
            admin_address,
            gossip,
            gossip_address,
        })
    }
}

fn caller_limits(settings: &NodeSettings) -> CallerLimits {
    CallerLimits::of_machine(settings.memory_mb, settings.maximum_descriptors)
}

fn bind_tcp(
    key: &'static str,
    address: &str,
    limits: &CallerLimits,
) -> Result<(TcpListener, String), NodeError> {
    let failed = |cause| bind_error(key, address, cause);
    let listener = listen(parse(key, address)?, limits).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?.to_string();
    Ok((listener, bound))
}

fn parse(key: &'static str, address: &str) -> Result<SocketAddr, NodeError> {
    address.parse().map_err(|_| NodeError::Setting {
        key,
        cause: format!("{address:?} is not an IP address and port"),
    })
}

fn bind_error(key: &'static str, address: &str, cause: std::io::Error) -> NodeError {
    NodeError::Bind {
        key,
        address: address.to_owned(),
        cause,
    }
}
