//! When the items of jobs make way for online requests of a service, and how they come back. Pure.
//!
//! The load: callers come in waves that need every slot for some seconds, and there are few of them between two waves.
//! Were items begun in each slot that is free for a moment, most would be cut a moment later and begun again elsewhere,
//! and each cut is a prompt to be read again and a slot that a caller waits for.
//!
//! So a service closes to items at the first online request that waits, and also when more refused requests are expected
//! back than slots are free, or when online requests and items fill every slot: the next request would wait. It stays
//! closed until nothing of this has held for a moment. An item that must begin now to be in time begins also while the
//! service is closed, in a free slot beyond those for the requests that wait or are expected back. Then items come back in steps, over a part of the time that one item takes, so that a wave that returns at
//! once finds most slots free, and so that the items do not all end at the same time.
//!
//! Every node decides for itself by what all nodes told of their demand and loads; nothing is agreed. A node that hears
//! nothing sees no demand, and a node that begins has seen none: both run items as if nobody waited.

use std::time::Duration;

use dappleyard_clock::Instant;

/// Time without a waiting request before items begin again: a request that found its slot is told of within some
/// heartbeats, and the next one of the same wave comes as soon.
const REST: Duration = Duration::from_millis(200);
/// Part of the time of an item over which items come back.
const RETURN_PART: f64 = 0.25;
/// Time without a look after which what was seen tells nothing.
const STATE_LIFE: Duration = Duration::from_millis(1_500);
/// An item begins without regard to the pace when its time is shorter than this many times what it needs.
const URGENT_TIMES: u64 = 2;

/// What is known of a service, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceLoad {
    /// Online requests that wait for a slot.
    pub waiting: u32,
    /// Refused online requests that are expected back.
    pub returning: u32,
    /// Slots of the servers that take work.
    pub slots: u32,
    /// Online requests at these servers.
    pub online: u32,
    /// Items at these servers.
    pub batch: u32,
    /// Slots without work, the sum over these servers.
    pub free: u32,
}

impl ServiceLoad {
    /// Whether online work needs slots that are not free, or would with the next request.
    fn is_pressed(&self) -> bool {
        let full = self.online > 0 && self.online + self.batch >= self.slots;
        self.waiting > 0 || self.returning > self.free || full
    }

    /// Free slots beyond those for online requests that wait or are expected back.
    fn left_over(&self) -> u32 {
        self.free.saturating_sub(self.waiting + self.returning)
    }

    /// Items that are to leave beside those at servers with more work than slots: a request that waits takes a free
    /// slot first.
    pub fn to_leave(&self) -> u32 {
        self.waiting.saturating_sub(self.free).min(self.batch)
    }
}

/// How a service turned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No item begins from now on but those that are urgent.
    Closed,
    /// Items begin again, after so long.
    Opened(Duration),
}

/// Items that come back to a service.
#[derive(Debug, Clone, Copy)]
struct Return {
    since: Instant,
    /// Items that ran all along.
    stayed: u32,
}

/// Whether items of one service may begin, and how many.
#[derive(Debug, Clone, Default)]
pub struct Yielding {
    closed_since: Option<Instant>,
    opens_at: Option<Instant>,
    returning: Option<Return>,
    seen_at: Option<Instant>,
    item_time: Duration,
}

impl Yielding {
    /// Takes what is known now; `item_time` is what an item takes from its first event to its last one.
    pub fn observe(
        &mut self,
        load: &ServiceLoad,
        item_time: Duration,
        now: Instant,
    ) -> Option<Change> {
        if !self.is_recent(now) {
            *self = Self::default();
        }
        self.seen_at = Some(now);
        self.item_time = item_time;
        if load.is_pressed() {
            return self.press(now);
        }
        match (self.closed_since, self.opens_at) {
            (Some(since), Some(at)) if now >= at => Some(self.open(load, since, now)),
            _ => None,
        }
    }

    fn press(&mut self, now: Instant) -> Option<Change> {
        self.opens_at = Some(now + REST);
        self.returning = None;
        if self.closed_since.is_some() {
            return None;
        }
        self.closed_since = Some(now);
        Some(Change::Closed)
    }

    fn open(&mut self, load: &ServiceLoad, since: Instant, now: Instant) -> Change {
        self.closed_since = None;
        self.opens_at = None;
        self.returning = Some(Return {
            since: now,
            stayed: load.batch,
        });
        Change::Opened(now.saturating_duration_since(since))
    }

    /// Whether no item may begin but those that are urgent.
    pub fn is_closed(&self) -> bool {
        self.closed_since.is_some()
    }

    /// Whether what was seen of the service tells anything yet.
    pub fn is_recent(&self, now: Instant) -> bool {
        let seen_at = self.seen_at;
        seen_at.is_some_and(|at| now.saturating_duration_since(at) < STATE_LIFE)
    }

    /// Items that may begin, over all nodes. So many of them as are `urgent`, over all nodes too, need not keep to the
    /// pace; while the service is closed, only these begin.
    pub fn room(&self, load: &ServiceLoad, urgent: u32, now: Instant) -> u32 {
        let by_pace = match self.is_closed() {
            true => 0,
            false => self.by_pace(load, now),
        };
        load.left_over().min(by_pace.max(urgent))
    }

    /// Items that may begin by the pace at which they come back.
    fn by_pace(&self, load: &ServiceLoad, now: Instant) -> u32 {
        let Some(returning) = self.returning else {
            return u32::MAX;
        };
        let takes = self.item_time.mul_f64(RETURN_PART).as_secs_f64();
        let age = now.saturating_duration_since(returning.since).as_secs_f64();
        if age >= takes {
            return u32::MAX;
        }
        let left = load.slots.saturating_sub(load.online + returning.stayed);
        let back = (f64::from(left) * age / takes) as u32;
        (returning.stayed + back).saturating_sub(load.batch)
    }
}

/// Whether an item must begin now to be in time, when it needs so long.
pub fn is_urgent(due_ms: u64, needs_ms: u64, now_ms: u64) -> bool {
    let left_ms = due_ms.saturating_sub(now_ms);
    needs_ms <= left_ms && left_ms < URGENT_TIMES * needs_ms
}

/// Spreads items that are to leave over servers in the order given, by how many items each has. The parts add up to
/// `leaving`, or to all items where these are fewer, so that nodes that see the same come to the same.
pub fn spread(leaving: u32, items: &[u32]) -> Vec<u32> {
    let total: u64 = items.iter().copied().map(u64::from).sum();
    let leaving = u64::from(leaving).min(total);
    let mut before = 0;
    let mut given = 0;
    let part = |held: &u32| {
        before += u64::from(*held);
        let until = (leaving * before).checked_div(total).unwrap_or(0);
        let part = until - given;
        given = until;
        part as u32
    };
    items.iter().map(part).collect()
}
