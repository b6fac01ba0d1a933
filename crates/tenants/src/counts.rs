//! Counts of admitted requests reported by other nodes and zones, and their changes. Pure; time is an argument.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::messages::PassedCount;

/// Time after which a node has received counts of every active tenant, since a count is reported for 1.5 s after a
/// request.
const SETTLE_TIME: Duration = Duration::from_millis(1_600);
/// Time without a report after which another delegate of the zone is used.
const DELEGATE_TIMEOUT: Duration = Duration::from_millis(600);

/// A tenant and the change of its count; negative if requests were refunded.
pub(crate) type CountDelta = (u32, i64);

/// Change of one count. For the first count of a tenant, `first` is charged. Until the receiver has settled, it is
/// charged only if the sender has just started; otherwise a previous aggregator has charged it already.
fn delta(before: Option<u64>, count: &PassedCount, first: u64, settled: bool) -> i64 {
    match before {
        Some(before) => count.passed as i64 - before as i64,
        None if settled || count.is_all_recent() => first as i64,
        None => 0,
    }
}

#[derive(Debug, Default)]
pub(crate) struct NodeCounts {
    /// Process incarnation of the node, whose totals start at zero.
    life: u64,
    last_heard: Option<Instant>,
    passed: HashMap<u32, u64>,
}

impl NodeCounts {
    /// Updates the counts from a report; the receiver has been aggregating for `aggregating`.
    pub(crate) fn update(
        &mut self,
        life: u64,
        counts: &[PassedCount],
        aggregating: Duration,
        now: Instant,
    ) -> Vec<CountDelta> {
        self.last_heard = Some(now);
        if self.life != life {
            self.life = life;
            self.passed.clear();
        }
        let settled = aggregating > SETTLE_TIME;
        let changes = counts.iter().map(|count| {
            let before = self.passed.insert(count.tenant, count.passed);
            (count.tenant, delta(before, count, count.recent, settled))
        });
        changes.collect()
    }

    /// Time of the node's last report.
    pub(crate) fn last_heard(&self) -> Option<Instant> {
        self.last_heard
    }

    /// The node's count for a tenant, if it has reported one.
    pub(crate) fn of(&self, tenant: u32) -> Option<u64> {
        self.passed.get(&tenant).copied()
    }
}

/// Report of a delegate about its zone.
#[derive(Debug, Clone, Copy)]
pub struct ZonePassed<'a> {
    /// Requests admitted by the nodes of the zone.
    pub counts: &'a [PassedCount],
    /// Fraction of the zone's nodes that the delegate has heard recently, between 0 and 1.
    pub heard_fraction: f64,
}

/// Counts of another zone, as reported by one of its delegates. The counts of two delegates differ by the messages
/// that each has missed, so one delegate is followed until it falls silent.
#[derive(Debug)]
pub(crate) struct ZoneCounts {
    /// Number and process incarnation of the delegate that is followed.
    delegate: (u64, u64),
    followed_since: Instant,
    last_heard: Instant,
    heard_fraction: f64,
    /// Additional message delay compared with a zone of the own region.
    pub(crate) extra_delay: Duration,
    passed: HashMap<u32, u64>,
    standby: Option<Standby>,
}

/// Another delegate of the zone, with the changes that it has reported since the last report of the followed one.
/// They are charged after a switch, so that requests admitted during [`DELEGATE_TIMEOUT`] are not missed.
#[derive(Debug)]
struct Standby {
    delegate: (u64, u64),
    passed: HashMap<u32, u64>,
    uncharged: HashMap<u32, i64>,
}

impl Standby {
    fn update(&mut self, report: &ZonePassed<'_>) {
        for count in report.counts {
            let before = self.passed.insert(count.tenant, count.passed);
            if let Some(before) = before {
                *self.uncharged.entry(count.tenant).or_default() +=
                    count.passed as i64 - before as i64;
            }
        }
    }
}

impl ZoneCounts {
    /// Starts to follow a delegate.
    pub(crate) fn new(delegate: (u64, u64), now: Instant) -> Self {
        Self {
            delegate,
            followed_since: now,
            last_heard: now,
            heard_fraction: 1.0,
            extra_delay: Duration::ZERO,
            passed: HashMap::new(),
            standby: None,
        }
    }

    /// Switches to another delegate; returns the changes that it has reported since the last report of the former one.
    pub(crate) fn switch_to(&mut self, delegate: (u64, u64), now: Instant) -> Vec<CountDelta> {
        let standby = self.standby.take();
        *self = Self {
            extra_delay: self.extra_delay,
            ..Self::new(delegate, now)
        };
        let Some(standby) = standby.filter(|standby| standby.delegate == delegate) else {
            return Vec::new();
        };
        self.passed = standby.passed;
        standby.uncharged.into_iter().collect()
    }

    fn update_standby(&mut self, delegate: (u64, u64), report: &ZonePassed<'_>) {
        match &mut self.standby {
            Some(standby) if standby.delegate == delegate => standby.update(report),
            _ => {
                let mut standby = Standby {
                    delegate,
                    passed: HashMap::new(),
                    uncharged: HashMap::new(),
                };
                standby.update(report);
                self.standby = Some(standby);
            }
        }
    }

    /// Time of the last report of the followed delegate.
    pub(crate) fn last_heard(&self) -> Instant {
        self.last_heard
    }

    /// Fraction of the zone's nodes that the delegate had heard at its last report.
    pub(crate) fn heard_fraction(&self) -> f64 {
        self.heard_fraction
    }

    /// Whether to switch to the delegate `to`, because the followed one is silent. If the followed one reports first,
    /// it is kept.
    pub(crate) fn should_switch(&self, to: (u64, u64), now: Instant) -> bool {
        self.delegate != to && now.duration_since(self.last_heard) >= DELEGATE_TIMEOUT
    }

    /// Updates the counts from a delegate's report; returns nothing if another delegate is followed.
    pub(crate) fn update(
        &mut self,
        delegate: (u64, u64),
        report: &ZonePassed<'_>,
        now: Instant,
    ) -> Vec<CountDelta> {
        if self.delegate != delegate {
            self.update_standby(delegate, report);
            return Vec::new();
        }
        if let Some(standby) = &mut self.standby {
            standby.uncharged.clear();
        }
        self.last_heard = now;
        self.heard_fraction = report.heard_fraction.clamp(0.0, 1.0);
        // Once settled, all earlier counts have been reported, so a new one started at zero.
        let settled = now.duration_since(self.followed_since) > SETTLE_TIME;
        let changes = report.counts.iter().map(|count| {
            let before = self.passed.insert(count.tenant, count.passed);
            (count.tenant, delta(before, count, count.passed, settled))
        });
        changes.collect()
    }
}
