//! Slowdown estimates in the load table: reported by servers, measured by this node, and exchanged
//! between nodes.

use std::time::Duration;

use dappleyard_clock::Instant;

use crate::loads::{LoadTable, server_number};
use crate::messages::LoadEntry;
use crate::server_loads::Source;
use crate::slowdown::{Slowdown, SlowdownEstimate};

/// Greatest error of the age of a sample that was relayed by other nodes.
const RELAY_AGE_ERROR: Duration = Duration::from_millis(20);

/// A slowdown estimate and the source of its newest sample.
#[derive(Default)]
pub(crate) struct SharedSlowdown {
    slowdown: SlowdownEstimate,
    /// Source of the newest sample; `None` for this node.
    from: Option<Source>,
}

impl SharedSlowdown {
    /// Merges a sample from another node if it is newer by more than the transfer error: a relayed
    /// sample returns with a smaller age.
    fn merge(&mut self, source: Source, (age_ms, percent): (u32, u32), now: Instant) {
        let Some(age_ms) = age_ms.checked_sub(1) else {
            return;
        };
        let at = now.checked_sub(Duration::from_millis(u64::from(age_ms)));
        let reported = at.zip(Slowdown::of_percent(percent));
        let newer = reported.filter(|(at, _)| self.slowdown.is_older_than(*at, RELAY_AGE_ERROR));
        if newer.is_some_and(|(at, slowdown)| self.slowdown.note(slowdown, at)) {
            self.from = Some(source);
        }
    }

    /// Adds a sample of this node. Returns whether it differs significantly from the previous
    /// estimate.
    fn note(&mut self, slowdown: Slowdown, now: Instant) -> bool {
        let held = self.slowdown.now(now);
        self.slowdown.note(slowdown, now);
        self.from = None;
        slowdown.differs_significantly(held)
    }

    /// Age of the newest sample in milliseconds plus one, and its value, if it came from this node
    /// or a counted source. Zeros if there is none, or while the server is close to normal.
    pub(crate) fn entry(&self, now: Instant, counted: impl Fn(&Source) -> bool) -> (u32, u32) {
        match self.slowdown.newest(now) {
            Some((age, slowdown))
                if self.from.as_ref().is_none_or(counted) && !self.slowdown.is_normal(now) =>
            {
                (age.as_millis() as u32 + 1, slowdown.percent())
            }
            _ => (0, 0),
        }
    }
}

/// Slowdown estimates of one server.
#[derive(Default)]
pub(crate) struct Slowdowns {
    /// Reported by the server.
    pub(crate) reported: SharedSlowdown,
    /// Measured slowdown relative to the reported one.
    pub(crate) excess: SharedSlowdown,
}

impl Slowdowns {
    /// Merges a report of another node.
    pub(crate) fn merge(&mut self, source: Source, entry: &LoadEntry, now: Instant) {
        let reported = (entry.pace_age_ms, entry.pace_percent);
        self.reported.merge(source, reported, now);
        let excess = (entry.excess_pace_age_ms, entry.excess_pace_percent);
        self.excess.merge(source, excess, now);
    }

    /// The current estimate.
    pub(crate) fn now(&self, now: Instant) -> Slowdown {
        self.reported
            .slowdown
            .now(now)
            .of(self.excess.slowdown.now(now))
    }

    /// The estimate over the last seconds.
    pub(crate) fn long_term(&self, now: Instant) -> Slowdown {
        let excess = self.excess.slowdown.long_term(now);
        self.reported.slowdown.long_term(now).of(excess)
    }
}

impl LoadEntry {
    /// Whether the slowdown differs enough from `held` to be sent at once.
    pub(crate) fn differs_in_slowdown(&self, held: &LoadEntry) -> bool {
        let differs = |reported: u32, held: u32| {
            let held = Slowdown::of_percent(held).unwrap_or_default();
            Slowdown::of_percent(reported)
                .is_some_and(|slowdown| slowdown.differs_significantly(held))
        };
        differs(self.pace_percent, held.pace_percent)
            || differs(self.excess_pace_percent, held.excess_pace_percent)
    }
}

impl LoadTable {
    /// The current slowdown estimate of a server.
    pub fn slowdown(&self, server: &str) -> Slowdown {
        self.slowdowns(server, |slowdowns| slowdowns.now(Instant::now()))
    }

    /// The current slowdown as reported by the server.
    pub fn reported_slowdown(&self, server: &str) -> Slowdown {
        self.slowdowns(server, |slowdowns| {
            slowdowns.reported.slowdown.now(Instant::now())
        })
    }

    /// Whether the server reports its slowdown.
    pub fn reports_slowdown(&self, server: &str) -> bool {
        let servers = self.servers.lock();
        let loads = servers.get(&server_number(server));
        loads.is_some_and(|loads| loads.slowdowns.reported.slowdown.is_known())
    }

    fn slowdowns(&self, server: &str, of: impl Fn(&Slowdowns) -> Slowdown) -> Slowdown {
        let servers = self.servers.lock();
        let loads = servers.get(&server_number(server));
        loads.map_or(Slowdown::NORMAL, |loads| of(&loads.slowdowns))
    }

    /// Adds a value reported by a server. Returns whether it differs significantly from the
    /// previous estimate.
    pub fn note_reported_slowdown(&self, server: &str, slowdown: Slowdown) -> bool {
        self.note_sample(server, |slowdowns, now| {
            slowdowns.reported.note(slowdown, now)
        })
    }

    /// Adds a measured slowdown relative to the reported one. Returns whether it differs
    /// significantly from the previous estimate.
    pub fn note_excess_slowdown(&self, server: &str, excess: Slowdown) -> bool {
        self.note_sample(server, |slowdowns, now| slowdowns.excess.note(excess, now))
    }

    fn note_sample(&self, server: &str, note: impl Fn(&mut Slowdowns, Instant) -> bool) -> bool {
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        let is_significant = note(&mut loads.slowdowns, Instant::now());
        if is_significant {
            loads.unsent = true;
            self.change.notify_one();
        }
        is_significant
    }
}
