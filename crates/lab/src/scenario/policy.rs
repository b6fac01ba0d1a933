//! Policies by which batch work runs beside online work, and what each changes in the fleet.

use dappleyard_settings::BatchPolicy;

use super::Scenario;

/// How batch work runs beside online work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// No batch at all.
    OnlineOnly,
    /// One queue without priorities; batch is sent as fast as it fits.
    SharedQueue,
    /// A fixed part of the servers runs batch only, as a service of its own.
    StaticSplit,
    /// The product.
    Preempt,
}

impl Policy {
    /// All policies, the product last.
    pub const ALL: [Policy; 4] = [
        Policy::OnlineOnly,
        Policy::SharedQueue,
        Policy::StaticSplit,
        Policy::Preempt,
    ];

    /// Name on the command line and in summaries.
    pub const fn name(self) -> &'static str {
        match self {
            Policy::OnlineOnly => "online-only",
            Policy::SharedQueue => "shared-queue",
            Policy::StaticSplit => "static-split",
            Policy::Preempt => "preempt",
        }
    }

    /// The policy of a name.
    pub fn from_name(name: &str) -> Option<Policy> {
        Policy::ALL.into_iter().find(|policy| policy.name() == name)
    }

    /// Setting of the nodes. Under a static split the servers of batch work have no online work,
    /// so the product's own way runs them at full width.
    pub const fn batch_policy(self) -> BatchPolicy {
        match self {
            Policy::OnlineOnly => BatchPolicy::OnlineOnly,
            Policy::SharedQueue => BatchPolicy::SharedQueue,
            Policy::StaticSplit | Policy::Preempt => BatchPolicy::Preempt,
        }
    }

    /// Whether engines take sequences in order of arrival.
    pub const fn ignores_priority(self) -> bool {
        matches!(self, Policy::SharedQueue)
    }
}

impl Scenario {
    /// Service that batch items name.
    pub fn batch_service(&self, policy: Policy) -> String {
        match policy {
            Policy::StaticSplit => format!("{}-batch", self.service.name),
            _ => self.service.name.clone(),
        }
    }

    /// Service of a server, by its index in the order of the file; a split is spread evenly.
    pub fn service_of(&self, policy: Policy, index: usize) -> String {
        let percent = self.policy.static_split_percent as usize;
        let is_batch = (index + 1) * percent / 100 > index * percent / 100;
        if policy == Policy::StaticSplit && is_batch {
            self.batch_service(policy)
        } else {
            self.service.name.clone()
        }
    }

    /// All services under a policy.
    pub fn services(&self, policy: Policy) -> Vec<String> {
        let mut services = vec![self.service.name.clone(), self.batch_service(policy)];
        services.dedup();
        services
    }
}
