//! Credit of all tenants as one node knows it. Pure: time is an argument.
//!
//! A node that sums (each one of a small fleet, the delegates of a large one) takes off what it hears
//! of every other node. A node that is told takes over what its delegate says, less what it has let pass
//! since. A node that hears nobody lets pass its share of the quota only: with every node's share
//! added up, a fleet in pieces stays within the operators' tolerance.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::{QuotaBounds, RateLimit, Tenants};

use crate::account::{Account, Part, Refill, tolerance, whole};
use crate::counts::{ZoneCounts, ZonePassed};
use crate::growth::Growing;
use crate::messages::{CreditLevel, PassedCount};
use crate::numbers::{point, slice, tenant_number};
use crate::reports::Heard;

/// Part of a bucket under which nodes are told of its level in each message.
const LOW: f64 = 0.6;
/// Time for which a level is told after it was last low, so that one lost message does no harm.
const TOLD_AFTER_LOW: Duration = Duration::from_millis(1_000);
/// Part of the operators' tolerance that a process grants when it has just begun. The rest is for what
/// other nodes let pass in the meantime (half: five times a quota of 40 a second passed the bound in virtual
/// time with all of it).
const IN_DOUBT: f64 = 0.5;
/// Age of the delegates' last word from which a node that is told no longer spends the credit of the fleet:
/// two delegates tell each 75 ms.
const TOLD_FRESH: Duration = Duration::from_millis(250);
/// Requests of a tenant that such a node lets pass since that word.
const UNTOLD_AT_MOST: u64 = 1;
/// Known part of the fleet below which a refusal tells of this node rather than of the tenant.
const ALONE_BELOW: f64 = 0.5;
/// Time for which all that a node has summed counts as recent: as long as a node's own requests do.
const YOUNG: Duration = Duration::from_millis(1_500);

/// Credit of all tenants.
#[derive(Debug)]
pub struct Ledger {
    bounds: QuotaBounds,
    /// Draws which nodes let a request pass where a share is less than one.
    seed: u64,
    began: Instant,
    /// Since when this node sums; `None` while it is told.
    summing_since: Option<Instant>,
    /// When a delegate last told of levels.
    told_at: Option<Instant>,
    share: f64,
    growing: Growing,
    limits: HashMap<u32, RateLimit>,
    accounts: HashMap<u32, Account>,
    heard: Heard,
}

impl Ledger {
    /// A ledger of a process that has just begun. What was let pass before is not known.
    pub fn new(bounds: QuotaBounds, seed: u64, now: Instant) -> Self {
        Self {
            bounds,
            seed,
            began: now,
            summing_since: None,
            told_at: None,
            growing: Growing::new(now),
            share: 1.0,
            limits: HashMap::new(),
            accounts: HashMap::new(),
            heard: Heard::default(),
        }
    }

    /// Takes over the limits of a configuration.
    pub fn set_limits(&mut self, tenants: Option<&Tenants>, now: Instant) {
        let limited = tenants.into_iter().flat_map(Tenants::iter);
        self.limits = limited
            .filter_map(|tenant| Some((tenant_number(tenant.name.as_str()), tenant.limit?)))
            .collect();
        let limits = &self.limits;
        self.accounts
            .retain(|tenant, _| limits.contains_key(tenant));
        self.fill(now);
        self.refill();
    }

    /// How this node stands to the others: whether it sums up what they let pass, and of which part of the
    /// fleet it knows, itself included.
    pub fn set_standing(&mut self, sums: bool, share: f64, now: Instant) {
        self.fill(now);
        let summed = self.summing_since.is_some();
        if summed == sums && share == self.share {
            return;
        }
        if sums != summed {
            self.summing_since = sums.then_some(now);
            self.heard.clear();
        }
        self.share = share;
        self.refill();
    }

    /// Whether this node hears too few others to know what the fleet has left.
    pub fn is_alone(&self) -> bool {
        self.share < ALONE_BELOW
    }

    /// Whether this node is told of levels, and its delegates have just fallen silent. What it knows of the
    /// fleet's credit is no longer true, and it does not know yet that it is alone.
    fn is_untold(&self, now: Instant) -> bool {
        let told = self.told_at.filter(|_| self.summing_since.is_none());
        !self.is_alone() && told.is_some_and(|at| now.duration_since(at) >= TOLD_FRESH)
    }

    /// Share of the fleet that the credit of the fleet stands for. A node that sums stands for those it
    /// hears; one that is told takes over what its delegate stands for.
    fn fleet_share(&self) -> f64 {
        match self.summing_since {
            Some(_) => self.share,
            None => 1.0,
        }
    }

