//! Rate limit on requests to servers that are warming up.

use dappleyard_cluster::{ColdShare, Exclusion, Teller, Temperature};
use dappleyard_model::{ColdBounds, Configuration, ServerRecord, Service};

use crate::metrics::Metrics;
use crate::node::Node;

/// The limit on a service's cold servers, as it applies to this node.
pub struct ColdGate<'a> {
    node: &'a Node,
    share: ColdShare,
}

/// How the rate limit of a service's cold servers is divided among nodes; `None` if it has no
/// limit.
pub(crate) fn cold_share(service: &Service, bounds: Option<ColdBounds>) -> Option<ColdShare> {
    let bounds = bounds.filter(|_| service.cold_per_s > 0.0)?;
    Some(ColdShare::new(service.cold_per_s, bounds))
}

fn configured_share(
    node: &Node,
    configuration: &Configuration,
    service: &str,
) -> Option<ColdShare> {
    cold_share(configuration.service(service)?, node.settings.bounds.cold)
}

impl<'a> ColdGate<'a> {
    /// Returns `None` if the service has no limit for cold servers.
    pub fn of(node: &'a Node, service: &str) -> Option<Self> {
        node.settings.bounds.cold?;
        let configuration = node.view.configuration()?;
        let share = configured_share(node, &configuration, service)?;
        Some(Self { node, share })
    }

    pub(crate) fn new(node: &'a Node, share: ColdShare) -> Self {
        Self { node, share }
    }

    /// Rank of this node among those responsible for a server, or `None` if it is not responsible.
    pub(crate) fn rank(&self, server: &ServerRecord) -> Option<u32> {
        let peers = &self.node.peers;
        peers.standing(&server.id, &server.zone, self.share.nodes)
    }

    /// Whether a request may be sent to a server now.
    pub fn allows(&self, server: &ServerRecord) -> bool {
        match temperature(self.node, server).0 {
            Temperature::Warm => true,
            Temperature::Unknown => false,
            Temperature::Cold | Temperature::InDoubt => {
                self.node.loads.has_cold_part(&server.id, self.share) && self.rank(server).is_some()
            }
        }
    }

    /// Uses up one request of the limit. Returns `false` if none is left.
    fn try_acquire(&self, server: &ServerRecord) -> bool {
        match temperature(self.node, server).0 {
            Temperature::Warm => true,
            Temperature::Unknown => false,
            Temperature::Cold | Temperature::InDoubt => {
                self.rank(server).is_some()
                    && self.node.loads.take_cold_part(&server.id, self.share)
            }
        }
    }
}

/// Temperature of a server and the source of that information. A server in a zone that was
/// evacuated and restored may have become cold in the meantime.
pub(crate) fn temperature(node: &Node, server: &ServerRecord) -> (Temperature, Teller) {
    if let Some(at) = node.view.restored_at(&server.zone) {
        node.loads.note_taken_back(&server.id, at);
    }
    node.loads.temperature(server)
}

/// Reason why no request may be sent to a server. If there is none, the request counts towards the
/// limit.
pub(crate) fn check_exclusion(node: &Node, server: &ServerRecord) -> Option<Exclusion> {
    let limit = ColdGate::of(node, &server.service)?;
    if limit.try_acquire(server) {
        return None;
    }
    Metrics::count(&node.metrics.cold_held_back);
    Some(Exclusion::ColdRateUsed)
}
