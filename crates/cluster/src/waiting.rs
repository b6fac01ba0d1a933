//! Items of jobs that wait for a server, over all nodes, and the part of the free slots that one node
//! may fill.
//!
//! Loads are known with a delay. If each node filled all free slots that it sees, a heap of waiting
//! items would be sent several times over, and most of it turned away.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use dappleyard_clock::Instant;
use parking_lot::Mutex;

use crate::server_loads::Source;

/// News older than this tells nothing.
const NEWS_LIFE: Duration = Duration::from_millis(1500);

/// Waiting items of this node and of the others.
#[derive(Default)]
pub struct WaitingItems {
    own: AtomicU32,
    /// Runs of items that have ended at this node.
    ended: AtomicU64,
    others: Mutex<HashMap<Source, (Instant, u32)>>,
}

impl WaitingItems {
    /// Items that wait at this node.
    pub fn set_own(&self, items: u32) {
        self.own.store(items, Ordering::Relaxed);
    }

    /// Items that wait at this node.
    pub fn own(&self) -> u32 {
        self.own.load(Ordering::Relaxed)
    }

    /// A run of this node has ended, and its slot is free.
    pub(crate) fn note_ended(&self) {
        self.ended.fetch_add(1, Ordering::Relaxed);
    }

    /// How many items over all nodes a part of this node's own stands for, when the others' are like its own.
    pub fn over_all(&self, own_part: u32) -> u32 {
        let own = u64::from(self.own()).max(1);
        let total = own + u64::from(self.sum(|_| true));
        u32::try_from(u64::from(own_part) * total / own).unwrap_or(u32::MAX)
    }

    /// Items that wait at one other node.
    pub fn set_others(&self, node: u64, items: u32) {
        self.set_source(Source::Node(node), items);
    }

    /// Items that wait elsewhere. A sum over the fleet takes the place of everything else, and the
    /// other way round.
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

    /// Items that wait at the nodes of this zone.
    pub(crate) fn zone_sum(&self) -> u32 {
        self.own() + self.sum(|source| matches!(source, Source::Node(_)))
    }

    /// Items that wait at all nodes but one.
    pub(crate) fn sum_without(&self, node: u64) -> u32 {
        self.own() + self.sum(|source| *source != Source::Node(node) && *source != Source::Fleet)
    }

    fn sum(&self, counted: impl Fn(&Source) -> bool) -> u32 {
        let others = self.others.lock();
        let fresh = others
            .iter()
            .filter(|(source, (at, _))| at.elapsed() < NEWS_LIFE && counted(source));
        fresh.map(|(_, (_, items))| items).sum()
    }

    /// When other nodes last told anything that still counts.
    fn news(&self) -> Option<Instant> {
        let others = self.others.lock();
        let newest = others.values().map(|(at, _)| *at).max();
        newest.filter(|at| at.elapsed() < NEWS_LIFE)
    }
}

/// Starts of items that one node may make until it hears more of the others.
#[derive(Debug, Default)]
pub struct Allowance {
    news: Option<Instant>,
    left: f64,
    ended: u64,
}

impl Allowance {
    /// Takes what is known now: `room` is the number of free slots as this node sees them, and
    /// `point` is uniform between 0 and 1.
    pub fn refresh(&mut self, waiting: &WaitingItems, room: u32, point: f64) {
        let ended = waiting.ended.load(Ordering::Relaxed);
        let freed = ended.saturating_sub(self.ended);
        self.ended = ended;
        let Some(news) = waiting.news() else {
            // Nobody else is known to fill the slots.
            self.news = None;
            self.left = f64::from(room);
            return;
        };
        if self.news == Some(news) {
            self.left += freed as f64;
            return;
        }
        self.news = Some(news);
        let (own, others) = (f64::from(waiting.own()), f64::from(waiting.sum(|_| true)));
        let share = own / (own + others).max(1.0);
        let part = f64::from(room) * share;
        self.left = part.floor() + f64::from(u8::from(point < part.fract()));
    }

    /// Takes one start; `false` when none is left.
    pub fn take(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
