//! Policies for running batch work alongside online work, and their effect on the fleet.

use dappleyard_settings::BatchPolicy;

use super::Scenario;

/// How batch work runs alongside online work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// No batch work.
    OnlineOnly,
    /// One queue without priorities; batch work is sent as fast as it fits.
    SharedQueue,
    /// A fixed share of the servers runs only batch work, as a separate service.
    StaticSplit,
    /// Online work preempts batch work; the default of the product.
    Preempt,
}

impl Policy {
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

    pub fn from_name(name: &str) -> Option<Policy> {
        Policy::ALL.into_iter().find(|policy| policy.name() == name)
    }

    /// Policy in the node settings. Under `StaticSplit` the batch servers have no online work, so
    /// `Preempt` uses their full capacity.
    pub const fn batch_policy(self) -> BatchPolicy {
        match self {
            Policy::OnlineOnly => BatchPolicy::OnlineOnly,
            Policy::SharedQueue => BatchPolicy::SharedQueue,
            Policy::StaticSplit | Policy::Preempt => BatchPolicy::Preempt,
        }
    }

    /// Whether engines admit sequences in order of arrival.
    pub const fn ignores_priority(self) -> bool {
        matches!(self, Policy::SharedQueue)
    }
}

impl Scenario {
    /// Service that runs batch items.
    pub fn batch_service(&self, policy: Policy) -> String {
        match policy {
            Policy::StaticSplit => format!("{}-batch", self.service.name),
            _ => self.service.name.clone(),
        }
    }

    /// Service of the server with this index; a static split distributes batch servers evenly.
    pub fn service_of(&self, policy: Policy, index: usize) -> String {
        let percent = self.policy.static_split_percent as usize;
        let is_batch = (index + 1) * percent / 100 > index * percent / 100;
        if policy == Policy::StaticSplit && is_batch {
            self.batch_service(policy)
        } else {
            self.service.name.clone()
        }
    }

    pub fn services(&self, policy: Policy) -> Vec<String> {
        let mut services = vec![self.service.name.clone(), self.batch_service(policy)];
        services.dedup();
        services
    }
}
