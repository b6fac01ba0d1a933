//! Which requests may go to a server that is cold, or may be.

use dappleyard_cluster::{ColdShare, Exclusion, Teller, Temperature};
use dappleyard_model::{ColdBounds, Configuration, ServerRecord, Service};

use crate::metrics::Metrics;
use crate::node::Node;

/// The bound on cold servers of one service, as it holds for this node.
pub struct ColdGate<'a> {
    node: &'a Node,
    share: ColdShare,
}

/// How the rate of a service's cold servers is divided; `None` where it is without bound.
pub(crate) fn share_of(service: &Service, bounds: Option<ColdBounds>) -> Option<ColdShare> {
    let bounds = bounds.filter(|_| service.cold_per_s > 0.0)?;
    Some(ColdShare::new(service.cold_per_s, bounds))
}

fn share_in(node: &Node, configuration: &Configuration, service: &str) -> Option<ColdShare> {
    share_of(configuration.service(service)?, node.settings.bounds.cold)
}

impl<'a> ColdGate<'a> {
    /// The gate of a service; `None` where its cold servers are without bound.
    pub fn of(node: &'a Node, service: &str) -> Option<Self> {
        node.settings.bounds.cold?;
        let configuration = node.view.configuration()?;
        let share = share_in(node, &configuration, service)?;
        Some(Self { node, share })
    }

    /// The gate of a service whose share is known.
    pub(crate) fn new(node: &'a Node, share: ColdShare) -> Self {
        Self { node, share }
    }

    /// The place of this node among those that stand for a server.
    pub(crate) fn standing(&self, server: &ServerRecord) -> Option<u32> {
        let peers = &self.node.peers;
        peers.standing(&server.id, &server.zone, self.share.nodes)
    }

    /// Whether a request may go to a server now.
    pub fn passes(&self, server: &ServerRecord) -> bool {
        match temperature(self.node, server).0 {
            Temperature::Warm => true,
            Temperature::Unknown => false,
            Temperature::Cold | Temperature::InDoubt => {
                self.node.loads.has_cold_part(&server.id, self.share)
                    && self.standing(server).is_some()
            }
        }
    }

    /// Takes a request out of what may go to a server; `false` when nothing is left.
    fn take(&self, server: &ServerRecord) -> bool {
        match temperature(self.node, server).0 {
            Temperature::Warm => true,
            Temperature::Unknown => false,
            Temperature::Cold | Temperature::InDoubt => {
                self.standing(server).is_some()
                    && self.node.loads.take_cold_part(&server.id, self.share)
            }
        }
    }
}

/// The temperature of a server, and what told of it. A server that operators took back into use may have turned cold
/// meanwhile.
pub(crate) fn temperature(node: &Node, server: &ServerRecord) -> (Temperature, Teller) {
    if let Some(at) = node.view.restored_at(&server.zone) {
        node.loads.note_taken_back(&server.id, at);
    }
    node.loads.temperature(server)
}

/// Why nothing may be sent to a server now. Where nothing speaks against it, this counts as a request.
pub(crate) fn refusal(node: &Node, server: &ServerRecord) -> Option<Exclusion> {
    let gate = ColdGate::of(node, &server.service)?;
    if gate.take(server) {
        return None;
    }
    Metrics::count(&node.metrics.cold_held_back);
    Some(Exclusion::ColdRateUsed)
}
