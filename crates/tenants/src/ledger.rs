//! Credit of all tenants, as known to one node. Pure; time is an argument.
//!
//! An aggregating node (each node of a small fleet, the delegates of a large one) deducts the requests that every other
//! node reports. Any other node takes over the levels that its delegate reports, less the requests that it has admitted
//! since. A node that hears nobody admits only its share of each quota, so that a partitioned fleet stays within the
//! configured tolerance.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::{QuotaBounds, RateLimit, Tenants};

use crate::account::{Account, Partition, Refill, round_fraction, tolerance};
use crate::counts::{ZoneCounts, ZonePassed};
use crate::growth::GrowthTracker;
use crate::messages::{CreditLevel, PassedCount};
use crate::numbers::{allowance, random_point, tenant_number};
use crate::reports::Reports;

/// Fraction of a bucket's depth below which its level is reported in each message.
const LOW_FRACTION: f64 = 0.6;
/// Time for which a level is still reported after it was low, so that a lost message does no harm.
const LOW_REPORT_DURATION: Duration = Duration::from_millis(1_000);
/// Fraction of the tolerance that a process grants initially, when it does not know what was admitted before. The
/// rest covers what other nodes admit in the meantime: with all of it, a tenant that sends five times its quota
/// exceeds the bound in simulations.
const INITIAL_TOLERANCE_FRACTION: f64 = 0.5;
/// Age of the last reported levels from which a node stops spending the fleet's credit. Two delegates report every
/// 75 ms.
const MAX_LEVEL_AGE: Duration = Duration::from_millis(250);
/// Requests per tenant that a node without recent levels still admits.
const MAX_WITHOUT_LEVELS: u64 = 1;
/// Fleet share below which a node counts as isolated, so that a refusal reflects its isolation rather than the
/// tenant's use.
const ISOLATED_BELOW: f64 = 0.5;
/// Time after which counts of a new aggregator are no longer all recent; the same as for a node's own requests.
const AGGREGATION_WARM_UP: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
pub struct Ledger {
    bounds: QuotaBounds,
    /// Seed that selects the nodes which admit a request where a share is less than one.
    seed: u64,
    started_at: Instant,
    /// When this node started to aggregate; `None` while it receives levels.
    aggregating_since: Option<Instant>,
    /// When a delegate last reported levels to this node.
    levels_at: Option<Instant>,
    /// Share of the fleet that this node hears, including itself.
    share: f64,
    growth_tracker: GrowthTracker,
    limits: HashMap<u32, RateLimit>,
    accounts: HashMap<u32, Account>,
    reports: Reports,
}

impl Ledger {
    /// Creates the ledger of a process that has just started and does not know what was admitted before.
    pub fn new(bounds: QuotaBounds, seed: u64, now: Instant) -> Self {
        Self {
            bounds,
            seed,
            started_at: now,
            aggregating_since: None,
            levels_at: None,
            growth_tracker: GrowthTracker::new(now),
            share: 1.0,
            limits: HashMap::new(),
            accounts: HashMap::new(),
            reports: Reports::default(),
        }
    }

    pub fn set_limits(&mut self, tenants: Option<&Tenants>, now: Instant) {
        let limited = tenants.into_iter().flat_map(Tenants::iter);
        self.limits = limited
            .filter_map(|tenant| Some((tenant_number(tenant.name.as_str()), tenant.limit?)))
            .collect();
        let limits = &self.limits;
        self.accounts
            .retain(|tenant, _| limits.contains_key(tenant));
        self.fill(now);
        self.rebuild_buckets();
    }

    /// Sets whether this node aggregates the counts of others, and the share of the fleet that it hears, including
    /// itself.
    pub fn set_role(&mut self, aggregates: bool, share: f64, now: Instant) {
        self.fill(now);
        let aggregated = self.aggregating_since.is_some();
        if aggregated == aggregates && share == self.share {
            return;
        }
        if aggregates != aggregated {
            self.aggregating_since = aggregates.then_some(now);
            self.reports.clear();
        }
        self.share = share;
        self.rebuild_buckets();
    }

    /// Whether this node hears too few others to know the fleet's credit.
    pub fn is_isolated(&self) -> bool {
        self.share < ISOLATED_BELOW
    }

    /// Whether this node depends on reported levels and its delegates have just fallen silent: the levels are out of
    /// date, but the node does not count as isolated yet.
    fn lacks_levels(&self, now: Instant) -> bool {
        let reported = self.levels_at.filter(|_| self.aggregating_since.is_none());
        !self.is_isolated() && reported.is_some_and(|at| now.duration_since(at) >= MAX_LEVEL_AGE)
    }

    /// Share of the fleet that the fleet's bucket represents. An aggregating node represents the nodes that it hears;
    /// any other node takes over the level of its delegate.
    fn fleet_share(&self) -> f64 {
        match self.aggregating_since {
            Some(_) => self.share,
            None => 1.0,
        }
    }

