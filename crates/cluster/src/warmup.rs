//! Warm-up state of one server as a node knows it. Reads no clock: time is an argument.
//!
//! After a start or an outage, and at times without one, a server is cold: for a while it accepts
//! only a limited request rate. Its registration row shows this seconds later, only the response to
//! a health check shows it at once. The state of a server from which no node has received bytes for
//! `UNOBSERVED_AFTER` is therefore unknown until the server responds to a health check.

use std::time::Duration;

use dappleyard_clock::Instant;
use derive_more::Display;

/// Time without bytes from a server to any node after which it may have restarted unnoticed.
/// Shorter than the three missed heartbeats after which discovery drops the server.
const UNOBSERVED_AFTER: Duration = Duration::from_millis(2_000);
/// Delay of a registration row: one server heartbeat and the propagation through the store.
const ROW_DELAY: Duration = Duration::from_millis(2_500);
/// Longest delay of a report from another node. Nodes report a server as silent after 900 ms
/// without bytes. A health check sent within this delay before such a report arrives was therefore
/// sent after the silence began, and a response to it refutes the report.
const PEER_REPORT_DELAY: Duration = Duration::from_millis(500);
/// Greatest difference between the times at which nodes learn that the operators ended the
/// evacuation of a zone. Nodes send no health checks to servers of evacuated zones, so a check sent
/// up to this long before this node learned of it came from a node that had learned of it earlier.
const RESTORE_DELAY: Duration = Duration::from_millis(2_000);
/// A server first seen later than this after the evacuation of its zone ended is taken for a new
/// one, whose state does not depend on the evacuation.
const RESTORE_WINDOW: Duration = Duration::from_secs(10);

/// Warm-up state of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum WarmupState {
    /// It accepts as many requests as it has slots.
    #[display("warm")]
    Warm,
    /// It accepts a limited request rate.
    #[display("cold")]
    Cold,
    /// It was unobserved and has since responded to a health check, but without its warm-up state:
    /// treated as cold.
    #[display("in doubt")]
    InDoubt,
    /// It was unobserved and has responded to no health check since.
    #[display("unknown")]
    Unknown,
}

/// Source of a warm-up state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum WarmupSource {
    /// The server's registration row.
    #[display("row")]
    Row,
    /// Response to a health check of this node.
    #[display("health")]
    Health,
    /// Response to a health check of another node, as reported by it.
    #[display("node")]
    Node,
    /// Some node found the server silent or unreachable.
    #[display("silence")]
    Silence,
    /// No node has received bytes from the server for `UNOBSERVED_AFTER`.
    #[display("unused")]
    Unused,
    /// Operators ended the evacuation of its zone.
    #[display("taken back")]
    TakenBack,
    /// The reported warm-up time has elapsed.
    #[display("time")]
    Time,
}

/// Warm-up state in the response to a health check, as shared between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmupReport {
    /// When the health check was sent.
    pub at: Instant,
    /// Warm-up time that remained at `at`; zero for a warm server.
    pub cold: Duration,
}

impl WarmupReport {
    /// Whether the report is still sent to other nodes: until the warm-up ends, and at least until
    /// the registration row shows the same state.
    pub fn is_shared(&self, now: Instant) -> bool {
        now < self.at + self.cold.max(ROW_DELAY)
    }
}

/// Tracks the warm-up state of one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct WarmupTracker {
    /// Remaining warm-up time in the last row.
    row_cold_ms: Option<u64>,
    cold_until: Option<Instant>,
    /// Since when the server is marked as unobserved, and why. The mark stays until a report is
    /// accepted.
    marked_unobserved: Option<(Instant, WarmupSource)>,
    /// Since it became unobserved, the server has responded to a health check, but without its
    /// warm-up state.
    responded_without_state: bool,
    /// Newest accepted report.
    checked: Option<WarmupReport>,
    /// Latest known time at which any node received bytes from the server.
    heard: Option<Instant>,
    /// When this node learned that operators ended the evacuation of the server's zone.
    restored_at: Option<Instant>,
    /// When another node last reported the server as silent.
    silence_reported: Option<Instant>,
    source: Option<WarmupSource>,
    /// When the server was first seen, or responded for the first time after it was unobserved.
    returned_at: Option<Instant>,
}

impl WarmupTracker {
    /// The current state and its source.
    pub fn warmup_state(&self, now: Instant) -> (WarmupState, WarmupSource) {
        let is_cold = self.cold_until.is_some_and(|until| until > now);
        let unobserved = match is_cold {
            // A cold server without traffic stays cold: its request rate is limited anyway.
            true => self.marked_unobserved,
            false => self.unobserved(now),
        };
        if let Some((_, source)) = unobserved {
            return match self.responded_without_state {
                true => (WarmupState::InDoubt, source),
                false => (WarmupState::Unknown, source),
            };
        }
        match self.cold_until {
            Some(_) if is_cold => (WarmupState::Cold, self.source.unwrap_or(WarmupSource::Row)),
            Some(_) => (WarmupState::Warm, WarmupSource::Time),
            None => (WarmupState::Warm, self.source.unwrap_or(WarmupSource::Row)),
        }
    }

    /// Since when the server is unobserved, and why: as marked, or because no bytes arrived for
    /// `UNOBSERVED_AFTER`.
    fn unobserved(&self, now: Instant) -> Option<(Instant, WarmupSource)> {
        if self.marked_unobserved.is_some() {
            return self.marked_unobserved;
        }
        let checked = self.checked.map(|checked| checked.at);
        let last_seen = self.heard?.max(checked.unwrap_or(self.heard?));
        (now.duration_since(last_seen) >= UNOBSERVED_AFTER)
            .then_some((last_seen, WarmupSource::Unused))
    }

