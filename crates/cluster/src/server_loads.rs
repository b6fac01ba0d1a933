//! Work under way at one server, as one node knows it.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::messages::LoadEntry;
use crate::outcomes::{Ejection, OutcomeCounts, Outcomes};
use crate::server_pace::Pace;
use crate::shared_paces::Paces;
use crate::temperature::{Checked, Temperature, Thermal};

/// Time since a server was last heard here in which it does not count as silent for others' sake: they may be cut
/// off from it, or slow themselves.
const HEARD_HERE: Duration = Duration::from_millis(200);
/// Heartbeats older than this tell nothing.
pub(crate) const HEARTBEAT_LIFE: Duration = Duration::from_millis(1500);

/// Load of one server, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadSummary {
    /// Online requests under way.
    pub online: u32,
    /// Batch items under way.
    pub batch: u32,
    /// Prompt tokens that the server has yet to read.
    pub unread_tokens: u32,
    /// The server was found silent or broken a moment ago, here or by another node.
    pub suspect: bool,
    /// Running mean of the time to the first event, over what was expected.
    pub excess_ms: f64,
    /// How cold it is; `None` where that is not followed.
    pub temperature: Option<Temperature>,
    /// How long work takes there now, as far as is known.
    pub pace: Pace,
    /// How long it took in the last seconds.
    pub lasting_pace: Pace,
}

/// Whose work an entry counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Source {
    /// One other node.
    Node(u64),
    /// All nodes of another zone.
    Zone(u64),
    /// All nodes but this one.
    Fleet,
}

#[derive(Default)]
pub(crate) struct ServerLoads {
    pub(crate) online: u32,
    pub(crate) batch: u32,
    pub(crate) unread_tokens: u32,
    pub(crate) slots: u32,
    pub(crate) peers: HashMap<Source, (Instant, LoadEntry)>,
    /// The news for which this node has paused its share already.
    pub(crate) paused_for: Option<Instant>,
    pub(crate) suspect_until: Option<Instant>,
    /// It has said nothing for longer than its answers take.
    pub(crate) doubt_until: Option<Instant>,
    pub(crate) heard: Option<Instant>,
    pub(crate) excess_ms: f64,
    pub(crate) excess_at: Option<Instant>,
    /// This node's work has changed since the others were told.
    pub(crate) untold: bool,
    /// How this node's requests ended.
    pub(crate) outcomes: Outcomes,
    pub(crate) ejection: Ejection,
    /// How cold the server is.
    pub(crate) thermal: Thermal,
    /// This node's own newest answer to a question of how cold it is.
    pub(crate) own_check: Option<Checked>,
    /// How long work takes there.
    pub(crate) paces: Paces,
}

impl ServerLoads {
    pub(crate) fn summary(&self, now: Instant) -> LoadSummary {
        let mut summary = LoadSummary {
            online: self.online,
            batch: self.batch,
            unread_tokens: self.unread_tokens,
            suspect: self.is_found_silent(now) || self.ejection.is_out(now),
            temperature: self.followed_temperature(now),
            pace: self.paces.now(now),
            lasting_pace: self.paces.lasting(now),
            ..LoadSummary::default()
        };
        for (at, entry) in self.peers.values() {
            if now.duration_since(*at) < HEARTBEAT_LIFE {
                summary.online += entry.online;
                summary.batch += entry.batch;
                summary.unread_tokens += entry.unread_tokens;
            }
        }
        if let Some(at) = self.excess_at {
            let age = now.duration_since(at).as_secs_f64();
            summary.excess_ms = self.excess_ms * (-age / 2.0).exp();
        }
        summary
    }

    /// The server was silent or could not be reached a moment ago, here or at another node.
    pub(crate) fn is_found_silent(&self, now: Instant) -> bool {
        let heard = self.heard.map(|heard| now.duration_since(heard));
        let told = self.peers.values();
        let mut others = told.filter(|(_, entry)| entry.suspect || entry.doubted);
        self.is_suspect(now)
            || self.is_slow_to_answer(now)
            || (heard.is_none_or(|age| age > HEARD_HERE)
                && others.any(|(at, _)| now.duration_since(*at) < HEARTBEAT_LIFE))
    }

    /// The server was found silent, and has not been heard here since.
    pub(crate) fn is_doubted(&self, now: Instant) -> bool {
        self.suspect_until.is_some() || self.doubt_until.is_some() || self.is_found_silent(now)
    }

