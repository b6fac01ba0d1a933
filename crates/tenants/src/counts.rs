//! What others said they let pass, and by how much it grew since. Pure.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::messages::PassedCount;

/// Time after which a node has heard of every tenant that sends anything: counts are told again for 1.5 s
/// after a request.
const SETTLED: Duration = Duration::from_millis(1_600);
/// Silence after which another delegate's counts of a zone are taken.
const ZONE_SILENCE: Duration = Duration::from_millis(600);

/// Requests of a tenant that were not known of before; below zero when some were given back.
pub(crate) type Change = (u32, i64);

/// The change of one count. One that is heard of for the first time counts as far as it is recent; before
/// the receiver has settled, whoever summed before it has told it already, unless its sender has just begun.
fn change(before: Option<u64>, count: &PassedCount, first: u64, settled: bool) -> i64 {
    match before {
        Some(before) => count.passed as i64 - before as i64,
        None if settled || count.is_all_recent() => first as i64,
        None => 0,
    }
}

/// What one other node let pass, as it last said.
#[derive(Debug, Default)]
pub(crate) struct NodeCounts {
    life: u64,
    heard: Option<Instant>,
    passed: HashMap<u32, u64>,
}

impl NodeCounts {
    /// Takes what the node says; the receiver has summed for `summing`.
    pub(crate) fn note(
        &mut self,
        life: u64,
        counts: &[PassedCount],
        summing: Duration,
        now: Instant,
    ) -> Vec<Change> {
        self.heard = Some(now);
        if self.life != life {
            self.life = life;
            self.passed.clear();
        }
        let settled = summing > SETTLED;
        let changes = counts.iter().map(|count| {
            let before = self.passed.insert(count.tenant, count.passed);
            (count.tenant, change(before, count, count.recent, settled))
        });
        changes.collect()
    }

    /// When the node last said anything.
    pub(crate) fn heard(&self) -> Option<Instant> {
        self.heard
    }

    /// Requests of a tenant as the node counts them, if it said so.
    pub(crate) fn of(&self, tenant: u32) -> Option<u64> {
        self.passed.get(&tenant).copied()
    }
}

/// What a delegate says of its zone.
#[derive(Debug, Clone, Copy)]
pub struct ZonePassed<'a> {
    /// Requests that its nodes let pass.
    pub counts: &'a [PassedCount],
    /// Part of its nodes that the delegate heard a moment ago, between 0 and 1.
    pub heard_part: f64,
}

/// What another zone let pass, as one of its delegates last said. The counts of two delegates differ by
/// what each has missed, so one is followed until it falls silent.
#[derive(Debug)]
pub(crate) struct ZoneCounts {
    /// Number and life of the delegate.
    delegate: (u64, u64),
    since: Instant,
    heard: Instant,
    heard_part: f64,
    /// Time by which its messages are longer under way than those of a zone of the own region.
    pub(crate) later: Duration,
    passed: HashMap<u32, u64>,
    standby: Option<Standby>,
}

/// Another delegate of the zone, and what it told since the one that is followed was last heard. When that
/// one is cut off, the 600 ms until it counts as silent are not lost: with the burst of five tenants in play
/// the others passed some 20 requests in them that were charged to nobody (virtual time).
#[derive(Debug)]
struct Standby {
    delegate: (u64, u64),
    passed: HashMap<u32, u64>,
    untold: HashMap<u32, i64>,
}

impl Standby {
    fn note(&mut self, told: &ZonePassed<'_>) {
        for count in told.counts {
            let before = self.passed.insert(count.tenant, count.passed);
            if let Some(before) = before {
                *self.untold.entry(count.tenant).or_default() +=
                    count.passed as i64 - before as i64;
            }
        }
    }
}

impl ZoneCounts {
    /// Follows a delegate from now on.
    pub(crate) fn new(delegate: (u64, u64), now: Instant) -> Self {
        Self {
            delegate,
            since: now,
            heard: now,
            heard_part: 1.0,
            later: Duration::ZERO,
            passed: HashMap::new(),
            standby: None,
        }
    }

    /// Follows another delegate from now on; what it told since the former one was last heard is charged.
    pub(crate) fn follow(&mut self, delegate: (u64, u64), now: Instant) -> Vec<Change> {
        let standby = self.standby.take();
        *self = Self {
            later: self.later,
            ..Self::new(delegate, now)
        };
        let Some(standby) = standby.filter(|standby| standby.delegate == delegate) else {
            return Vec::new();
        };
        self.passed = standby.passed;
        standby.untold.into_iter().collect()
    }

    fn note_standby(&mut self, delegate: (u64, u64), told: &ZonePassed<'_>) {
        match &mut self.standby {
            Some(standby) if standby.delegate == delegate => standby.note(told),
            _ => {
                let mut standby = Standby {
                    delegate,
                    passed: HashMap::new(),
                    untold: HashMap::new(),
                };
                standby.note(told);
                self.standby = Some(standby);
            }
        }
    }

    /// When the delegate that is followed last said anything.
    pub(crate) fn heard(&self) -> Instant {
        self.heard
    }

    /// Part of the zone's nodes that the delegate heard when it last said anything.
    pub(crate) fn heard_part(&self) -> f64 {
        self.heard_part
    }

    /// Whether another delegate is to be followed, since the present one has fallen silent. When that one
    /// speaks again first, its counts go on where they were.
    pub(crate) fn gives_way(&self, to: (u64, u64), now: Instant) -> bool {
        self.delegate != to && now.duration_since(self.heard) >= ZONE_SILENCE
    }

    /// Takes what a delegate of the zone says; nothing when another one is followed.
    pub(crate) fn note(
        &mut self,
        delegate: (u64, u64),
        told: &ZonePassed<'_>,
        now: Instant,
    ) -> Vec<Change> {
        if self.delegate != delegate {
            self.note_standby(delegate, told);
            return Vec::new();
        }
        if let Some(standby) = &mut self.standby {
            standby.untold.clear();
        }
        self.heard = now;
        self.heard_part = told.heard_part.clamp(0.0, 1.0);
        // All counts were told since then: one that appears later has begun at nothing.
        let settled = now.duration_since(self.since) > SETTLED;
        let changes = told.counts.iter().map(|count| {
            let before = self.passed.insert(count.tenant, count.passed);
            (count.tenant, change(before, count, count.passed, settled))
        });
        changes.collect()
    }
}
