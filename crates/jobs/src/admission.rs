//! Admission control of batch items on a service that is shared with online requests. Pure functions.
//!
//! Online requests arrive in bursts that need every slot for some seconds, with little load between them. Starting
//! items in every slot that is briefly free would preempt most of them shortly afterwards; each preemption repeats
//! the prompt processing and delays an online request.
//!
//! Admission to a service closes when an online request waits, when more rejected requests are expected to retry
//! than slots are free, or when online requests and items fill every slot. It stays closed until none of this has
//! held for [`REOPEN_DELAY`]. Urgent items, which must start now to meet their deadline, still start while admission
//! is closed, in free slots that no waiting or retrying request needs. After reopening, items are admitted in steps
//! over a fraction of an item's run time: a burst that returns at once finds most slots free, and the items do not
//! all end at the same time.
//!
//! Each node decides on its own, based on the demand and load that all nodes report. A node that receives no reports,
//! or has just started, assumes that there is no demand.

use std::time::Duration;

use dappleyard_clock::Instant;

/// Time without waiting requests before admission reopens. It covers the delay of heartbeats and the gaps between
/// requests of one burst.
const REOPEN_DELAY: Duration = Duration::from_millis(200);
/// Fraction of an item's run time over which items are admitted again.
const RAMP_FRACTION: f64 = 0.25;
/// Age from which earlier observations are discarded.
const MAX_OBSERVATION_AGE: Duration = Duration::from_millis(1_500);
/// An item is urgent if the time to its deadline is shorter than this multiple of its estimated run time.
const URGENT_FACTOR: u64 = 2;

/// Load of a service, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceLoad {
    /// Online requests that wait for a slot.
    pub waiting: u32,
    /// Rejected online requests that are expected to retry.
    pub returning: u32,
    /// Slots of the servers that accept items.
    pub slots: u32,
    /// Online requests in progress on these servers.
    pub online: u32,
    /// Batch items in progress on these servers.
    pub batch: u32,
    /// Free slots, summed over these servers.
    pub free: u32,
}

impl ServiceLoad {
    /// Whether online requests need slots that are not free, or the next one would.
    fn is_pressed(&self) -> bool {
        let full = self.online > 0 && self.online + self.batch >= self.slots;
        self.waiting > 0 || self.returning > self.free || full
    }

    /// Free slots that no waiting or retrying online request needs.
    fn spare_slots(&self) -> u32 {
        self.free.saturating_sub(self.waiting + self.returning)
    }

    /// Items to preempt in addition to those beyond a server's slots. Waiting requests use free slots first.
    pub fn items_to_preempt(&self) -> u32 {
        self.waiting.saturating_sub(self.free).min(self.batch)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionChange {
    /// Only urgent items are admitted from now on.
    Closed,
    /// Items are admitted again; holds the time for which admission was closed.
    Opened(Duration),
}

/// Stepwise admission after reopening.
#[derive(Debug, Clone, Copy)]
struct Ramp {
    since: Instant,
    /// Items that were running when admission reopened.
    batch_at_start: u32,
}

#[derive(Debug, Clone, Default)]
pub struct BatchAdmission {
    closed_since: Option<Instant>,
    /// When admission reopens unless online requests need slots again.
    opens_at: Option<Instant>,
    ramp: Option<Ramp>,
    observed_at: Option<Instant>,
    /// Expected run time of an item, at the last observation.
    item_time: Duration,
}

impl BatchAdmission {
    /// Updates the state from the current load; `item_time` is the expected run time of an item.
    pub fn observe(
        &mut self,
        load: &ServiceLoad,
        item_time: Duration,
        now: Instant,
    ) -> Option<AdmissionChange> {
        if !self.is_recent(now) {
            *self = Self::default();
        }
        self.observed_at = Some(now);
        self.item_time = item_time;
        if load.is_pressed() {
            return self.close_or_extend(now);
        }
        match (self.closed_since, self.opens_at) {
            (Some(since), Some(at)) if now >= at => Some(self.open(load, since, now)),
            _ => None,
        }
    }

    fn close_or_extend(&mut self, now: Instant) -> Option<AdmissionChange> {
        self.opens_at = Some(now + REOPEN_DELAY);
        self.ramp = None;
        if self.closed_since.is_some() {
            return None;
        }
        self.closed_since = Some(now);
        Some(AdmissionChange::Closed)
    }

    fn open(&mut self, load: &ServiceLoad, since: Instant, now: Instant) -> AdmissionChange {
        self.closed_since = None;
        self.opens_at = None;
        self.ramp = Some(Ramp {
            since: now,
            batch_at_start: load.batch,
        });
        AdmissionChange::Opened(now.saturating_duration_since(since))
    }

    /// Whether only urgent items are admitted.
    pub fn is_closed(&self) -> bool {
        self.closed_since.is_some()
    }

    /// Whether the last observation is recent enough to be used.
    pub fn is_recent(&self, now: Instant) -> bool {
        let observed_at = self.observed_at;
        observed_at.is_some_and(|at| now.saturating_duration_since(at) < MAX_OBSERVATION_AGE)
    }

    /// Number of items that may start, over all nodes. Up to `urgent` items, also over all nodes, are exempt from the
    /// ramp; while admission is closed, only these may start.
    pub fn capacity(&self, load: &ServiceLoad, urgent: u32, now: Instant) -> u32 {
        let ramp_limit = match self.is_closed() {
            true => 0,
            false => self.ramp_limit(load, now),
        };
        load.spare_slots().min(ramp_limit.max(urgent))
    }

    /// Number of items that may start according to the ramp.
    fn ramp_limit(&self, load: &ServiceLoad, now: Instant) -> u32 {
        let Some(ramp) = self.ramp else {
            return u32::MAX;
        };
        let ramp_secs = self.item_time.mul_f64(RAMP_FRACTION).as_secs_f64();
        let age = now.saturating_duration_since(ramp.since).as_secs_f64();
        if age >= ramp_secs {
            return u32::MAX;
        }
        let available = load.slots.saturating_sub(load.online + ramp.batch_at_start);
        let admitted = (f64::from(available) * age / ramp_secs) as u32;
        (ramp.batch_at_start + admitted).saturating_sub(load.batch)
    }
}

/// Whether an item must start now to meet its deadline, given its estimated run time.
pub fn is_urgent(due_ms: u64, needed_ms: u64, now_ms: u64) -> bool {
    let left_ms = due_ms.saturating_sub(now_ms);
    needed_ms <= left_ms && left_ms < URGENT_FACTOR * needed_ms
}

/// Distributes `preempted` items over servers in proportion to the items that each server runs, in the given order.
/// The parts add up to `preempted`, or to all items if these are fewer. The result is deterministic, so that nodes
/// with the same view agree.
pub fn apportion(preempted: u32, items: &[u32]) -> Vec<u32> {
    let total: u64 = items.iter().copied().map(u64::from).sum();
    let preempted = u64::from(preempted).min(total);
    let mut items_so_far = 0;
    let mut assigned = 0;
    let part = |count: &u32| {
        items_so_far += u64::from(*count);
        let until = (preempted * items_so_far).checked_div(total).unwrap_or(0);
        let part = until - assigned;
        assigned = until;
        part as u32
    };
    items.iter().map(part).collect()
}