    /// Bucket and initial level of this node while it is isolated from its delegates. As this lasts only some seconds,
    /// it admits at least one request per tenant. A process that has never received levels keeps to its share on
    /// average.
    fn isolated_bucket(&self, tenant: u32, limit: RateLimit, level: f64) -> Option<(Refill, f64)> {
        if self.aggregating_since.is_some() || !self.is_isolated() {
            return None;
        }
        let level = match self.levels_at {
            Some(_) => level.max(1.0),
            None => round_fraction(level, random_point(self.seed, tenant)),
        };
        Some((Refill::new(limit, self.bounds, self.share), level))
    }

    /// Fraction of the nodes of this zone, including this one, with a recent report.
    pub fn zone_heard(&self, now: Instant) -> f64 {
        self.reports.own_zone_fraction(now)
    }

    /// Fractions of the rate at which the fleet's credit grows: for all that are heard, and for those that are not
    /// late. A node that receives levels waits for the next report, since others spend the same credit. An
    /// aggregating node uses the fraction of the fleet that has reported recently: during a partition, all sides
    /// together must not admit more than before, and the share reflects silence only after seconds.
    fn growth_fractions(&self, now: Instant) -> (f64, f64) {
        match self.aggregating_since {
            Some(_) => (
                self.reports.fresh_fraction(now),
                self.reports.prompt_fraction(now),
            ),
            None => (0.0, 0.0),
        }
    }

    /// Refills all accounts up to now.
    fn fill(&mut self, now: Instant) {
        let (heard, prompt) = self.growth_fractions(now);
        let held = self.growth_tracker.update(heard, prompt, now);
        let part = self.aggregating_since.and_then(|_| Partition::new(heard));
        for (tenant, account) in &mut self.accounts {
            account.fill(heard, now);
            account.withhold(held);
            account.set_partition(part, random_point(self.seed, *tenant));
        }
    }

    /// Adjusts the buckets of all accounts to the current limits and share.
    fn rebuild_buckets(&mut self) {
        let share = self.fleet_share();
        let mut accounts = std::mem::take(&mut self.accounts);
        for (tenant, account) in &mut accounts {
            let Some(limit) = self.limits.get(tenant).copied() else {
                continue;
            };
            let refill = Refill::new(limit, self.bounds, share);
            account.set_refill(refill, random_point(self.seed, *tenant));
            let level = Refill::new(limit, self.bounds, self.share).depth;
            account.set_isolated(self.isolated_bucket(*tenant, limit, level));
        }
        self.accounts = accounts;
    }

    /// The account of a tenant; `None` if it has no limit.
    fn account(&mut self, tenant: u32, now: Instant) -> Option<&mut Account> {
        let limit = *self.limits.get(&tenant)?;
        if !self.accounts.contains_key(&tenant) {
            let account = self.open_account(tenant, limit, now);
            self.accounts.insert(tenant, account);
        }
        let account = self.accounts.get_mut(&tenant)?;
        account.fill(self.growth_tracker.heard(), now);
        Some(account)
    }

    fn open_account(&self, tenant: u32, limit: RateLimit, now: Instant) -> Account {
        let refill = Refill::new(limit, self.bounds, self.fleet_share());
        let window = Duration::from_millis(self.bounds.window_ms);
        let recently_started = now.duration_since(self.started_at) < window;
        // Requests admitted before this process started may have used up the quota.
        let initial_level = INITIAL_TOLERANCE_FRACTION * tolerance(limit, self.bounds);
        let level = match (recently_started, self.aggregating_since) {
            (true, _) => initial_level,
            // A tenant that is not reported is not low.
            (false, None) => LOW_FRACTION * refill.depth,
            (false, Some(_)) => Refill::new(limit, self.bounds, 1.0).depth,
        };
        let level = match self.aggregating_since {
            Some(_) => round_fraction(level * self.share, random_point(self.seed, tenant)),
            None => level,
        };
        let mut account = Account::new(refill, level, now);
        account.set_isolated(self.isolated_bucket(tenant, limit, level * self.share));
        account
    }

    /// Deducts one request of a tenant; on failure returns the time until there is credit for it.
    pub fn take(&mut self, tenant: u32, now: Instant) -> Result<(), Duration> {
        let levels_outdated = self.lacks_levels(now);
        let max_requests = if levels_outdated {
            MAX_WITHOUT_LEVELS
        } else {
            u64::MAX
        };
        match self.account(tenant, now) {
            Some(account) if account.is_allowance_spent(max_requests) => Err(MAX_LEVEL_AGE),
            Some(account) => account.take(now),
            None => Ok(()),
        }
    }

    /// Refunds an admitted request that has not run and will not.
    pub fn refund(&mut self, tenant: u32, now: Instant) {
        if let Some(account) = self.account(tenant, now) {
            account.refund();
        }
    }

    /// Remaining credit of a tenant, in requests; `None` if it has no limit.
    pub fn level(&mut self, tenant: u32, now: Instant) -> Option<f64> {
        self.account(tenant, now).map(|account| account.level())
    }

