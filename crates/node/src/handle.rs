//! Handle of a running node: its addresses, its planned stop, and the faults an experiment gives it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::ArbiterHandle;
use actix_web::dev::ServerHandle;
use dappleyard_online::OnlineShared;
use dappleyard_tables::{Lifecycle, NodeTables};
use tokio::sync::{mpsc, oneshot};

use crate::control::LeaveRequest;
use crate::start::DrainRequest;
use crate::threads::{self, Threads};

/// Time between two looks at what is still in progress during a planned stop.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Time that peers and sidecars are given to learn of a planned stop before streams are counted.
const STOP_NOTICE: Duration = Duration::from_millis(300);

/// What a running node consists of.
pub(crate) struct NodeParts {
    pub tables: Arc<NodeTables>,
    pub shared: Arc<OnlineShared>,
    pub stop_bound_ms: u64,
    pub link_address: String,
    pub gossip_address: String,
    pub admin_address: String,
    pub threads: Threads,
    pub admin: ServerHandle,
    pub leave: mpsc::UnboundedSender<LeaveRequest>,
    pub drain: mpsc::UnboundedSender<DrainRequest>,
}

/// A running node.
pub struct NodeHandle {
    parts: NodeParts,
    arbiters: Vec<ArbiterHandle>,
}

impl NodeHandle {
    pub(crate) fn new(parts: NodeParts) -> NodeHandle {
        let arbiters = parts.threads.handles();
        NodeHandle { parts, arbiters }
    }

    /// Shared tables of the node.
    pub fn tables(&self) -> &Arc<NodeTables> {
        &self.parts.tables
    }

    /// Address of its links, host:port.
    pub fn link_address(&self) -> &str {
        &self.parts.link_address
    }

    /// Address of its gossip, host:port.
    pub fn gossip_address(&self) -> &str {
        &self.parts.gossip_address
    }

    /// Address of its admin interface, host:port.
    pub fn admin_address(&self) -> &str {
        &self.parts.admin_address
    }

    /// Planned stop: takes nothing new, lets streams in progress finish, hands chunks back, announces
    /// that it has left, then ends. Returns `true` when nothing was in progress at the end, `false`
    /// when the bound was reached first.
    pub async fn stop(self) -> bool {
        let deadline = Instant::now() + Duration::from_millis(self.parts.stop_bound_ms);
        self.parts
            .tables
            .lifecycle
            .send_replace(Lifecycle::Draining);
        tracing::info!(node = %self.parts.tables.identity.node, "planned stop began");
        let drained = ask(&self.parts.drain);
        tokio::time::sleep(STOP_NOTICE).await;
        while self.parts.shared.active_streams() > 0 && Instant::now() < deadline {
            tokio::time::sleep(STOP_POLL).await;
        }
        let finished = self.parts.shared.active_streams() == 0;
        let rest = deadline.saturating_duration_since(Instant::now());
        let handed_back = tokio::time::timeout(rest, drained).await.is_ok();
        let left = ask(&self.parts.leave);
        let _ = tokio::time::timeout(STOP_NOTICE, left).await;
        self.parts.tables.lifecycle.send_replace(Lifecycle::Stopped);
        self.end(true).await;
        finished && handed_back
    }

    /// Ends the node abruptly: sockets close, nothing is handed over, nobody is told.
    pub async fn kill(self) {
        self.end(false).await;
    }

    /// Blocks the node's threads for a time, as if its process had been stopped and continued. Its
    /// admin server is not blocked.
    pub fn pause(&self, duration: Duration) {
        threads::pause(&self.arbiters, duration);
    }

    async fn end(self, graceful: bool) {
        threads::kill(&self.arbiters);
        self.parts.admin.stop(graceful).await;
    }
}

async fn ask(requests: &mpsc::UnboundedSender<oneshot::Sender<()>>) {
    let (sender, receiver) = oneshot::channel();
    if requests.send(sender).is_ok() {
        let _ = receiver.await;
    }
}
