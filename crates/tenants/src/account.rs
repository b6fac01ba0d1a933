//! Token bucket of one tenant, shared by all nodes. Pure; time is an argument.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::{QuotaBounds, RateLimit};

use crate::growth::HeldCredit;

/// Fraction of the configured tolerance by which the bucket is deeper than the burst. Reports of other nodes arrive
/// some hundred milliseconds late, so the fleet-wide order of requests is uncertain; this margin keeps callers below
/// their quota from being refused. The rest of the tolerance covers requests that are not reported yet.
const DEPTH_TOLERANCE_FRACTION: f64 = 0.5;
/// Smallest depth of a bucket; with less than one request it would never admit any.
const MIN_DEPTH: f64 = 1.0;
/// During a partition, a side with at least `FULL_CREDIT_FRACTION` of the fleet may spend all credit, and one with at
/// most `NO_CREDIT_FRACTION` none beyond its rate. They add up to one, so that the credit shares of two sides do too.
const FULL_CREDIT_FRACTION: f64 = 0.75;
const NO_CREDIT_FRACTION: f64 = 0.25;
/// Longest retry delay given to a caller.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Requests count as recent for one to two spans of this length.
const RECENT_SPAN: Duration = Duration::from_millis(1_500);

/// Number of requests by which the fleet may exceed a quota in one window.
pub fn tolerance(limit: RateLimit, bounds: QuotaBounds) -> f64 {
    let window_s = bounds.window_ms as f64 / 1_000.0;
    bounds.over * (limit.per_s * window_s + limit.burst) + bounds.slack
}

/// Refill rate and depth of a bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refill {
    pub per_s: f64,
    /// Largest burst of requests.
    pub depth: f64,
}

impl Refill {
    /// Creates the parameters for a limit, for nodes that represent the given share of the fleet.
    pub fn new(limit: RateLimit, bounds: QuotaBounds, share: f64) -> Self {
        let depth = limit.burst + DEPTH_TOLERANCE_FRACTION * tolerance(limit, bounds);
        Self {
            per_s: share * limit.per_s,
            depth: share * depth,
        }
    }
}

/// Rounds a fraction below one to 0 or 1, so that the mean over many nodes is preserved: some nodes admit one request
/// and the others none. `random_point` is between 0 and 1.
pub(crate) fn round_fraction(requests: f64, random_point: f64) -> f64 {
    match requests < MIN_DEPTH {
        true => f64::from(u8::from(random_point < requests)),
        false => requests,
    }
}

/// One side of a suspected network partition, while the silent rest of the fleet may still be alive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Partition {
    /// Fraction of the fleet that is heard, between 0 and 1.
    heard: f64,
}

impl Partition {
    /// Creates a partition, unless the heard fraction is so large that it may spend all credit.
    pub(crate) fn new(heard: f64) -> Option<Self> {
        (heard < FULL_CREDIT_FRACTION).then_some(Self { heard })
    }

    /// Share of the credit that this side may spend. The shares of all sides add up to at most one: a large side keeps
    /// more than its proportional share, and a small one nothing.
    fn credit_share(self) -> f64 {
        ((self.heard - NO_CREDIT_FRACTION) / (FULL_CREDIT_FRACTION - NO_CREDIT_FRACTION)).max(0.0)
    }
}

/// Requests of one tenant that this node has admitted.
#[derive(Debug, Clone, Copy)]
struct PassedCounter {
    count: u64,
    /// Count at the start of the current span, and of the previous one.
    span_base: u64,
    recent_base: u64,
    span_started_at: Instant,
}

impl PassedCounter {
    fn roll_over(&mut self, now: Instant) {
        let age = now.duration_since(self.span_started_at);
        if age < RECENT_SPAN {
            return;
        }
        self.recent_base = match age < 2 * RECENT_SPAN {
            true => self.span_base,
            false => self.count,
        };
        self.span_base = self.count;
        self.span_started_at = now;
    }

