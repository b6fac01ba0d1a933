//! Credit of one tenant: a token bucket whose level is shared by all nodes. Pure.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::{QuotaBounds, RateLimit};

use crate::growth::Held;

/// Part of the operators' tolerance that the bucket is deeper than the burst. What other nodes let pass
/// is known some hundred milliseconds late, so the order of requests over the fleet is not known
/// exactly: with this part no caller is refused below its quota because of old news. The other
/// part is for what is not known yet.
const TOLERANCE_IN_DEPTH: f64 = 0.5;
/// Least depth of a bucket: with less than one request it would let nothing pass, however long it fills.
const LEAST_DEPTH: f64 = 1.0;
/// Part of the fleet from which on it may spend all credit while the rest is silent, and up to which it may
/// spend none beyond its rate. They add up to one, see `Part::kept`.
const KEEPS_ALL: f64 = 0.75;
const KEEPS_NONE: f64 = 0.25;
/// Longest time after which a caller is asked to come back.
const LONGEST_WAIT: Duration = Duration::from_secs(60);
/// Requests count as recent for one to two spans of this length.
const RECENT: Duration = Duration::from_millis(1_500);

/// Requests by which all nodes together may pass a quota in one span.
pub fn tolerance(limit: RateLimit, bounds: QuotaBounds) -> f64 {
    let window_s = bounds.window_ms as f64 / 1_000.0;
    bounds.over * (limit.per_s * window_s + limit.burst) + bounds.slack
}

/// How a bucket fills.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refill {
    /// Requests a second.
    pub per_s: f64,
    /// Most requests at once.
    pub depth: f64,
}

impl Refill {
    /// The bucket of a limit, for nodes that stand for a share of the fleet.
    pub fn new(limit: RateLimit, bounds: QuotaBounds, share: f64) -> Self {
        let depth = limit.burst + TOLERANCE_IN_DEPTH * tolerance(limit, bounds);
        Self {
            per_s: share * limit.per_s,
            depth: share * depth,
        }
    }
}

/// A number of requests as a whole one, so that the mean over many nodes is kept: of a share of less than
/// one, some nodes let one request pass and the others none. `point` is between 0 and 1.
pub(crate) fn whole(requests: f64, point: f64) -> f64 {
    match requests < LEAST_DEPTH {
        true => f64::from(u8::from(point < requests)),
        false => requests,
    }
}

/// A part of the fleet while the rest is silent and is not known to be gone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Part {
    /// The part of the fleet that is heard, between 0 and 1.
    heard: f64,
}

impl Part {
    /// The part, where it is so small that the rest may spend as much as this one.
    pub(crate) fn new(heard: f64) -> Option<Self> {
        (heard < KEEPS_ALL).then_some(Self { heard })
    }

    /// Share of the credit that the part may spend. The shares of all parts of a fleet add up to at most
    /// one, however it is cut: a large part keeps more than its share, and those that are small nothing.
    fn kept(self) -> f64 {
        ((self.heard - KEEPS_NONE) / (KEEPS_ALL - KEEPS_NONE)).max(0.0)
    }
}

/// Requests of one tenant that this node let pass.
#[derive(Debug, Clone, Copy)]
struct Passed {
    count: u64,
    /// The count at the beginning of the present span, and of the one before.
    span_base: u64,
    recent_base: u64,
    span_began: Instant,
}

impl Passed {
    fn turn(&mut self, now: Instant) {
        let age = now.duration_since(self.span_began);
        if age < RECENT {
            return;
        }
        self.recent_base = match age < 2 * RECENT {
            true => self.span_base,
            false => self.count,
        };
        self.span_base = self.count;
        self.span_began = now;
    }

    fn recent(&self) -> u64 {
        self.count.saturating_sub(self.recent_base)
    }
}

/// A bucket and what is in it.
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
        self.refill.depth.max(LEAST_DEPTH)
    }

    fn add(&mut self, requests: f64) {
        self.level = (self.level + requests).min(self.depth());
    }

    fn fill(&mut self, seconds: f64) {
        self.add(seconds * self.refill.per_s);
    }

    /// Time until there is credit for one request.
    fn until_credit(&self) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        Duration::try_from_secs_f64(missing / self.refill.per_s)
            .map_or(LONGEST_WAIT, |wait| wait.min(LONGEST_WAIT))
    }
}

/// Credit of one tenant, as one node knows it. Whoever looks at it or changes it fills it first.
#[derive(Debug, Clone)]
pub(crate) struct Account {
    /// Credit left over all nodes.
    fleet: Bucket,
    /// What this node may let pass while it hears too few others to know what the fleet has left.
    alone: Option<Bucket>,
    /// What this part of the fleet may let pass while the rest is silent.
    part: Option<(Part, Bucket)>,
    /// Requests of the credit that are not to be spent now.
    held_back: f64,
    at: Instant,
    passed: Passed,
    /// Requests that this node had let pass when a delegate last told of levels.
    passed_when_told: u64,
    /// Requests that this node lets pass until it is told again.
    slice: u64,
    /// Requests of all nodes of the own zone.
    pub(crate) zone_passed: u64,
    /// When the credit was last low.
    pub(crate) low_at: Option<Instant>,
}

impl Account {
    pub(crate) fn new(refill: Refill, level: f64, now: Instant) -> Self {
        Self {
            fleet: Bucket::new(refill, level),
            alone: None,
            part: None,
            held_back: 0.0,
            at: now,
            passed: Passed {
                count: 0,
                span_base: 0,
                recent_base: 0,
                span_began: now,
            },
            passed_when_told: 0,
            slice: u64::MAX,
            zone_passed: 0,
            low_at: None,
        }
    }

