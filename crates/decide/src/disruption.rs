//! Disruption budgets: how many servers of a service may be unavailable at once, by our own doing.
//!
//! A budget bounds voluntary disruptions in each zone and in total. Two ideas come from KEP-85
//! (PodDisruptionBudget): disruptions in flight are counted before a lagging view shows them, with a
//! timeout, and unhealthy replicas may go while enough healthy ones remain. See
//! `docs/design/disruption-budgets.md` for what each of them is worth here.

use std::collections::BTreeSet;

/// Most servers of a zone that may be unavailable at once when the service row names no number.
pub const DEFAULT_ZONE_LIMIT: u32 = 1;

/// Bounds on unavailable servers of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Most unavailable servers of each zone.
    pub zone: u32,
    /// Most unavailable servers in all zones together.
    pub total: u32,
}

impl Budget {
    /// The budget of a service row, where 0 stands for the default: one server in each zone, no
    /// bound in total.
    pub fn of_row(zone: u32, total: u32) -> Budget {
        Budget {
            zone: if zone == 0 { DEFAULT_ZONE_LIMIT } else { zone },
            total: if total == 0 { u32::MAX } else { total },
        }
    }
}

/// State of a replica as the view shows it; the view may lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// Serves.
    Healthy,
    /// Should serve and does not.
    Unhealthy,
    /// Taken out on purpose and empty: no longer expected to serve.
    Removed,
}

/// One replica of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Server id.
    pub server: String,
    /// Zone.
    pub zone: String,
    /// State.
    pub state: ReplicaState,
}

/// A disruption that was decided and that the view may not show yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlight {
    /// Server id.
    pub server: String,
    /// Zone.
    pub zone: String,
    /// When it was decided, milliseconds on the caller's clock.
    pub since_ms: u64,
}

/// Answer to a wish to disrupt a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It may go: the budget has room.
    Allowed,
    /// It may go: it does not serve, and enough others do.
    AllowedUnhealthy,
    /// It is already on its way out.
    AlreadyInFlight,
    /// It must stay for now.
    Held(Shortage),
}

/// Which bound holds a disruption back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    /// Zone of the bound; `None` for the bound in total.
    pub zone: Option<String>,
    /// Servers unavailable now.
    pub unavailable: u32,
    /// Most that may be.
    pub limit: u32,
}

impl Shortage {
    /// The shortage in plain words.
    pub fn words(&self) -> String {
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

/// Replicas and the disruptions in flight, as counted by the budget.
#[derive(Debug, Clone, Copy)]
pub struct Situation<'a> {
    /// Replicas as the view shows them.
    pub replicas: &'a [Replica],
    /// Disruptions decided, shown or not.
    pub in_flight: &'a [InFlight],
    /// Time after which a disruption that the view does not show is forgotten, milliseconds.
    pub timeout_ms: u64,
    /// Now, on the clock of the disruptions.
    pub now_ms: u64,
}

impl Situation<'_> {
    /// Disruptions that still count.
    fn counted_in_flight(&self) -> impl Iterator<Item = &InFlight> {
        let now = self.now_ms;
        let timeout = self.timeout_ms;
        self.in_flight
            .iter()
            .filter(move |flight| now.saturating_sub(flight.since_ms) < timeout)
    }

    /// Replicas that the service expects in a zone, or in all.
    fn expected(&self, zone: Option<&str>) -> impl Iterator<Item = &Replica> {
        self.replicas
            .iter()
            .filter(|replica| replica.state != ReplicaState::Removed)
            .filter(move |replica| zone.is_none_or(|zone| replica.zone == zone))
    }

    /// Expected replicas that do not serve or are on their way out.
    fn unavailable(&self, zone: Option<&str>) -> u32 {
        let leaving: BTreeSet<&str> = self
            .counted_in_flight()
            .map(|flight| flight.server.as_str())
            .collect();
        let gone = self.expected(zone).filter(|replica| {
            replica.state == ReplicaState::Unhealthy || leaving.contains(replica.server.as_str())
        });
        u32::try_from(gone.count()).unwrap_or(u32::MAX)
    }

    /// Whether the replicas that remain healthy satisfy the bound by themselves.
    fn enough_remain(&self, zone: Option<&str>, limit: u32) -> bool {
        self.unavailable(zone) <= limit
    }

    fn shortage(&self, zone: Option<&str>, limit: u32) -> Option<Shortage> {
        let unavailable = self.unavailable(zone);
        (unavailable >= limit).then(|| Shortage {
            zone: zone.map(str::to_owned),
            unavailable,
            limit,
        })
    }
}

/// Decides whether `candidate` may be disrupted now.
pub fn may_disrupt(candidate: &Replica, situation: Situation<'_>, budget: Budget) -> Verdict {
    let on_its_way = situation
        .counted_in_flight()
        .any(|flight| flight.server == candidate.server);
    if on_its_way || candidate.state == ReplicaState::Removed {
        return Verdict::AlreadyInFlight;
    }
    let zone = Some(candidate.zone.as_str());
    let unhealthy = candidate.state == ReplicaState::Unhealthy;
    if unhealthy
        && situation.enough_remain(zone, budget.zone)
        && situation.enough_remain(None, budget.total)
    {
        return Verdict::AllowedUnhealthy;
    }
    let zone_shortage = situation.shortage(zone, budget.zone);
    match zone_shortage.or_else(|| situation.shortage(None, budget.total)) {
        Some(shortage) => Verdict::Held(shortage),
        None => Verdict::Allowed,
    }
}

/// Disruptions that still have to be remembered: neither observed as done nor timed out.
pub fn remembered<'a>(
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
