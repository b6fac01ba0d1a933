//! The control thread: membership, configuration, engine reports, controllers, announcements.

use std::net::UdpSocket as StdUdpSocket;
use std::sync::Arc;

use dappleyard_fleet::{FleetContext, FleetHandle};
use dappleyard_operate::{OperateContext, OperateHandle};
use dappleyard_settings::NodeSettings;
use dappleyard_store::PlatformFactory;
use dappleyard_tables::NodeTables;
use dappleyard_transport::DatagramSocket;
use dappleyard_transport::link::Announcement;
use dappleyard_transport::policy::SharedPolicy;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};

use crate::{announce, engine};

pub struct ControlContext {
    pub settings: NodeSettings,
    pub tables: Arc<NodeTables>,
    pub platform: PlatformFactory,
    /// Traffic policy for datagrams and links.
    pub policy: SharedPolicy,
    pub socket: StdUdpSocket,
    pub link_address: String,
    pub admin_address: String,
    pub announcement: Arc<watch::Sender<Announcement>>,
}

/// Asks the control thread to announce the node's departure and to write the last decision records;
/// answered once both are done.
pub type LeaveRequest = oneshot::Sender<()>;

struct ControlParts {
    fleet: FleetHandle,
    operate: OperateHandle,
}

/// Starts the control parts on this thread; returns a sender of leave requests.
pub async fn start(
    context: ControlContext,
) -> std::io::Result<mpsc::UnboundedSender<LeaveRequest>> {
    let parts = start_parts(context).await?;
    let (sender, mut requests) = mpsc::unbounded_channel::<LeaveRequest>();
    actix_rt::spawn(async move {
        if let Some(request) = requests.recv().await {
            // The store may be slow to take the last decision records; the departure does not wait.
            tokio::join!(parts.operate.stop(), parts.fleet.leave());
            let _ = request.send(());
        }
    });
    Ok(sender)
}

async fn start_parts(context: ControlContext) -> std::io::Result<ControlParts> {
    let ControlContext {
        settings,
        tables,
        platform,
        policy,
        socket,
        ..
    } = context;
    socket.set_nonblocking(true)?;
    let socket = DatagramSocket::from_socket(UdpSocket::from_std(socket)?, policy.clone());
    let engine = engine::client(&settings.online);
    let platform = platform();
    let fleet = dappleyard_fleet::start(FleetContext {
        tables: tables.clone(),
        settings: settings.fleet.clone(),
        platform: platform.clone(),
        socket,
        link_address: context.link_address,
        admin_address: context.admin_address,
        policy,
        link_settings: (&settings.link).into(),
    });
    dappleyard_online::start_report_poller(tables.clone(), settings.online.clone(), engine.clone());
    let operate = dappleyard_operate::start(OperateContext {
        tables: tables.clone(),
        settings: settings.operate.clone(),
        platform,
        engine,
    });
    let bound = u32::try_from(settings.stop_bound_ms).unwrap_or(u32::MAX);
    actix_rt::spawn(announce::run(tables, context.announcement, bound));
    Ok(ControlParts { fleet, operate })
}
