//! Rate limit on requests to servers that are warming up.

use dappleyard_cluster::{ColdQuota, Exclusion, WarmupSource, WarmupState};
use dappleyard_model::{ColdBounds, Configuration, ServerRecord, Service};

use crate::metrics::Metrics;
use crate::node::Node;

/// The limit on a service's cold servers, as it applies to this node.
pub struct ColdLimit<'a> {
    node: &'a Node,
    share: ColdQuota,
}

/// How the rate limit of a service's cold servers is divided among nodes; `None` if it has no
/// limit.
pub(crate) fn cold_share(service: &Service, bounds: Option<ColdBounds>) -> Option<ColdQuota> {
    let bounds = bounds.filter(|_| service.cold_per_s > 0.0)?;
    Some(ColdQuota::new(service.cold_per_s, bounds))
}

fn configured_share(
    node: &Node,
    configuration: &Configuration,
    service: &str,
) -> Option<ColdQuota> {
    cold_share(configuration.service(service)?, node.settings.bounds.cold)
}

impl<'a> ColdLimit<'a> {
    /// Returns `None` if the service has no limit for cold servers.
    pub fn of(node: &'a Node, service: &str) -> Option<Self> {
        node.settings.bounds.cold?;
        let configuration = node.view.configuration()?;
        let share = configured_share(node, &configuration, service)?;
        Some(Self { node, share })
    }

    pub(crate) fn new(node: &'a Node, share: ColdQuota) -> Self {
        Self { node, share }
    }

    /// Rank of this node among those responsible for a server, or `None` if it is not responsible.
    pub(crate) fn rank(&self, server: &ServerRecord) -> Option<u32> {
        let peers = &self.node.peers;
        peers.assignment_rank(&server.id, &server.zone, self.share.nodes)
    }

    /// Whether a request may be sent to a server now.
    pub fn allows(&self, server: &ServerRecord) -> bool {
        match server_warmup_state(self.node, server).0 {
            WarmupState::Warm => true,
            WarmupState::Unknown => false,
            WarmupState::Cold | WarmupState::InDoubt => {
                self.node.loads.has_cold_quota(&server.id, self.share)
                    && self.rank(server).is_some()
            }
        }
    }

    /// Uses up one request of the limit unless the server is warm. Returns `false` if the request
    /// may not be sent.
    fn try_acquire(&self, server: &ServerRecord) -> bool {
        match server_warmup_state(self.node, server).0 {
            WarmupState::Warm => true,
            WarmupState::Unknown => false,
            WarmupState::Cold | WarmupState::InDoubt => {
                self.rank(server).is_some()
                    && self.node.loads.take_cold_quota(&server.id, self.share)
            }
        }
    }
}

/// Warm-up state of a server and the source of that information. A server in a zone that was
/// evacuated and restored may have become cold in the meantime.
pub(crate) fn server_warmup_state(
    node: &Node,
    server: &ServerRecord,
) -> (WarmupState, WarmupSource) {
    if let Some(at) = node.view.restored_at(&server.zone) {
        node.loads.note_restored(&server.id, at);
    }
    node.loads.warmup_state(server)
}

/// Reason why the limit on cold servers forbids a request to a server. If there is none, the
/// request is counted towards the limit unless the server is warm.
pub(crate) fn check_exclusion(node: &Node, server: &ServerRecord) -> Option<Exclusion> {
    let limit = ColdLimit::of(node, &server.service)?;
    if limit.try_acquire(server) {
        return None;
    }
    Metrics::count(&node.metrics.cold_held_back);
    Some(Exclusion::ColdRateUsed)
}