    /// Counts of this node's recently active tenants, for other nodes.
    pub fn passed(&mut self, now: Instant) -> Vec<PassedCount> {
        let accounts = self.accounts.iter_mut();
        let counts = accounts.map(|(tenant, account)| {
            let (passed, recent) = account.passed(now);
            PassedCount {
                tenant: *tenant,
                passed,
                recent,
            }
        });
        counts.filter(|count| count.recent > 0).collect()
    }

    /// Deducts the requests that another node has reported.
    pub fn note_node(&mut self, node: u64, life: u64, counts: &[PassedCount], now: Instant) {
        let Some(since) = self.aggregating_since else {
            return;
        };
        let peer_counts = self.reports.nodes.entry(node).or_default();
        let changes = peer_counts.update(life, counts, now.duration_since(since), now);
        self.fill(now);
        for (tenant, change) in changes {
            if let Some(account) = self.account(tenant, now) {
                account.charge(change);
                account.zone_passed = account.zone_passed.saturating_add_signed(change);
            }
        }
    }

    /// Counts of all nodes of this zone, for the delegates of other zones: for tenants with low credit, or with `all`
    /// for every tenant.
    pub fn zone_passed(&mut self, all: bool, now: Instant) -> Vec<PassedCount> {
        let aggregating = self
            .aggregating_since
            .map(|since| now.duration_since(since));
        let recently_started = aggregating.is_some_and(|age| age < AGGREGATION_WARM_UP);
        self.fill(now);
        let reported = self.accounts.iter();
        let reported = reported.filter(|(_, account)| account.zone_passed > 0);
        reported
            .filter_map(|(tenant, account)| {
                let low = account.is_low(LOW_FRACTION);
                (all || low).then_some(PassedCount {
                    tenant: *tenant,
                    passed: account.zone_passed,
                    recent: match recently_started {
                        true => account.zone_passed,
                        false => 0,
                    },
                })
            })
            .collect()
    }

    /// Deducts the requests that a delegate of another zone has reported.
    pub fn note_zone(
        &mut self,
        zone: u64,
        delegate: (u64, u64),
        reported: &ZonePassed<'_>,
        now: Instant,
    ) {
        if self.aggregating_since.is_none() {
            return;
        }
        let new_counts = || ZoneCounts::new(delegate, now);
        let peer_counts = self.reports.zones.entry(zone).or_insert_with(new_counts);
        let mut changes = Vec::new();
        if peer_counts.should_switch(delegate, now) {
            changes = peer_counts.switch_to(delegate, now);
        }
        changes.extend(peer_counts.update(delegate, reported, now));
        self.fill(now);
        for (tenant, change) in changes {
            if let Some(account) = self.account(tenant, now) {
                account.charge(change);
            }
        }
    }

    /// Sets the additional message delay of a zone, compared with zones of the own region.
    pub fn set_extra_delay(&mut self, zone: u64, extra_delay: Duration) {
        if let Some(peer_counts) = self.reports.zones.get_mut(&zone) {
            peer_counts.extra_delay = extra_delay;
        }
    }

    /// Levels to report to a node of this zone: those that are low, or were recently.
    pub fn levels_for(&mut self, node: u64, now: Instant) -> Vec<CreditLevel> {
        self.fill(now);
        let counts = self.reports.nodes.get(&node);
        let accounts = self.accounts.iter_mut();
        accounts
            .filter_map(|(tenant, account)| {
                let level = account.spendable();
                if account.is_low(LOW_FRACTION) {
                    account.low_at = Some(now);
                }
                let last_low = account.low_at?;
                (now.duration_since(last_low) < LOW_REPORT_DURATION).then(|| CreditLevel {
                    tenant: *tenant,
                    level_milli: (level * 1_000.0) as i64,
                    included: counts.and_then(|counts| counts.of(*tenant)),
                })
            })
            .collect()
    }

    /// Applies the levels that a delegate has reported; a tenant that is not included is not low.
    pub fn note_levels(&mut self, levels: &[CreditLevel], now: Instant) {
        if self.aggregating_since.is_some() {
            return;
        }
        let reported: HashMap<u32, &CreditLevel> =
            levels.iter().map(|level| (level.tenant, level)).collect();
        for reported in reported.values() {
            let Some(account) = self.account(reported.tenant, now) else {
                continue;
            };
            let (passed, recent) = account.passed(now);
            let unreported = match reported.included {
                Some(included) => passed.saturating_sub(included),
                None => recent,
            };
            account.set_level(reported.level_milli as f64 / 1_000.0 - unreported as f64);
        }
        self.fill(now);
        self.levels_at = Some(now);
        for (tenant, account) in &mut self.accounts {
            let allowance = reported
                .get(tenant)
                .map(|level| allowance(level.level_milli));
            account.note_levels_reported(allowance.unwrap_or(u64::MAX));
            if allowance.is_none() {
                account.raise_to_fraction(LOW_FRACTION);
            }
        }
    }
}