    /// Brings the account up to now; credit of the fleet grows at a part of its rate.
    pub(crate) fn fill(&mut self, growth: f64, now: Instant) {
        let seconds = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.passed.turn(now);
        self.fleet.fill(seconds * growth);
        if let Some((_, bucket)) = &mut self.part {
            bucket.fill(seconds);
        }
        if let Some(alone) = &mut self.alone {
            alone.fill(seconds);
        }
    }

    /// Sets aside what zones that are late may have spent, and drops what silent ones may have spent.
    pub(crate) fn hold(&mut self, held: Held) {
        let per_s = self.fleet.refill.per_s;
        self.fleet.add(-held.given_up_s * per_s);
        self.held_back = held.back_s * per_s;
    }

    /// Goes on with another bucket; what is in it stays, as far as it is deep enough. What was set aside for
    /// a rest of the fleet that is now known to be gone is not spent by this part.
    pub(crate) fn set_refill(&mut self, refill: Refill, point: f64) {
        let level = self.level().min(whole(refill.depth, point));
        self.fleet = Bucket::new(refill, level);
    }

    /// The node's own share holds beside the credit of the fleet from now on, or no longer.
    pub(crate) fn set_alone(&mut self, share: Option<(Refill, f64)>) {
        let recent = self.passed.recent() as f64;
        self.alone = share.map(|(refill, level)| {
            // What this node let pass a moment ago is part of its share.
            Bucket::new(refill, level - recent)
        });
    }

    /// The rest of the fleet is silent from now on, or is heard again. Credit that is set aside for the rest
    /// is not lost: it is there again once the rest is heard.
    pub(crate) fn set_part(&mut self, part: Option<Part>, point: f64) {
        let Some(part) = part else {
            self.part = None;
            return;
        };
        let whole_refill = self.fleet.refill;
        let refill = Refill {
            per_s: part.heard * whole_refill.per_s,
            depth: part.kept() * whole_refill.depth,
        };
        let level = match self.part {
            None => whole(part.kept() * self.fleet.level, point),
            Some((held, bucket)) if part.kept() < held.kept() && bucket.level > 0.0 => {
                whole(bucket.level * part.kept() / held.kept(), point)
            }
            Some((_, bucket)) => bucket.level,
        };
        self.part = Some((part, Bucket::new(refill, level)));
    }

    pub(crate) fn is_low(&self, part: f64) -> bool {
        self.fleet.level < part * self.fleet.depth()
    }

    pub(crate) fn level(&self) -> f64 {
        let part = self.part.map_or(f64::MAX, |(_, bucket)| bucket.level);
        self.fleet.level.min(part)
    }

    /// Credit that may be spent now.
    pub(crate) fn free(&self) -> f64 {
        self.level().min(self.fleet.level - self.held_back)
    }

    pub(crate) fn set_level(&mut self, level: f64) {
        self.fleet = Bucket::new(self.fleet.refill, level);
    }

    /// What is told of no longer was not low: at least this part is there.
    pub(crate) fn set_at_least(&mut self, part: f64) {
        self.set_level(self.fleet.level.max(part * self.fleet.depth()));
    }

    /// A delegate told what is left.
    pub(crate) fn note_told(&mut self, slice: u64) {
        self.passed_when_told = self.passed.count;
        self.slice = slice;
    }

    /// Whether this node has let pass what it may, `at_most` or its slice, since a delegate last told what
    /// is left.
    pub(crate) fn is_spent(&self, at_most: u64) -> bool {
        let passed = self.passed.count.saturating_sub(self.passed_when_told);
        passed >= self.slice.min(at_most)
    }

    /// Takes one request off; `Err` tells when there will be credit for it.
    pub(crate) fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let part = self.part.as_ref().map(|(_, bucket)| bucket);
        let fleet = Bucket {
            level: self.fleet.level - self.held_back,
            ..self.fleet
        };
        let buckets = [Some(&fleet), self.alone.as_ref(), part];
        let wait = buckets
            .into_iter()
            .flatten()
            .map(Bucket::until_credit)
            .max();
        if let Some(wait) = wait.filter(|wait| !wait.is_zero()) {
            return Err(wait);
        }
        self.add(-1.0);
        self.passed.turn(now);
        self.passed.count += 1;
        self.zone_passed += 1;
        Ok(())
    }

    fn add(&mut self, requests: f64) {
        self.fleet.add(requests);
        if let Some(alone) = &mut self.alone {
            alone.add(requests);
        }
        if let Some((_, bucket)) = &mut self.part {
            bucket.add(requests);
        }
    }

    /// A request that was let pass has run nowhere and will not.
    pub(crate) fn give_back(&mut self) {
        self.add(1.0);
        self.passed.count = self.passed.count.saturating_sub(1);
        self.zone_passed = self.zone_passed.saturating_sub(1);
    }

    /// Takes off what another node let pass; below zero when it gave requests back.
    pub(crate) fn charge(&mut self, requests: i64) {
        self.fleet.add(-(requests as f64));
        if let Some((_, bucket)) = &mut self.part {
            bucket.add(-(requests as f64));
        }
    }

    /// Requests that this node let pass since it began, and in the last seconds.
    pub(crate) fn passed(&mut self, now: Instant) -> (u64, u64) {
        self.passed.turn(now);
        (self.passed.count, self.passed.recent())
    }
}