    /// The share of this node by itself, where it is told of levels and nobody tells it: a bucket, and what
    /// is in it at first. It is without delegates for some seconds only, and lets one request of each tenant
    /// pass at least. A process that has just begun, and was never told, keeps to its share in the mean.
    fn own_share(&self, tenant: u32, limit: RateLimit, level: f64) -> Option<(Refill, f64)> {
        if self.summing_since.is_some() || !self.is_alone() {
            return None;
        }
        let level = match self.told_at {
            Some(_) => level.max(1.0),
            None => whole(level, point(self.seed, tenant)),
        };
        Some((Refill::new(limit, self.bounds, self.share), level))
    }

    /// Part of the nodes of this zone that told a moment ago what they let pass, this one included.
    pub fn zone_heard(&self, now: Instant) -> f64 {
        self.heard.own_zone_part(now)
    }

    /// How fast credit of the fleet grows here, as a part of its rate, and how fast by those alone that told without delay. A node
    /// that is told waits for the next message: others take from the same credit. One that sums goes by the part of the fleet that
    /// told it a moment ago what it let pass: where the fleet is cut, all parts together must not let pass more than
    /// before, and the silence of the others shows in the share only after seconds.
    fn growth(&self, now: Instant) -> (f64, f64) {
        match self.summing_since {
            Some(_) => (self.heard.fresh_part(now), self.heard.prompt_part(now)),
            None => (0.0, 0.0),
        }
    }

    /// Brings all accounts up to now.
    fn fill(&mut self, now: Instant) {
        let (heard, prompt) = self.growth(now);
        let held = self.growing.note(heard, prompt, now);
        let part = self.summing_since.and_then(|_| Part::new(heard));
        for (tenant, account) in &mut self.accounts {
            account.fill(heard, now);
            account.hold(held);
            account.set_part(part, point(self.seed, *tenant));
        }
    }

    /// Gives all accounts the buckets that fit limits and standing.
    fn refill(&mut self) {
        let share = self.fleet_share();
        let mut accounts = std::mem::take(&mut self.accounts);
        for (tenant, account) in &mut accounts {
            let Some(limit) = self.limits.get(tenant).copied() else {
                continue;
            };
            let refill = Refill::new(limit, self.bounds, share);
            account.set_refill(refill, point(self.seed, *tenant));
            let level = Refill::new(limit, self.bounds, self.share).depth;
            account.set_alone(self.own_share(*tenant, limit, level));
        }
        self.accounts = accounts;
    }

    /// The account of a tenant; `None` for one without a limit.
    fn account(&mut self, tenant: u32, now: Instant) -> Option<&mut Account> {
        let limit = *self.limits.get(&tenant)?;
        if !self.accounts.contains_key(&tenant) {
            let account = self.open(tenant, limit, now);
            self.accounts.insert(tenant, account);
        }
        let account = self.accounts.get_mut(&tenant)?;
        account.fill(self.growing.heard(), now);
        Some(account)
    }

    fn open(&self, tenant: u32, limit: RateLimit, now: Instant) -> Account {
        let refill = Refill::new(limit, self.bounds, self.fleet_share());
        let window = Duration::from_millis(self.bounds.window_ms);
        let young = now.duration_since(self.began) < window;
        // What was let pass before this process began may be all that was allowed.
        let in_doubt = IN_DOUBT * tolerance(limit, self.bounds);
        let level = match (young, self.summing_since) {
            (true, _) => in_doubt,
            // Untold means that it is not low.
            (false, None) => LOW * refill.depth,
            (false, Some(_)) => Refill::new(limit, self.bounds, 1.0).depth,
        };
        let level = match self.summing_since {
            Some(_) => whole(level * self.share, point(self.seed, tenant)),
            None => level,
        };
        let mut account = Account::new(refill, level, now);
        account.set_alone(self.own_share(tenant, limit, level * self.share));
        account
    }

    /// Takes one request of a tenant off; `Err` tells when there will be credit for it.
    pub fn take(&mut self, tenant: u32, now: Instant) -> Result<(), Duration> {
        let untold = self.is_untold(now);
        let at_most = if untold { UNTOLD_AT_MOST } else { u64::MAX };
        match self.account(tenant, now) {
            Some(account) if account.is_spent(at_most) => Err(TOLD_FRESH),
            Some(account) => account.take(now),
            None => Ok(()),
        }
    }

