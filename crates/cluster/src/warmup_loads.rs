//! Warm-up states in the load table: local observations, what is shared with other nodes, and the
//! queries of the senders.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::ServerRecord;

use crate::cold_quota::ColdQuota;
use crate::loads::{LoadTable, server_number};
use crate::messages::LoadEntry;
use crate::server_loads::{HEARTBEAT_LIFE, ServerLoads};
use crate::warmup::{WarmupReport, WarmupSource, WarmupState};

/// How long the warm-up state of a silent server is kept. It must outlast the evacuation of a zone.
const STATE_RETENTION: Duration = Duration::from_secs(600);

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX - 1)
}

impl LoadEntry {
    /// Takes over the warm-up report of another entry if its health check is newer. `age` is the
    /// time since that entry was received.
    pub(crate) fn merge_newer_report(&mut self, entry: &LoadEntry, age: Duration) {
        if entry.asked_ms == 0 {
            return;
        }
        let asked_ms = entry.asked_ms.saturating_add(millis(age));
        if self.asked_ms == 0 || asked_ms < self.asked_ms {
            self.asked_ms = asked_ms;
            self.cold_ms = entry.cold_ms;
        }
    }

    fn report(&self, at: Instant) -> Option<WarmupReport> {
        let age_ms = u64::from(self.asked_ms.checked_sub(1)?);
        Some(WarmupReport {
            at: at.checked_sub(Duration::from_millis(age_ms))?,
            cold: Duration::from_millis(u64::from(self.cold_ms)),
        })
    }
}

impl ServerLoads {
    /// Age of the newest health check of this node in milliseconds plus one, and the remaining
    /// warm-up time it reported; zeros when there is nothing to share.
    pub(crate) fn own_report_fields(&self, now: Instant) -> (u32, u32) {
        let shared = self.own_report.filter(|report| report.is_shared(now));
        shared.map_or((0, 0), |report| {
            let age = now.duration_since(report.at);
            (millis(age) + 1, millis(report.cold))
        })
    }

    /// Applies the warm-up state reported by other nodes.
    pub(crate) fn apply_peer_reports(&mut self, now: Instant) {
        if !self.warmup.is_tracked() {
            return;
        }
        for (at, entry) in self.peers.values() {
            if now.duration_since(*at) >= HEARTBEAT_LIFE {
                continue;
            }
            if let Some(report) = entry.report(*at) {
                self.warmup
                    .note_warmup_report(report, WarmupSource::Node, now);
            }
            let heard_ms = entry.heard_ms.checked_sub(1);
            let heard = heard_ms.and_then(|ms| at.checked_sub(Duration::from_millis(ms.into())));
            if let Some(heard) = heard {
                self.warmup.note_heard(heard);
            }
            if entry.suspect && *at == now {
                self.warmup.note_reported_silent(now);
            }
        }
    }

    /// The warm-up state; `None` if it is not tracked for this server.
    pub(crate) fn tracked_state(&self, now: Instant) -> Option<WarmupState> {
        let tracked = self.warmup.is_tracked();
        tracked.then(|| self.warmup.warmup_state(now).0)
    }

    /// Whether the warm-up state must be kept while the server has no work.
    pub(crate) fn is_tracked(&self, now: Instant) -> bool {
        let tracked = self
            .heard
            .is_none_or(|at| now.duration_since(at) < STATE_RETENTION);
        self.warmup.is_tracked() && tracked
    }
}

impl LoadTable {
    /// The warm-up state of a server and where it was learned. `server` is its current
    /// registration.
    pub fn warmup_state(&self, server: &ServerRecord) -> (WarmupState, WarmupSource) {
        let now = Instant::now();
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(&server.id)).or_default();
        loads.warmup.note_row(server.cold_left_ms, now);
        loads.warmup.note_unused(now);
        loads.warmup.warmup_state(now)
    }

    /// When the server was first seen, or responded for the first time after it was unobserved.
    /// Connections opened earlier may lead to a process that no longer exists.
    pub fn returned_at(&self, server: &str) -> Option<Instant> {
        let servers = self.servers.lock();
        servers.get(&server_number(server))?.warmup.returned_at()
    }

    /// Whether the server is unobserved, but some node received bytes from it since.
    pub fn is_alive(&self, server: &str) -> bool {
        let servers = self.servers.lock();
        let loads = servers.get(&server_number(server));
        loads.is_some_and(|loads| loads.warmup.is_alive(Instant::now()))
    }

    /// Records the warm-up state in the response to a health check sent by this node at `asked`, and
    /// shares it with the other nodes.
    pub fn note_warmup_report(&self, server: &str, asked: Instant, cold: Duration) {
        let report = WarmupReport { at: asked, cold };
        let now = Instant::now();
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        loads
            .warmup
            .note_warmup_report(report, WarmupSource::Health, now);
        loads.own_report = Some(report);
        loads.unsent = true;
        self.change.notify_one();
    }

    /// Records a response to a health check that did not include the warm-up state.
    pub fn note_reached(&self, server: &str) {
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        loads.warmup.note_reached(Instant::now());
    }

    /// Records that the operators ended the evacuation of the server's zone; its warm-up state is
    /// unknown from `at` on.
    pub fn note_restored(&self, server: &str, at: Instant) {
        let mut servers = self.servers.lock();
        let loads = servers.entry(server_number(server)).or_default();
        loads.warmup.note_restored(at, Instant::now());
    }

    /// Whether this node has quota left for a cold server.
    pub fn has_cold_quota(&self, server: &str, share: ColdQuota) -> bool {
        self.cold
            .has_left(server_number(server), share.requests, Instant::now())
    }

    /// Takes one request from this node's quota; `false` if it is exhausted.
    pub fn take_cold_quota(&self, server: &str, share: ColdQuota) -> bool {
        self.cold
            .take(server_number(server), share.requests, Instant::now())
    }
}
