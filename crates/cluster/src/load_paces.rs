//! Paces of servers in the table of loads: what this node hears or measures, and what it tells and is told.

use std::time::Duration;

use dappleyard_clock::Instant;

use crate::loads::{LoadTable, server_number};
use crate::messages::LoadEntry;
use crate::server_loads::{ServerLoads, Source};
use crate::server_pace::Pace;

/// Time for which a measured pace is passed over after the server has told its own.
const TOLD_LIFE: Duration = Duration::from_secs(5);

impl LoadEntry {
    /// Whether the pace is so different from what another entry says that it should be told by itself.
    pub(crate) fn is_pace_news(&self, held: &LoadEntry) -> bool {
        let told = |entry: &LoadEntry| Pace::of_percent(entry.pace_percent);
        match (told(self), told(held)) {
            (Some(pace), held) => pace.differs_much(held.unwrap_or_default()),
            (None, _) => false,
        }
    }
}

impl ServerLoads {
    /// Takes over the pace that another node tells, when it is newer.
    pub(crate) fn take_pace_news(&mut self, source: Source, entry: &LoadEntry, now: Instant) {
        let Some(age_ms) = entry.pace_ms.checked_sub(1) else {
            return;
        };
        let at = now.checked_sub(Duration::from_millis(u64::from(age_ms)));
        let told = at.zip(Pace::of_percent(entry.pace_percent));
        if told.is_some_and(|(at, pace)| self.pace.note(pace, at)) {
            self.pace_from = Some(source);
        }
    }

    /// Age of the newest pace in milliseconds, plus one, and its figure, where it came from this node or one that
    /// is counted. Where work takes as long as usual, and did, nothing is told.
    pub(crate) fn pace_told(&self, now: Instant, counted: impl Fn(&Source) -> bool) -> (u32, u32) {
        let counts = self.pace_from.as_ref().is_none_or(counted) && !self.pace.is_usual(now);
        let newest = self.pace.newest(now).filter(|_| counts);
        newest.map_or((0, 0), |(age, pace)| {
            (age.as_millis() as u32 + 1, pace.percent())
        })
    }

    /// Takes a figure that this node heard or measured now; whether it differs much from what was believed.
    fn note_own_pace(&mut self, pace: Pace, now: Instant) -> bool {
        let held = self.pace.now(now);
        self.pace.note(pace, now);
        self.pace_from = None;
        pace.differs_much(held)
    }
}

impl LoadTable {
    /// How long work takes at a server now, as far as is known.
    pub fn pace(&self, server: &str) -> Pace {
        let servers = self.servers.lock();
        let loads = servers.get(&server_number(server));
        loads.map_or(Pace::USUAL, |loads| loads.pace.now(Instant::now()))
    }

    /// Takes what a server says of how long work takes there; whether that differs much from what was believed.
    pub fn note_told_pace(&self, server: &str, pace: Pace) -> bool {
        self.note_pace(server, pace, true)
    }

    /// Takes what this node measured of a server's answers, unless the server tells it itself; whether that differs
    /// much from what was believed.
    pub fn note_measured_pace(&self, server: &str, pace: Pace) -> bool {
        self.note_pace(server, pace, false)
    }

    fn note_pace(&self, server: &str, pace: Pace, told: bool) -> bool {
        let now = Instant::now();
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        if told {
            loads.pace_told_at = Some(now);
        }
        let is_told = loads
            .pace_told_at
            .is_some_and(|at| now.duration_since(at) < TOLD_LIFE);
        if is_told && !told {
            return false;
        }
        let news = loads.note_own_pace(pace, now);
        if news {
            loads.untold = true;
            self.change.notify_one();
        }
        news
    }
}
