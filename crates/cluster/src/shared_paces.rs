//! Slowdown estimates in the load table: reported by servers, measured by this node, and exchanged
//! between nodes.

use std::time::Duration;

use dappleyard_clock::Instant;

use crate::loads::{LoadTable, server_number};
use crate::messages::LoadEntry;
use crate::server_loads::Source;
use crate::server_pace::{Pace, ServerPace};

/// Greatest error of the age of a sample that was relayed by other nodes.
const ECHO: Duration = Duration::from_millis(20);

/// A slowdown estimate and the source of its newest sample.
#[derive(Default)]
pub(crate) struct SharedPace {
    pace: ServerPace,
    /// Source of the newest sample; `None` for this node.
    from: Option<Source>,
}

impl SharedPace {
    /// Merges a sample from another node if it is newer by more than the transfer error: a relayed
    /// sample returns with a smaller age.
    fn take(&mut self, source: Source, (age_ms, percent): (u32, u32), now: Instant) {
        let Some(age_ms) = age_ms.checked_sub(1) else {
            return;
        };
        let at = now.checked_sub(Duration::from_millis(u64::from(age_ms)));
        let told = at.zip(Pace::of_percent(percent));
        let newer = told.filter(|(at, _)| self.pace.is_older_than(*at, ECHO));
        if newer.is_some_and(|(at, pace)| self.pace.note(pace, at)) {
            self.from = Some(source);
        }
    }

    /// Adds a sample of this node. Returns whether it differs significantly from the previous
    /// estimate.
    fn note(&mut self, pace: Pace, now: Instant) -> bool {
        let held = self.pace.now(now);
        self.pace.note(pace, now);
        self.from = None;
        pace.differs_much(held)
    }

    /// Age of the newest sample in milliseconds plus one, and its value, if it came from this node
    /// or a counted source. Zeros if there is none, or while the server is close to normal.
    pub(crate) fn entry(&self, now: Instant, counted: impl Fn(&Source) -> bool) -> (u32, u32) {
        match self.pace.newest(now) {
            Some((age, pace))
                if self.from.as_ref().is_none_or(counted) && !self.pace.is_usual(now) =>
            {
                (age.as_millis() as u32 + 1, pace.percent())
            }
            _ => (0, 0),
        }
    }
}

/// Slowdown estimates of one server.
#[derive(Default)]
pub(crate) struct Paces {
    /// Reported by the server.
    pub(crate) told: SharedPace,
    /// Measured slowdown relative to the reported one.
    pub(crate) excess: SharedPace,
}

impl Paces {
    /// Merges a report of another node.
    pub(crate) fn take(&mut self, source: Source, entry: &LoadEntry, now: Instant) {
        let told = (entry.pace_age_ms, entry.pace_percent);
        self.told.take(source, told, now);
        let excess = (entry.excess_pace_age_ms, entry.excess_pace_percent);
        self.excess.take(source, excess, now);
    }

    /// The current estimate.
    pub(crate) fn now(&self, now: Instant) -> Pace {
        self.told.pace.now(now).of(self.excess.pace.now(now))
    }

    /// The estimate over the last seconds.
    pub(crate) fn lasting(&self, now: Instant) -> Pace {
        let excess = self.excess.pace.lasting(now);
        self.told.pace.lasting(now).of(excess)
    }
}

impl LoadEntry {
    /// Whether the slowdown differs enough from `held` to be sent at once.
    pub(crate) fn is_pace_news(&self, held: &LoadEntry) -> bool {
        let is_news = |told: u32, held: u32| {
            let held = Pace::of_percent(held).unwrap_or_default();
            Pace::of_percent(told).is_some_and(|pace| pace.differs_much(held))
        };
        is_news(self.pace_percent, held.pace_percent)
            || is_news(self.excess_pace_percent, held.excess_pace_percent)
    }
}

impl LoadTable {
    /// The current slowdown estimate of a server.
    pub fn pace(&self, server: &str) -> Pace {
        self.paces(server, |paces| paces.now(Instant::now()))
    }

    /// The current slowdown as reported by the server.
    pub fn told_pace(&self, server: &str) -> Pace {
        self.paces(server, |paces| paces.told.pace.now(Instant::now()))
    }

    /// Whether the server reports its slowdown.
    pub fn tells_pace(&self, server: &str) -> bool {
        let servers = self.servers.lock();
        let loads = servers.get(&server_number(server));
        loads.is_some_and(|loads| loads.paces.told.pace.is_known())
    }

    fn paces(&self, server: &str, of: impl Fn(&Paces) -> Pace) -> Pace {
        let servers = self.servers.lock();
        let loads = servers.get(&server_number(server));
        loads.map_or(Pace::USUAL, |loads| of(&loads.paces))
    }

    /// Adds a value reported by a server. Returns whether it differs significantly from the
    /// previous estimate.
    pub fn note_told_pace(&self, server: &str, pace: Pace) -> bool {
        self.note_pace(server, |paces, now| paces.told.note(pace, now))
    }

    /// Adds a measured slowdown relative to the reported one. Returns whether it differs
    /// significantly from the previous estimate.
    pub fn note_excess_pace(&self, server: &str, excess: Pace) -> bool {
        self.note_pace(server, |paces, now| paces.excess.note(excess, now))
    }

    fn note_pace(&self, server: &str, note: impl Fn(&mut Paces, Instant) -> bool) -> bool {
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        let news = note(&mut loads.paces, Instant::now());
        if news {
            loads.untold = true;
            self.change.notify_one();
        }
        news
    }
}