    /// Whether the warm-up state of the server is tracked: a registration row was applied.
    pub fn is_tracked(&self) -> bool {
        self.row_cold_ms.is_some()
    }

    /// Whether the server is unobserved, but bytes came from it since, so that a health check is
    /// worth sending. `false` for a server that is not unobserved.
    pub fn is_alive(&self, now: Instant) -> bool {
        let since = self.unobserved(now).map(|(since, _)| since);
        // Bytes from before the silence may be reported after it, so only clearly later ones count.
        let later = |since: Instant| {
            self.heard
                .is_some_and(|heard| heard > since + 2 * PEER_REPORT_DELAY)
        };
        since.is_some_and(later)
    }

    /// When the server was first seen, or responded for the first time after it was unobserved.
    /// Connections opened earlier may lead to a process that no longer exists.
    pub fn returned_at(&self) -> Option<Instant> {
        self.returned_at
    }

    /// Applies the remaining warm-up time of a registration row. Within `ROW_DELAY` after a health
    /// check it does not change the state, since the row may be older than the report.
    pub fn note_row(&mut self, cold_ms: u64, now: Instant) {
        if self.row_cold_ms == Some(cold_ms) {
            return;
        }
        if self.row_cold_ms.replace(cold_ms).is_none() {
            // Its address may have belonged to another server.
            self.returned_at = Some(now);
        }
        let checked_recently = self
            .checked
            .is_some_and(|checked| now.duration_since(checked.at) < ROW_DELAY);
        if cold_ms == 0 || checked_recently {
            // A row with no remaining time may be older than the cold state, which ends by itself.
            return;
        }
        let until = now + Duration::from_millis(cold_ms);
        self.cold_until = self.cold_until.max(Some(until));
        self.source = Some(WarmupSource::Row);
    }

    /// Marks the server as unobserved if it is not cold and no node has received bytes from it for
    /// `UNOBSERVED_AFTER`. Only a report of its warm-up state removes the mark: bytes received later
    /// may come from requests of a node that takes a cold server for warm.
    pub fn note_unused(&mut self, now: Instant) {
        let is_cold = self.cold_until.is_some_and(|until| until > now);
        if !is_cold && self.is_tracked() {
            self.marked_unobserved = self.unobserved(now);
        }
    }

    /// Records that some node received bytes from the server.
    pub fn note_heard(&mut self, at: Instant) {
        self.heard = self.heard.max(Some(at));
    }

    /// Records that this node found the server silent or unreachable.
    pub fn note_silent(&mut self, now: Instant) {
        self.marked_unobserved = Some((now, WarmupSource::Silence));
        self.responded_without_state = false;
    }

    /// Applies another node's report that the server is silent. Nodes repeat such a report while
    /// the silence lasts; each repetition extends a series that counts once.
    pub fn note_reported_silent(&mut self, now: Instant) {
        let heard = |heard: Instant| now.duration_since(heard) < PEER_REPORT_DELAY;
        if self.heard.is_some_and(heard) {
            // Some node has just received bytes from the server, so the reporting node itself is
            // probably cut off. If not, its next report is accepted.
            return;
        }
        let last = self.silence_reported.replace(now);
        if last.is_some_and(|last| now.duration_since(last) < PEER_REPORT_DELAY) {
            return;
        }
        let since = now.checked_sub(PEER_REPORT_DELAY).unwrap_or(now);
        let answered = self.checked.is_some_and(|checked| checked.at >= since);
        if !answered
            && self
                .marked_unobserved
                .is_none_or(|(marked_since, _)| marked_since < since)
        {
            self.marked_unobserved = Some((since, WarmupSource::Silence));
            self.responded_without_state = false;
        }
    }

    /// Records that operators ended the evacuation of the server's zone at `at`. The server becomes
    /// unobserved, since it may have become cold while it had no work. Repeated calls with the same
    /// time have no effect.
    pub fn note_restored(&mut self, at: Instant, now: Instant) {
        if self.restored_at.replace(at) == Some(at) {
            return;
        }
        if !self.is_tracked() && now.duration_since(at) > RESTORE_WINDOW {
            // The server was registered after the evacuation.
            return;
        }
        let since = at.checked_sub(RESTORE_DELAY).unwrap_or(at);
        if self.checked.is_none_or(|checked| checked.at < since) {
            self.marked_unobserved = Some((since, WarmupSource::TakenBack));
            self.responded_without_state = false;
        }
    }

    /// Applies a report of this node or another; the one with the latest health check wins. A check
    /// from before the server became unobserved is ignored.
    pub fn note_warmup_report(&mut self, report: WarmupReport, source: WarmupSource, now: Instant) {
        if self.checked.is_some_and(|held| held.at >= report.at) {
            return;
        }
        if let Some((since, _)) = self.unobserved(now) {
            if report.at < since {
                return;
            }
            self.marked_unobserved = None;
            self.responded_without_state = false;
            self.returned_at = Some(report.at);
        }
        self.checked = Some(report);
        self.cold_until = (!report.cold.is_zero()).then(|| report.at + report.cold);
        self.source = Some(source);
    }

    /// Records a response to a health check that did not include the warm-up state.
    pub fn note_reached(&mut self, now: Instant) {
        if let Some(held) = self.unobserved(now) {
            self.marked_unobserved = Some(held);
            self.responded_without_state = true;
        }
    }
}
