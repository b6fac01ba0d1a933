//! Disruption budgets: limits on voluntary disruptions of a service, per zone and in total.
//!
//! As in KEP-85 (PodDisruptionBudget), in-flight disruptions count before a lagging view shows
//! them, up to a timeout, and unhealthy replicas may be disrupted while enough healthy ones remain.
//! See `docs/design/disruption-budgets.md` for a comparison.

use std::collections::BTreeSet;

/// Limit per zone if the service row does not set one.
pub const DEFAULT_ZONE_LIMIT: u32 = 1;

/// Limits on unavailable servers of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Maximum unavailable servers per zone.
    pub zone: u32,
    /// Maximum unavailable servers in all zones.
    pub total: u32,
}

impl Budget {
    /// The budget of a service row. 0 selects the default: one server per zone, no limit in total.
    pub fn of_row(zone: u32, total: u32) -> Budget {
        Budget {
            zone: if zone == 0 { DEFAULT_ZONE_LIMIT } else { zone },
            total: if total == 0 { u32::MAX } else { total },
        }
    }
}

/// State of a replica as observed, possibly with a lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// In service.
    Healthy,
    /// Expected to serve but not serving.
    Unhealthy,
    /// Drained on purpose, no longer expected to serve.
    Removed,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    pub server: String,
    pub zone: String,
    pub state: ReplicaState,
}

/// Disruption that has been decided and may not be observed yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlight {
    pub server: String,
    pub zone: String,
    /// Time of the decision, in milliseconds on the caller's clock.
    pub since_ms: u64,
}

/// Result of [`may_disrupt`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DisruptionDecision {
    /// Within the budget.
    Allowed,
    /// The server is unhealthy, and enough others are healthy.
    AllowedUnhealthy,
    /// The server is already being disrupted or was removed.
    AlreadyInFlight,
    /// Not allowed now: the budget is exhausted.
    Denied(ExhaustedLimit),
}

/// Budget limit that prevents a disruption.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExhaustedLimit {
    /// Zone of the limit; `None` for the total limit.
    pub zone: Option<String>,
    pub unavailable: u32,
    /// Maximum unavailable servers.
    pub limit: u32,
}

impl ExhaustedLimit {
    /// Message for operators.
    pub fn description(&self) -> String {
        let place = self.zone.as_deref().map_or_else(
            || "in all zones".to_owned(),
            |zone| format!("in zone {zone}"),
        );
        format!(
            "{} of at most {} servers are unavailable {place} already",
            self.unavailable, self.limit
        )
    }
}

/// Replicas and in-flight disruptions that a budget is checked against.
#[derive(Debug, Clone, Copy)]
pub struct BudgetContext<'a> {
    /// Observed replicas.
    pub replicas: &'a [Replica],
    /// Decided disruptions, whether observed or not.
    pub in_flight: &'a [InFlight],
    /// Time after which an in-flight disruption no longer counts, in milliseconds.
    pub timeout_ms: u64,
    /// Current time, on the same clock as `InFlight::since_ms`.
    pub now_ms: u64,
}

impl BudgetContext<'_> {
    /// In-flight disruptions that have not timed out.
    fn counted_in_flight(&self) -> impl Iterator<Item = &InFlight> {
        let now = self.now_ms;
        let timeout = self.timeout_ms;
        self.in_flight
            .iter()
            .filter(move |flight| now.saturating_sub(flight.since_ms) < timeout)
    }

    /// Replicas that are expected to serve, in one zone or in all.
    fn expected(&self, zone: Option<&str>) -> impl Iterator<Item = &Replica> {
        self.replicas
            .iter()
            .filter(|replica| replica.state != ReplicaState::Removed)
            .filter(move |replica| zone.is_none_or(|zone| replica.zone == zone))
    }

    /// Number of expected replicas that are unhealthy or being disrupted.
    fn unavailable(&self, zone: Option<&str>) -> u32 {
        let disrupted: BTreeSet<&str> = self
            .counted_in_flight()
            .map(|flight| flight.server.as_str())
            .collect();
        let unavailable_replicas = self.expected(zone).filter(|replica| {
            replica.state == ReplicaState::Unhealthy || disrupted.contains(replica.server.as_str())
        });
        u32::try_from(unavailable_replicas.count()).unwrap_or(u32::MAX)
    }

    /// Whether the number of unavailable replicas is within the limit.
    fn enough_available(&self, zone: Option<&str>, limit: u32) -> bool {
        self.unavailable(zone) <= limit
    }

    fn exhausted(&self, zone: Option<&str>, limit: u32) -> Option<ExhaustedLimit> {
        let unavailable = self.unavailable(zone);
        (unavailable >= limit).then(|| ExhaustedLimit {
            zone: zone.map(str::to_owned),
            unavailable,
            limit,
        })
    }
}

/// Decides whether `candidate` may be disrupted now.
pub fn may_disrupt(
    candidate: &Replica,
    context: BudgetContext<'_>,
    budget: Budget,
) -> DisruptionDecision {
    let already_in_flight = context
        .counted_in_flight()
        .any(|flight| flight.server == candidate.server);
    if already_in_flight || candidate.state == ReplicaState::Removed {
        return DisruptionDecision::AlreadyInFlight;
    }
    let zone = Some(candidate.zone.as_str());
    let unhealthy = candidate.state == ReplicaState::Unhealthy;
    if unhealthy
        && context.enough_available(zone, budget.zone)
        && context.enough_available(None, budget.total)
    {
        return DisruptionDecision::AllowedUnhealthy;
    }
    let zone_exhausted = context.exhausted(zone, budget.zone);
    match zone_exhausted.or_else(|| context.exhausted(None, budget.total)) {
        Some(exhausted) => DisruptionDecision::Denied(exhausted),
        None => DisruptionDecision::Allowed,
    }
}

/// Disruptions that are neither in `observed` nor timed out.
pub fn unfinished_disruptions<'a>(
    in_flight: &'a [InFlight],
    observed: &BTreeSet<String>,
    timeout_ms: u64,
    now_ms: u64,
) -> Vec<&'a InFlight> {
    in_flight
        .iter()
        .filter(|flight| !observed.contains(&flight.server))
        .filter(|flight| now_ms.saturating_sub(flight.since_ms) < timeout_ms)
        .collect()
}
