//! In-flight work and health of one server, as one node knows it.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::messages::LoadEntry;
use crate::outcomes::{Ejection, OutcomeCounts, Outcomes};
use crate::shared_slowdown::Slowdowns;
use crate::slowdown::Slowdown;
use crate::warmup::{WarmupReport, WarmupState, WarmupTracker};

/// Time since the last bytes from a server during which reports of its silence are ignored: the
/// reporting nodes may be partitioned from it, or slow themselves.
const RECENT_BYTES: Duration = Duration::from_millis(200);
/// Age from which the report of another node is ignored.
pub(crate) const HEARTBEAT_LIFE: Duration = Duration::from_millis(1500);

#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadSummary {
    /// Online requests in flight.
    pub online: u32,
    /// Batch items in flight.
    pub batch: u32,
    /// Prompt tokens that the server has yet to process.
    pub unread_tokens: u32,
    /// Whether the server is currently considered silent by any node, or is ejected.
    pub suspect: bool,
    /// Moving average of how much later than expected the first event of a response arrives; decays
    /// without new samples.
    pub excess_ms: f64,
    /// Warm-up state; `None` if it is not tracked.
    pub warmup_state: Option<WarmupState>,
    /// Current slowdown estimate.
    pub slowdown: Slowdown,
    /// Slowdown over the last seconds.
    pub long_term_slowdown: Slowdown,
}

/// Origin of a load report.
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
    /// The newest report for which this node has already paused its share.
    pub(crate) paused_for: Option<Instant>,
    pub(crate) suspect_until: Option<Instant>,
    /// The server sent nothing for longer than its responses take; avoided until this time.
    pub(crate) overdue_until: Option<Instant>,
    /// When this node last received bytes from the server.
    pub(crate) heard: Option<Instant>,
    /// Moving average of how much later than expected the first event of a response arrived.
    pub(crate) excess_ms: f64,
    /// When the last sample was added to it.
    pub(crate) excess_at: Option<Instant>,
    /// Whether the loads changed since they were last sent.
    pub(crate) unsent: bool,
    /// Outcomes of this node's requests.
    pub(crate) outcomes: Outcomes,
    pub(crate) ejection: Ejection,
    pub(crate) warmup: WarmupTracker,
    /// Warm-up state in the newest response to a health check of this node.
    pub(crate) own_report: Option<WarmupReport>,
    /// Slowdown estimates.
    pub(crate) slowdowns: Slowdowns,
}

impl ServerLoads {
    pub(crate) fn summary(&self, now: Instant) -> LoadSummary {
        let mut summary = LoadSummary {
            online: self.online,
            batch: self.batch,
            unread_tokens: self.unread_tokens,
            suspect: self.is_silent(now) || self.ejection.is_ejected(now),
            warmup_state: self.tracked_state(now),
            slowdown: self.slowdowns.now(now),
            long_term_slowdown: self.slowdowns.long_term(now),
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

    /// Whether the server is currently considered silent or unreachable by this node or another.
    pub(crate) fn is_silent(&self, now: Instant) -> bool {
        let heard = self.heard.map(|heard| now.duration_since(heard));
        let reported = self.peers.values();
        let mut others = reported.filter(|(_, entry)| entry.suspect || entry.doubted);
        self.is_suspect(now)
            || self.is_overdue(now)
            || (heard.is_none_or(|age| age > RECENT_BYTES)
                && others.any(|(at, _)| now.duration_since(*at) < HEARTBEAT_LIFE))
    }

    /// Whether the server was found silent and this node has received nothing from it since.
    pub(crate) fn is_unconfirmed(&self, now: Instant) -> bool {
        self.suspect_until.is_some() || self.overdue_until.is_some() || self.is_silent(now)
    }

    fn is_overdue(&self, now: Instant) -> bool {
        self.overdue_until.is_some_and(|until| until > now)
    }

    /// Whether this node currently considers the server silent or unreachable.
    fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_until.is_some_and(|until| until > now)
    }

    /// Evaluates the outcomes of all nodes. Returns whether the server is newly ejected.
    pub(crate) fn evaluate(&mut self, now: Instant) -> bool {
        let reported = self.peers.values();
        let fresh = reported.filter(|(at, _)| now.duration_since(*at) < HEARTBEAT_LIFE);
        let others = fresh.map(|(_, entry)| OutcomeCounts {
            failed: entry.failed,
            served: entry.served,
        });
        let own = self.outcomes.counts(now);
        self.ejection
            .evaluate(others.fold(own, OutcomeCounts::plus), now)
    }

    /// Load entry of this node alone.
    pub(crate) fn own_entry(&self, server: u32, now: Instant) -> LoadEntry {
        let outcomes = self.outcomes.counts(now);
        let (asked_ms, cold_ms) = self.own_report_fields(now);
        let (pace_age_ms, pace_percent) = self.slowdowns.reported.entry(now, |_| false);
        let (excess_pace_age_ms, excess_pace_percent) = self.slowdowns.excess.entry(now, |_| false);
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
            doubted: self.is_overdue(now),
            heard_ms: self.heard.map_or(0, |heard| {
                let age = now.duration_since(heard).as_millis();
                u32::try_from(age).unwrap_or(u32::MAX - 1) + 1
            }),
        }
    }

    /// Sum of this node's entry and those of the sources for which `counted` holds.
    pub(crate) fn sum(
        &self,
        server: u32,
        now: Instant,
        counted: impl Fn(&Source) -> bool,
    ) -> LoadEntry {
        let mut sum = self.own_entry(server, now);
        (sum.pace_age_ms, sum.pace_percent) = self.slowdowns.reported.entry(now, &counted);
        (sum.excess_pace_age_ms, sum.excess_pace_percent) =
            self.slowdowns.excess.entry(now, &counted);
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
            sum.merge_newer_report(entry, age);
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

    /// Whether any report is a sum over several nodes.
    pub(crate) fn has_sums(&self) -> bool {
        let mut sources = self.peers.keys();
        sources.any(|source| !matches!(source, Source::Node(_)))
    }

    /// This node's share of the items to pause, proportional to its batch work. The shares of all
    /// nodes add up on average; each report is acted on once.
    pub(crate) fn pause_share_of_sum(&mut self, over: u32, batch: u32) -> u32 {
        let newest_report = self.peers.values().map(|(at, _)| *at).max();
        if over == 0 || self.batch == 0 || self.paused_for == newest_report {
            return 0;
        }
        self.paused_for = newest_report;
        let share = f64::from(over) * f64::from(self.batch) / f64::from(batch.max(1));
        let whole = share.floor();
        let one_more = rand::random::<f64>() < share - whole;
        (whole as u32 + u32::from(one_more)).min(self.batch)
    }
}

pub(crate) fn has_content(entry: &LoadEntry) -> bool {
    let silent = entry.suspect || entry.doubted;
    let reported = entry.asked_ms > 0 || entry.pace_age_ms > 0 || entry.excess_pace_age_ms > 0;
    entry.online + entry.batch > 0 || silent || entry.failed > 0 || reported
}