    /// A request that was let pass has run nowhere and will not.
    pub fn give_back(&mut self, tenant: u32, now: Instant) {
        if let Some(account) = self.account(tenant, now) {
            account.give_back();
        }
    }

    /// Credit left of a tenant, in requests; `None` for one without a limit.
    pub fn level(&mut self, tenant: u32, now: Instant) -> Option<f64> {
        self.account(tenant, now).map(|account| account.level())
    }

    /// What this node let pass lately, for others.
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

    /// Takes off what another node let pass.
    pub fn note_node(&mut self, node: u64, life: u64, counts: &[PassedCount], now: Instant) {
        let Some(since) = self.summing_since else {
            return;
        };
        let held = self.heard.nodes.entry(node).or_default();
        let changes = held.note(life, counts, now.duration_since(since), now);
        self.fill(now);
        for (tenant, change) in changes {
            if let Some(account) = self.account(tenant, now) {
                account.charge(change);
                account.zone_passed = account.zone_passed.saturating_add_signed(change);
            }
        }
    }

    /// What all nodes of this zone let pass, for the delegates of other zones: where credit is low, or
    /// all of it.
    pub fn zone_passed(&mut self, all: bool, now: Instant) -> Vec<PassedCount> {
        let summing = self.summing_since.map(|since| now.duration_since(since));
        let young = summing.is_some_and(|age| age < YOUNG);
        self.fill(now);
        let told = self.accounts.iter();
        let told = told.filter(|(_, account)| account.zone_passed > 0);
        told.filter_map(|(tenant, account)| {
            let low = account.is_low(LOW);
            (all || low).then_some(PassedCount {
                tenant: *tenant,
                passed: account.zone_passed,
                recent: match young {
                    true => account.zone_passed,
                    false => 0,
                },
            })
        })
        .collect()
    }

    /// Takes off what another zone let pass, as one of its delegates says.
    pub fn note_zone(
        &mut self,
        zone: u64,
        delegate: (u64, u64),
        told: &ZonePassed<'_>,
        now: Instant,
    ) {
        if self.summing_since.is_none() {
            return;
        }
        let follow = || ZoneCounts::new(delegate, now);
        let held = self.heard.zones.entry(zone).or_insert_with(follow);
        let mut changes = Vec::new();
        if held.gives_way(delegate, now) {
            changes = held.follow(delegate, now);
        }
        changes.extend(held.note(delegate, told, now));
        self.fill(now);
        for (tenant, change) in changes {
            if let Some(account) = self.account(tenant, now) {
                account.charge(change);
            }
        }
    }

    /// Notes by how much longer messages of a zone are under way than those of zones of the own region.
    pub fn note_way(&mut self, zone: u64, later: Duration) {
        if let Some(held) = self.heard.zones.get_mut(&zone) {
            held.later = later;
        }
    }

    /// Levels for a node of this zone: those that are low, or were a moment ago.
    pub fn levels_for(&mut self, node: u64, now: Instant) -> Vec<CreditLevel> {
        self.fill(now);
        let counts = self.heard.nodes.get(&node);
        let accounts = self.accounts.iter_mut();
        accounts
            .filter_map(|(tenant, account)| {
                let level = account.free();
                if account.is_low(LOW) {
                    account.low_at = Some(now);
                }
                let told_from = account.low_at?;
                (now.duration_since(told_from) < TOLD_AFTER_LOW).then(|| CreditLevel {
                    tenant: *tenant,
                    level_milli: (level * 1_000.0) as i64,
                    included: counts.and_then(|counts| counts.of(*tenant)),
                })
            })
            .collect()
    }

    /// Takes over what a delegate says; a tenant of which it says nothing is not low.
    pub fn note_levels(&mut self, levels: &[CreditLevel], now: Instant) {
        if self.summing_since.is_some() {
            return;
        }
        let told: HashMap<u32, &CreditLevel> =
            levels.iter().map(|level| (level.tenant, level)).collect();
        for told in told.values() {
            let Some(account) = self.account(told.tenant, now) else {
                continue;
            };
            let (passed, recent) = account.passed(now);
            let untold = match told.included {
                Some(included) => passed.saturating_sub(included),
                None => recent,
            };
            account.set_level(told.level_milli as f64 / 1_000.0 - untold as f64);
        }
        self.fill(now);
        self.told_at = Some(now);
        for (tenant, account) in &mut self.accounts {
            let slice = told.get(tenant).map(|level| slice(level.level_milli));
            account.note_told(slice.unwrap_or(u64::MAX));
            if slice.is_none() {
                account.set_at_least(LOW);
            }
        }
    }
}
