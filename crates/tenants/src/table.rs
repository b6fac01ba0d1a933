//! The quota ledger of a process, shared by all threads, and what was counted for each tenant.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::{Configuration, QuotaBounds, TenantName, Tenants};
use parking_lot::Mutex;

use crate::counts::ZonePassed;
use crate::ledger::Ledger;
use crate::messages::{CreditLevel, PassedCount};
use crate::numbers::tenant_number;

/// A request that is not let pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    /// Time until there is credit for it.
    pub until_credit: Duration,
    /// This node hears too few others to tell what the tenant has left.
    pub alone: bool,
}

/// Requests of one tenant at this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TenantCounts {
    /// Requests that came with one of its keys.
    pub asked: u64,
    /// Requests that were refused because its quota was used up.
    pub over_quota: u64,
}

struct State {
    ledger: Ledger,
    /// Configuration whose limits the ledger holds.
    version: Option<u64>,
    counts: HashMap<TenantName, TenantCounts>,
}

/// Quotas as one node knows them. The lock is taken alone.
pub struct QuotaTable {
    state: Mutex<State>,
}

impl QuotaTable {
    /// A table of one life of a node that knows no tenant yet.
    pub fn new(bounds: QuotaBounds, life: u64) -> Self {
        Self {
            state: Mutex::new(State {
                ledger: Ledger::new(bounds, life, Instant::now()),
                version: None,
                counts: HashMap::new(),
            }),
        }
    }

    /// Takes over the limits of a configuration, when they are not those held.
    pub fn adopt(&self, configuration: &Configuration) {
        let mut state = self.state.lock();
        if state.version == Some(configuration.version) {
            return;
        }
        state.version = Some(configuration.version);
        let tenants = configuration.tenants.as_ref();
        state.ledger.set_limits(tenants, Instant::now());
        let known = |name: &TenantName| {
            let mut all = tenants.into_iter().flat_map(Tenants::iter);
            all.any(|tenant| tenant.name == *name)
        };
        state.counts.retain(|name, _| known(name));
    }

    /// Takes one request of a tenant off.
    pub fn take(&self, tenant: &TenantName) -> Result<(), Shortage> {
        let mut state = self.state.lock();
        let outcome = state
            .ledger
            .take(tenant_number(tenant.as_str()), Instant::now());
        let counts = state.counts.entry(tenant.clone()).or_default();
        counts.asked += 1;
        counts.over_quota += u64::from(outcome.is_err());
        let alone = state.ledger.is_alone();
        outcome.map_err(|until_credit| Shortage {
            until_credit,
            alone,
        })
    }

    /// A request that was let pass has run nowhere and will not.
    pub fn give_back(&self, tenant: &TenantName) {
        let number = tenant_number(tenant.as_str());
        self.state.lock().ledger.give_back(number, Instant::now());
    }

    /// Credit left of a tenant, in requests; `None` for one without a limit.
    pub fn level(&self, tenant: &TenantName) -> Option<f64> {
        let number = tenant_number(tenant.as_str());
        self.state.lock().ledger.level(number, Instant::now())
    }

    /// The tenants with the most requests, and all others as one.
    pub fn busiest(&self, most: usize) -> (Vec<(TenantName, TenantCounts)>, TenantCounts) {
        let state = self.state.lock();
        let mut all: Vec<(TenantName, TenantCounts)> = state
            .counts
            .iter()
            .map(|(name, counts)| (name.clone(), *counts))
            .collect();
        all.sort_by(|a, b| (b.1.asked, &a.0).cmp(&(a.1.asked, &b.0)));
        let rest = all.split_off(most.min(all.len()));
        let others = rest
            .iter()
            .fold(TenantCounts::default(), |sum, (_, one)| TenantCounts {
                asked: sum.asked + one.asked,
                over_quota: sum.over_quota + one.over_quota,
            });
        (all, others)
    }

    /// How this node stands to the others: whether it sums, and of which share of the fleet it knows.
    pub fn set_standing(&self, sums: bool, share: f64) {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.ledger.set_standing(sums, share, now);
    }

    /// What this node let pass lately.
    pub fn passed(&self) -> Vec<PassedCount> {
        self.state.lock().ledger.passed(Instant::now())
    }

    /// What all nodes of this zone let pass.
    pub fn zone_passed(&self, all: bool) -> Vec<PassedCount> {
        self.state.lock().ledger.zone_passed(all, Instant::now())
    }

    /// Part of the nodes of this zone that told a moment ago what they let pass.
    pub fn zone_heard(&self) -> f64 {
        self.state.lock().ledger.zone_heard(Instant::now())
    }

    /// Levels for a node of this zone.
    pub fn levels_for(&self, node: u64) -> Vec<CreditLevel> {
        self.state.lock().ledger.levels_for(node, Instant::now())
    }

    /// Takes off what another node let pass.
    pub fn note_node(&self, node: u64, life: u64, counts: &[PassedCount]) {
        let now = Instant::now();
        self.state.lock().ledger.note_node(node, life, counts, now);
    }

    /// Takes off what another zone let pass; its messages are `later` by so much than those of zones of the
    /// own region.
    pub fn note_zone(
        &self,
        zone: u64,
        delegate: (u64, u64),
        told: &ZonePassed<'_>,
        later: Duration,
    ) {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.ledger.note_zone(zone, delegate, told, now);
        state.ledger.note_way(zone, later);
    }

    /// Takes over what a delegate says.
    pub fn note_levels(&self, levels: &[CreditLevel]) {
        self.state.lock().ledger.note_levels(levels, Instant::now());
    }
}
