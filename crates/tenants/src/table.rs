//! The quota ledger of a process, shared by all threads, with request counters per tenant.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::{Configuration, QuotaBounds, TenantName, Tenants};
use parking_lot::Mutex;

use crate::counts::ZonePassed;
use crate::ledger::Ledger;
use crate::messages::{CreditLevel, PassedCount};
use crate::numbers::tenant_number;

/// A request that was refused for lack of credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    /// Time until there is credit for the request.
    pub until_credit: Duration,
    /// Whether this node hears too few others to know the tenant's credit.
    pub alone: bool,
}

/// Request counters of one tenant on this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TenantCounts {
    /// Requests with one of the tenant's keys.
    pub asked: u64,
    /// Requests refused because the quota was used up.
    pub over_quota: u64,
}

struct State {
    ledger: Ledger,
    /// Version of the configuration whose limits the ledger holds.
    version: Option<u64>,
    counts: HashMap<TenantName, TenantCounts>,
}

/// Shared quota ledger. The lock is never held together with another lock.
pub struct QuotaTable {
    state: Mutex<State>,
}

impl QuotaTable {
    /// Creates a table without tenants, for one process incarnation.
    pub fn new(bounds: QuotaBounds, life: u64) -> Self {
        Self {
            state: Mutex::new(State {
                ledger: Ledger::new(bounds, life, Instant::now()),
                version: None,
                counts: HashMap::new(),
            }),
        }
    }

    /// Applies the limits of a configuration, unless that version has been applied already.
    pub fn apply_configuration(&self, configuration: &Configuration) {
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

    /// Deducts one request of a tenant, or refuses it.
    pub fn take(&self, tenant: &TenantName) -> Result<(), Shortage> {
        let mut state = self.state.lock();
        let outcome = state
            .ledger
            .take(tenant_number(tenant.as_str()), Instant::now());
        let counts = state.counts.entry(tenant.clone()).or_default();
        counts.asked += 1;
        counts.over_quota += u64::from(outcome.is_err());
        let alone = state.ledger.is_isolated();
        outcome.map_err(|until_credit| Shortage {
            until_credit,
            alone,
        })
    }

    /// Refunds an admitted request that has not run and will not.
    pub fn refund(&self, tenant: &TenantName) {
        let number = tenant_number(tenant.as_str());
        self.state.lock().ledger.refund(number, Instant::now());
    }

    /// Remaining credit of a tenant, in requests; `None` if it has no limit.
    pub fn level(&self, tenant: &TenantName) -> Option<f64> {
        let number = tenant_number(tenant.as_str());
        self.state.lock().ledger.level(number, Instant::now())
    }

    /// The tenants with the most requests, and the sum of all others.
    pub fn busiest(&self, max_tenants: usize) -> (Vec<(TenantName, TenantCounts)>, TenantCounts) {
        let state = self.state.lock();
        let mut all: Vec<(TenantName, TenantCounts)> = state
            .counts
            .iter()
            .map(|(name, counts)| (name.clone(), *counts))
            .collect();
        all.sort_by(|a, b| (b.1.asked, &a.0).cmp(&(a.1.asked, &b.0)));
        let rest = all.split_off(max_tenants.min(all.len()));
        let others = rest
            .iter()
            .fold(TenantCounts::default(), |sum, (_, one)| TenantCounts {
                asked: sum.asked + one.asked,
                over_quota: sum.over_quota + one.over_quota,
            });
        (all, others)
    }

    /// Sets whether this node aggregates the counts of others, and the share of the fleet that it hears.
    pub fn set_role(&self, aggregates: bool, share: f64) {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.ledger.set_role(aggregates, share, now);
    }

    /// Counts of this node's recently active tenants.
    pub fn passed(&self) -> Vec<PassedCount> {
        self.state.lock().ledger.passed(Instant::now())
    }

    /// Counts of all nodes of this zone; with `all` for every tenant, else for those with low credit.
    pub fn zone_passed(&self, all: bool) -> Vec<PassedCount> {
        self.state.lock().ledger.zone_passed(all, Instant::now())
    }

    /// Fraction of the nodes of this zone with a recent report.
    pub fn zone_heard(&self) -> f64 {
        self.state.lock().ledger.zone_heard(Instant::now())
    }

    /// Levels to report to a node of this zone: those that are low, or were recently.
    pub fn levels_for(&self, node: u64) -> Vec<CreditLevel> {
        self.state.lock().ledger.levels_for(node, Instant::now())
    }

    /// Deducts the requests that another node has reported.
    pub fn note_node(&self, node: u64, life: u64, counts: &[PassedCount]) {
        let now = Instant::now();
        self.state.lock().ledger.note_node(node, life, counts, now);
    }

    /// Deducts the requests that a delegate of another zone has reported. `extra_delay` is the additional delay of its
    /// messages, compared with zones of the own region.
    pub fn note_zone(
        &self,
        zone: u64,
        delegate: (u64, u64),
        reported: &ZonePassed<'_>,
        extra_delay: Duration,
    ) {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.ledger.note_zone(zone, delegate, reported, now);
        state.ledger.set_extra_delay(zone, extra_delay);
    }

    /// Applies the levels that a delegate has reported; a tenant that is not included is not low.
    pub fn note_levels(&self, levels: &[CreditLevel]) {
        self.state.lock().ledger.note_levels(levels, Instant::now());
    }
}