    fn is_slow_to_answer(&self, now: Instant) -> bool {
        self.doubt_until.is_some_and(|until| until > now)
    }

    /// The server was silent or could not be reached a moment ago.
    fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_until.is_some_and(|until| until > now)
    }

    /// Judges the server by how requests ended there, at all nodes; whether it is newly kept without work.
    pub(crate) fn judge(&mut self, now: Instant) -> bool {
        let told = self.peers.values();
        let fresh = told.filter(|(at, _)| now.duration_since(*at) < HEARTBEAT_LIFE);
        let others = fresh.map(|(_, entry)| OutcomeCounts {
            failed: entry.failed,
            served: entry.served,
        });
        let own = self.outcomes.counts(now);
        self.ejection
            .judge(others.fold(own, OutcomeCounts::plus), now)
    }

    /// This node's own work.
    pub(crate) fn own(&self, server: u32, now: Instant) -> LoadEntry {
        let outcomes = self.outcomes.counts(now);
        let (asked_ms, cold_ms) = self.own_check_told(now);
        let (pace_age_ms, pace_percent) = self.paces.told.entry(now, |_| false);
        let (excess_pace_age_ms, excess_pace_percent) = self.paces.excess.entry(now, |_| false);
        LoadEntry {
            pace_age_ms,
            pace_percent,
            excess_pace_age_ms,
            excess_pace_percent,
            asked_ms,
            cold_ms,
            failed: outcomes.failed,
            served: outcomes.served,
            server,
            online: self.online,
            batch: self.batch,
            unread_tokens: self.unread_tokens,
            suspect: self.is_suspect(now),
            doubted: self.is_slow_to_answer(now),
            heard_ms: self.heard.map_or(0, |heard| {
                let age = now.duration_since(heard).as_millis();
                u32::try_from(age).unwrap_or(u32::MAX - 1) + 1
            }),
        }
    }

    /// This node's own work and that of some others.
    pub(crate) fn sum(
        &self,
        server: u32,
        now: Instant,
        counted: impl Fn(&Source) -> bool,
    ) -> LoadEntry {
        let mut sum = self.own(server, now);
        (sum.pace_age_ms, sum.pace_percent) = self.paces.told.entry(now, &counted);
        (sum.excess_pace_age_ms, sum.excess_pace_percent) = self.paces.excess.entry(now, &counted);
        for (source, (at, entry)) in &self.peers {
            let age = now.duration_since(*at);
            if age >= HEARTBEAT_LIFE || !counted(source) {
                continue;
            }
            sum.online += entry.online;
            sum.batch += entry.batch;
            sum.unread_tokens = sum.unread_tokens.saturating_add(entry.unread_tokens);
            sum.suspect |= entry.suspect;
            sum.doubted |= entry.doubted;
            sum.failed = sum.failed.saturating_add(entry.failed);
            sum.served = sum.served.saturating_add(entry.served);
            sum.take_newer_check(entry, age);
            if entry.heard_ms > 0 {
                let heard_ms = entry.heard_ms.saturating_add(age.as_millis() as u32);
                sum.heard_ms = match sum.heard_ms {
                    0 => heard_ms,
                    held => held.min(heard_ms),
                };
            }
        }
        sum
    }

    /// Whether the work of others is known as sums only.
    pub(crate) fn is_summed(&self) -> bool {
        let mut sources = self.peers.keys();
        sources.any(|source| !matches!(source, Source::Node(_)))
    }

    /// This node's share of what is to be paused, in proportion to its batch work. The shares of
    /// all nodes add up on average; each piece of news is acted on once.
    pub(crate) fn share_of_sum(&mut self, over: u32, batch: u32) -> u32 {
        let news = self.peers.values().map(|(at, _)| *at).max();
        if over == 0 || self.batch == 0 || self.paused_for == news {
            return 0;
        }
        self.paused_for = news;
        let share = f64::from(over) * f64::from(self.batch) / f64::from(batch.max(1));
        let whole = share.floor();
        let one_more = rand::random::<f64>() < share - whole;
        (whole as u32 + u32::from(one_more)).min(self.batch)
    }
}

pub(crate) fn tells_something(entry: &LoadEntry) -> bool {
    let silent = entry.suspect || entry.doubted;
    let told = entry.asked_ms > 0 || entry.pace_age_ms > 0 || entry.excess_pace_age_ms > 0;
    entry.online + entry.batch > 0 || silent || entry.failed > 0 || told
}