    fn recent(&self) -> u64 {
        self.count.saturating_sub(self.recent_base)
    }
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    refill: Refill,
    level: f64,
}

impl Bucket {
    fn new(refill: Refill, level: f64) -> Self {
        let mut bucket = Self { refill, level };
        bucket.add(0.0);
        bucket
    }

    fn depth(&self) -> f64 {
        self.refill.depth.max(MIN_DEPTH)
    }

    fn add(&mut self, requests: f64) {
        self.level = (self.level + requests).min(self.depth());
    }

    fn fill(&mut self, seconds: f64) {
        self.add(seconds * self.refill.per_s);
    }

    /// Time until the bucket holds one request.
    fn until_credit(&self) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        Duration::try_from_secs_f64(missing / self.refill.per_s)
            .map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
    }
}

/// Credit of one tenant, as known to one node. Callers must fill the account before they read or change it.
#[derive(Debug, Clone)]
pub(crate) struct Account {
    /// Fleet-wide credit.
    fleet: Bucket,
    /// Limit on this node's own requests while it is isolated.
    isolated: Option<Bucket>,
    /// Limit on this side of the fleet during a partition.
    part: Option<(Partition, Bucket)>,
    /// Credit that may not be spent at present.
    withheld: f64,
    updated_at: Instant,
    passed: PassedCounter,
    /// This node's count when a delegate last reported levels.
    passed_at_report: u64,
    /// Requests that this node may admit until the next report.
    allowance: u64,
    /// Requests admitted by all nodes of the own zone.
    pub(crate) zone_passed: u64,
    /// Time at which the credit was last low.
    pub(crate) low_at: Option<Instant>,
}

impl Account {
    pub(crate) fn new(refill: Refill, level: f64, now: Instant) -> Self {
        Self {
            fleet: Bucket::new(refill, level),
            isolated: None,
            part: None,
            withheld: 0.0,
            updated_at: now,
            passed: PassedCounter {
                count: 0,
                span_base: 0,
                recent_base: 0,
                span_started_at: now,
            },
            passed_at_report: 0,
            allowance: u64::MAX,
            zone_passed: 0,
            low_at: None,
        }
    }

    /// Refills the buckets up to now; the fleet's credit grows at the fraction `growth` of its rate.
    pub(crate) fn fill(&mut self, growth: f64, now: Instant) {
        let seconds = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.passed.roll_over(now);
        self.fleet.fill(seconds * growth);
        if let Some((_, bucket)) = &mut self.part {
            bucket.fill(seconds);
        }
        if let Some(isolated) = &mut self.isolated {
            isolated.fill(seconds);
        }
    }

    /// Withholds the credit that late zones may have spent, and drops what silent ones may have spent.
    pub(crate) fn withhold(&mut self, held: HeldCredit) {
        let per_s = self.fleet.refill.per_s;
        self.fleet.add(-held.forfeited_s * per_s);
        self.withheld = held.withheld_s * per_s;
    }

    /// Changes the parameters of the bucket and keeps the level, up to the new depth. Credit that was withheld from
    /// this side during a partition stays unspent if the rest of the fleet turns out to be gone.
    pub(crate) fn set_refill(&mut self, refill: Refill, random_point: f64) {
        let level = self.level().min(round_fraction(refill.depth, random_point));
        self.fleet = Bucket::new(refill, level);
    }

    /// Sets or removes the limit for an isolated node.
    pub(crate) fn set_isolated(&mut self, share: Option<(Refill, f64)>) {
        let recent = self.passed.recent() as f64;
        self.isolated = share.map(|(refill, level)| {
            // Recent requests of this node count against its share.
            Bucket::new(refill, level - recent)
        });
    }

