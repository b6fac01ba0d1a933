//! Paces of servers in the table of loads: what this node hears and measures, and what it tells and is told.

use std::time::Duration;

use dappleyard_clock::Instant;

use crate::loads::{LoadTable, server_number};
use crate::messages::LoadEntry;
use crate::server_loads::Source;
use crate::server_pace::{Pace, ServerPace};

/// Time by which a figure becomes younger on its way through other nodes, at most.
const ECHO: Duration = Duration::from_millis(20);

/// One figure of a server's pace, and where its newest value came from.
#[derive(Default)]
pub(crate) struct SharedPace {
    pace: ServerPace,
    /// Who told the newest value; `None` for this node.
    from: Option<Source>,
}

impl SharedPace {
    /// Takes over what another node tells, when it is newer by more than the way of a message: what was told on comes
    /// back as if it were younger.
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

    /// Takes what this node heard or measured now; whether it differs much from what was believed.
    fn note(&mut self, pace: Pace, now: Instant) -> bool {
        let held = self.pace.now(now);
        self.pace.note(pace, now);
        self.from = None;
        pace.differs_much(held)
    }

    /// Age of the newest value in milliseconds, plus one, and the value, where it came from this node or one that
    /// is counted. Where work takes as long as usual, and did, nothing is told.
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

/// How long work takes at one server.
#[derive(Default)]
pub(crate) struct Paces {
    /// What the server says.
    pub(crate) told: SharedPace,
    /// How much longer its answers take than that.
    pub(crate) excess: SharedPace,
}

impl Paces {
    /// Takes over what another node tells.
    pub(crate) fn take(&mut self, source: Source, entry: &LoadEntry, now: Instant) {
        let told = (entry.pace_age_ms, entry.pace_percent);
        self.told.take(source, told, now);
        let excess = (entry.excess_pace_age_ms, entry.excess_pace_percent);
        self.excess.take(source, excess, now);
    }

    /// The pace that is expected now.
    pub(crate) fn now(&self, now: Instant) -> Pace {
        self.told.pace.now(now).of(self.excess.pace.now(now))
    }

    /// The pace of the last seconds.
    pub(crate) fn lasting(&self, now: Instant) -> Pace {
        let excess = self.excess.pace.lasting(now);
        self.told.pace.lasting(now).of(excess)
    }
}

impl LoadEntry {
    /// Whether the pace is so different from what another entry says that it should be told by itself.
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
    /// How long work takes at a server now, as far as is known.
    pub fn pace(&self, server: &str) -> Pace {
        self.paces(server, |paces| paces.now(Instant::now()))
    }

    /// How long work takes there now by the server's own word.
    pub fn told_pace(&self, server: &str) -> Pace {
        self.paces(server, |paces| paces.told.pace.now(Instant::now()))
    }

    /// Whether the server has told how long work takes there.
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

    /// Takes what a server says of how long work takes there; whether that differs much from what was believed.
    pub fn note_told_pace(&self, server: &str, pace: Pace) -> bool {
        self.note_pace(server, |paces, now| paces.told.note(pace, now))
    }

    /// Takes what this node measured: how much longer answers of a server take than it says; whether that differs
    /// much from what was believed.
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
