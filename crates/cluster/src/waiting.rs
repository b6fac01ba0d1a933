//! Batch items waiting for a server over all nodes, and this node's share of the free slots.
//!
//! Loads are known with a delay. If each node filled all free slots that it sees, they would be
//! overbooked and most of the items rejected.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use dappleyard_clock::Instant;
use parking_lot::Mutex;

use crate::server_loads::Source;

/// Age from which the report of another node is ignored.
const REPORT_LIFE: Duration = Duration::from_millis(1500);

#[derive(Default)]
pub struct WaitingItems {
    own: AtomicU32,
    /// Batch items of this node that have ended.
    ended: AtomicU64,
    others: Mutex<HashMap<Source, (Instant, u32)>>,
}

impl WaitingItems {
    /// Number of items waiting at this node.
    pub fn set_own(&self, items: u32) {
        self.own.store(items, Ordering::Relaxed);
    }

    /// Number of items waiting at this node.
    pub fn own(&self) -> u32 {
        self.own.load(Ordering::Relaxed)
    }

    /// Records that an item of this node ended and freed its slot.
    pub(crate) fn note_ended(&self) {
        self.ended.fetch_add(1, Ordering::Relaxed);
    }

    /// Scales a count of some of this node's waiting items to all nodes, on the assumption that the
    /// same fraction of the other nodes' items counts.
    pub fn scale_to_fleet(&self, own_part: u32) -> u32 {
        let own = u64::from(self.own()).max(1);
        let total = own + u64::from(self.sum(|_| true));
        u32::try_from(u64::from(own_part) * total / own).unwrap_or(u32::MAX)
    }

    /// Sets the number of items waiting at another node.
    pub fn set_node(&self, node: u64, items: u32) {
        self.set_source(Source::Node(node), items);
    }

    /// Replaces the count of a source. A fleet-wide sum replaces all other sources, and any other
    /// source replaces the fleet-wide sum.
    pub(crate) fn set_source(&self, source: Source, items: u32) {
        let mut others = self.others.lock();
        match source {
            Source::Fleet => others.clear(),
            _ => {
                others.remove(&Source::Fleet);
            }
        }
        others.insert(source, (Instant::now(), items));
    }

    /// Number of items waiting at the nodes of this zone.
    pub(crate) fn zone_sum(&self) -> u32 {
        self.own() + self.sum(|source| matches!(source, Source::Node(_)))
    }

    /// Number of items waiting at all nodes but one.
    pub(crate) fn sum_without(&self, node: u64) -> u32 {
        self.own() + self.sum(|source| *source != Source::Node(node) && *source != Source::Fleet)
    }

    fn sum(&self, counted: impl Fn(&Source) -> bool) -> u32 {
        let others = self.others.lock();
        let fresh = others
            .iter()
            .filter(|(source, (at, _))| at.elapsed() < REPORT_LIFE && counted(source));
        fresh.map(|(_, (_, items))| items).sum()
    }

    /// Time of the newest report that has not expired.
    fn newest_report(&self) -> Option<Instant> {
        let others = self.others.lock();
        let newest = others.values().map(|(at, _)| *at).max();
        newest.filter(|at| at.elapsed() < REPORT_LIFE)
    }
}

/// Batch items that this node may start until the next report from other nodes.
#[derive(Debug, Default)]
pub struct Allowance {
    newest_report: Option<Instant>,
    remaining: f64,
    ended: u64,
}

impl Allowance {
    /// Recomputes the allowance. `room` is the number of free slots that this node sees; `sample` is
    /// a uniform sample from 0 to 1 for rounding.
    pub fn refresh(&mut self, waiting: &WaitingItems, room: u32, sample: f64) {
        let ended = waiting.ended.load(Ordering::Relaxed);
        let freed = ended.saturating_sub(self.ended);
        self.ended = ended;
        let Some(newest_report) = waiting.newest_report() else {
            // No other node is known to use the slots.
            self.newest_report = None;
            self.remaining = f64::from(room);
            return;
        };
        if self.newest_report == Some(newest_report) {
            self.remaining += freed as f64;
            return;
        }
        self.newest_report = Some(newest_report);
        let (own, others) = (f64::from(waiting.own()), f64::from(waiting.sum(|_| true)));
        let share = own / (own + others).max(1.0);
        let own_slots = f64::from(room) * share;
        self.remaining = own_slots.floor() + f64::from(u8::from(sample < own_slots.fract()));
    }

    /// Uses the allowance for the start of one item; `false` if it is exhausted.
    pub fn take(&mut self) -> bool {
        if self.remaining < 1.0 {
            return false;
        }
        self.remaining -= 1.0;
        true
    }
}