    /// Sets or removes the limit for a partition. The credit reserved for the silent rest is available again once the
    /// rest is heard.
    pub(crate) fn set_partition(&mut self, part: Option<Partition>, random_point: f64) {
        let Some(part) = part else {
            self.part = None;
            return;
        };
        let full_refill = self.fleet.refill;
        let refill = Refill {
            per_s: part.heard * full_refill.per_s,
            depth: part.credit_share() * full_refill.depth,
        };
        let level = match self.part {
            None => round_fraction(part.credit_share() * self.fleet.level, random_point),
            Some((previous, bucket))
                if part.credit_share() < previous.credit_share() && bucket.level > 0.0 =>
            {
                round_fraction(
                    bucket.level * part.credit_share() / previous.credit_share(),
                    random_point,
                )
            }
            Some((_, bucket)) => bucket.level,
        };
        self.part = Some((part, Bucket::new(refill, level)));
    }

    /// Whether the fleet's credit is below a fraction of the depth.
    pub(crate) fn is_low(&self, fraction: f64) -> bool {
        self.fleet.level < fraction * self.fleet.depth()
    }

    /// Remaining credit of the fleet, or of this side during a partition; includes withheld credit.
    pub(crate) fn level(&self) -> f64 {
        let part = self.part.map_or(f64::MAX, |(_, bucket)| bucket.level);
        self.fleet.level.min(part)
    }

    /// Remaining credit that may be spent now.
    pub(crate) fn spendable(&self) -> f64 {
        self.level().min(self.fleet.level - self.withheld)
    }

    /// Sets the fleet's credit.
    pub(crate) fn set_level(&mut self, level: f64) {
        self.fleet = Bucket::new(self.fleet.refill, level);
    }

    /// Raises the level to a fraction of the depth, for a tenant that is no longer reported as low.
    pub(crate) fn raise_to_fraction(&mut self, fraction: f64) {
        self.set_level(self.fleet.level.max(fraction * self.fleet.depth()));
    }

    /// Starts a new allowance after a delegate's report.
    pub(crate) fn note_levels_reported(&mut self, allowance: u64) {
        self.passed_at_report = self.passed.count;
        self.allowance = allowance;
    }

    /// Whether this node has used its allowance, or `max_requests` if that is less, since the last report.
    pub(crate) fn is_allowance_spent(&self, max_requests: u64) -> bool {
        let passed = self.passed.count.saturating_sub(self.passed_at_report);
        passed >= self.allowance.min(max_requests)
    }

    /// Deducts one request; on failure returns the time until there is credit for it.
    pub(crate) fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let part = self.part.as_ref().map(|(_, bucket)| bucket);
        let fleet = Bucket {
            level: self.fleet.level - self.withheld,
            ..self.fleet
        };
        let buckets = [Some(&fleet), self.isolated.as_ref(), part];
        let wait = buckets
            .into_iter()
            .flatten()
            .map(Bucket::until_credit)
            .max();
        if let Some(wait) = wait.filter(|wait| !wait.is_zero()) {
            return Err(wait);
        }
        self.add(-1.0);
        self.passed.roll_over(now);
        self.passed.count += 1;
        self.zone_passed += 1;
        Ok(())
    }

    fn add(&mut self, requests: f64) {
        self.fleet.add(requests);
        if let Some(isolated) = &mut self.isolated {
            isolated.add(requests);
        }
        if let Some((_, bucket)) = &mut self.part {
            bucket.add(requests);
        }
    }

    /// Refunds an admitted request that has not run and will not.
    pub(crate) fn refund(&mut self) {
        self.add(1.0);
        self.passed.count = self.passed.count.saturating_sub(1);
        self.zone_passed = self.zone_passed.saturating_sub(1);
    }

    /// Deducts requests that another node has admitted; negative for refunds.
    pub(crate) fn charge(&mut self, requests: i64) {
        self.fleet.add(-(requests as f64));
        if let Some((_, bucket)) = &mut self.part {
            bucket.add(-(requests as f64));
        }
    }

    /// Requests admitted by this node, in total and recently.
    pub(crate) fn passed(&mut self, now: Instant) -> (u64, u64) {
        self.passed.roll_over(now);
        (self.passed.count, self.passed.recent())
    }
}
