//! Handle of a running node: addresses, planned stop and fault injection.

use std::sync::Arc;
use std::time::Duration;

use actix_rt::ArbiterHandle;
use actix_web::dev::ServerHandle;
use dappleyard_callers::ConnectionGate;
use dappleyard_online::OnlineShared;
use dappleyard_tables::{Lifecycle, NodeTables};
use dappleyard_transport::RequestGate;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, timeout, timeout_at};

use crate::control::LeaveRequest;
use crate::start::DrainRequest;
use crate::threads::{self, Threads};

/// Interval at which active streams are checked during a planned stop.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Time for peers and sidecars to learn of a planned stop before active streams are counted, and
/// timeout for announcing the departure.
const STOP_NOTICE: Duration = Duration::from_millis(300);

/// Time for the store to take the last decision records, once all is answered.
const JOURNAL_TIMEOUT: Duration = Duration::from_millis(5_000);

pub(crate) struct NodeParts {
    pub tables: Arc<NodeTables>,
    pub shared: Arc<OnlineShared>,
    pub gate: Arc<RequestGate>,
    pub stop_bound_ms: u64,
    pub link_address: String,
    pub gossip_address: String,
    pub admin_address: String,
    pub threads: Threads,
    pub admin: ServerHandle,
    /// Connections of operators.
    pub admin_connections: Arc<ConnectionGate>,
    pub leave: mpsc::UnboundedSender<LeaveRequest>,
    pub drain: mpsc::UnboundedSender<DrainRequest>,
    /// Ends the links; closed once the workers' links have ended.
    pub end_links: watch::Sender<bool>,
}

pub struct NodeHandle {
    parts: NodeParts,
    arbiters: Vec<ArbiterHandle>,
}

impl NodeHandle {
    pub(crate) fn new(parts: NodeParts) -> NodeHandle {
        let arbiters = parts.threads.handles();
        NodeHandle { parts, arbiters }
    }

    pub fn tables(&self) -> &Arc<NodeTables> {
        &self.parts.tables
    }

    /// `host:port` on which the node accepts links.
    pub fn link_address(&self) -> &str {
        &self.parts.link_address
    }

    pub fn gossip_address(&self) -> &str {
        &self.parts.gossip_address
    }

    pub fn admin_address(&self) -> &str {
        &self.parts.admin_address
    }

    /// Stops the node gracefully: refuses new work, lets active streams finish, releases chunks,
    /// announces the departure, admits nothing more on its links, and ends them once every answer
    /// is flushed. Returns `false` when the time bound was reached before that.
    pub async fn stop(self) -> bool {
        let parts = &self.parts;
        let deadline = Instant::now() + Duration::from_millis(parts.stop_bound_ms);
        parts.gate.drain();
        parts.tables.lifecycle.send_replace(Lifecycle::Draining);
        tracing::info!(node = %parts.tables.identity.node, "planned stop began");
        let handback = request(&parts.drain);
        tokio::time::sleep(STOP_NOTICE).await;
        let _ = timeout_at(deadline, self.finish_streams()).await;
        let handed_back = timeout_at(deadline, handback).await.is_ok();
        let mut departure = request(&parts.leave);
        let has_left = timeout(STOP_NOTICE, &mut departure).await.is_ok();
        parts.gate.close();
        let finished = timeout_at(deadline, self.finish_answers()).await.is_ok();
        if !finished {
            self.warn_of_cut_answers();
        }
        parts.end_links.send_replace(true);
        let _ = timeout_at(deadline, parts.end_links.closed()).await;
        if !has_left {
            finish_journal(departure, deadline).await;
        }
        parts.tables.lifecycle.send_replace(Lifecycle::Stopped);
        threads::kill(&self.arbiters);
        // The gate has counted operators' requests; this writes the last answers.
        parts.admin_connections.close();
        let _ = timeout_at(deadline, parts.admin.stop(true)).await;
        finished && handed_back
    }

    /// Stops the node abruptly, as a crash would: nothing is handed over or announced.
    pub async fn kill(self) {
        threads::kill(&self.arbiters);
        self.parts.admin.stop(false).await;
    }

    /// Blocks the node's threads for `duration`, as SIGSTOP and SIGCONT would. Its admin server is not
    /// blocked.
    pub fn pause(&self, duration: Duration) {
        threads::pause(&self.arbiters, duration);
    }

    /// Waits until all that the links had admitted is answered, and its outcomes are recorded.
    async fn finish_answers(&self) {
        self.parts.gate.wait_idle().await;
        self.finish_streams().await;
    }

    async fn finish_streams(&self) {
        while self.parts.shared.active_streams() > 0 {
            tokio::time::sleep(STOP_POLL).await;
        }
    }

    fn warn_of_cut_answers(&self) {
        let requests = self.parts.gate.in_progress();
        let streams = self.parts.shared.active_streams();
        tracing::warn!(
            requests,
            streams,
            "stop bound reached; unfinished answers were cut"
        );
    }
}

/// Waits until the control thread has written the last decision records.
async fn finish_journal(departure: oneshot::Receiver<()>, deadline: Instant) {
    let limit = deadline.min(Instant::now() + JOURNAL_TIMEOUT);
    if timeout_at(limit, departure).await.is_err() {
        tracing::warn!("the store is slow; decision records of the last interval may be lost");
    }
}

/// Sends a request to another thread at once; the receiver resolves when it is done.
fn request(requests: &mpsc::UnboundedSender<oneshot::Sender<()>>) -> oneshot::Receiver<()> {
    let (sender, receiver) = oneshot::channel();
    let _ = requests.send(sender);
    receiver
}
