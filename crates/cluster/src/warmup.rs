//! Warm-up state of one server as a node knows it. Pure: time is an argument.
//!
//! A server may turn cold at any moment. Its registration shows this seconds later, only its health
//! answer shows it at once. A server that was not observed for as long as it takes to turn cold is
//! therefore in an unknown state until a health check is answered.

use std::time::Duration;

use dappleyard_clock::Instant;
use derive_more::Display;

/// Time without bytes from a server to any node after which it may have restarted unnoticed.
/// Shorter than the three heartbeats after which discovery drops it.
const UNOBSERVED_AFTER: Duration = Duration::from_millis(2_000);
/// Delay of a registration row: one server heartbeat and the propagation through the store.
const ROW_DELAY: Duration = Duration::from_millis(2_500);
/// Propagation delay between nodes. A server is found silent after 900 ms without bytes, so an
/// answer to a health check sent this long before such a report is newer than the silence.
const PEER_REPORT_DELAY: Duration = Duration::from_millis(500);
/// Greatest difference between the times at which nodes learn that a server was restored. Nodes
/// send no health checks to evacuated servers, so a check within this time was sent by a node that
/// already knew.
const RESTORE_DELAY: Duration = Duration::from_millis(2_000);
/// A server first seen this long after its zone was restored was not there before.
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
    /// It was unobserved and has answered since, but without its warm-up state: treated as cold.
    #[display("in doubt")]
    InDoubt,
    /// It was unobserved, and no health check has been answered since.
    #[display("unknown")]
    Unknown,
}

/// Source of a warm-up state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum WarmupSource {
    /// The server's registration row.
    #[display("row")]
    Row,
    /// A health answer received by this node.
    #[display("health")]
    Health,
    /// A report of another node.
    #[display("node")]
    Node,
    /// The server was silent or unreachable.
    #[display("silence")]
    Silence,
    /// No node has used the server for a while.
    #[display("unused")]
    Unused,
    /// Operators restored its zone.
    #[display("taken back")]
    TakenBack,
    /// The reported warm-up time has elapsed.
    #[display("time")]
    Time,
}

/// A health answer, as shared between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmupReport {
    /// When the health check was sent.
    pub at: Instant,
    /// Remaining warm-up time at that moment.
    pub cold: Duration,
}

impl WarmupReport {
    /// Whether the answer is still shared with other nodes.
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
    unobserved: Option<(Instant, WarmupSource)>,
    /// The server has answered since, but without its warm-up state.
    reached: bool,
    checked: Option<WarmupReport>,
    /// Latest known time at which any node received bytes from the server.
    heard: Option<Instant>,
    /// When this node learned that operators restored the server.
    restored_at: Option<Instant>,
    /// When another node last reported the server as silent.
    silence_reported: Option<Instant>,
    source: Option<WarmupSource>,
    /// When the server was first seen or last returned.
    returned_at: Option<Instant>,
}

impl WarmupTracker {
    /// The current state and its source.
    pub fn warmup_state(&self, now: Instant) -> (WarmupState, WarmupSource) {
        let is_cold = self.cold_until.is_some_and(|until| until > now);
        let unobserved = match is_cold {
            // A cold server is limited whether it is used or not.
            true => self.unobserved,
            false => self.unobserved(now),
        };
        if let Some((_, source)) = unobserved {
            return match self.reached {
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

    /// Since when the server is unobserved, and why.
    fn unobserved(&self, now: Instant) -> Option<(Instant, WarmupSource)> {
        if self.unobserved.is_some() {
            return self.unobserved;
        }
        let checked = self.checked.map(|checked| checked.at);
        let seen = self.heard?.max(checked.unwrap_or(self.heard?));
        (now.duration_since(seen) >= UNOBSERVED_AFTER).then_some((seen, WarmupSource::Unused))
    }

    /// Whether the server's state is tracked, and must be kept while it has no work.
    pub fn is_tracked(&self) -> bool {
        self.row_cold_ms.is_some()
    }

    /// Whether bytes came from the server after it became unobserved, so that a health check is
    /// worth sending.
    pub fn is_alive(&self, now: Instant) -> bool {
        let since = self.unobserved(now).map(|(since, _)| since);
        // Reports of earlier bytes may arrive after the report of silence.
        let later = |since: Instant| {
            self.heard
                .is_some_and(|heard| heard > since + 2 * PEER_REPORT_DELAY)
        };
        since.is_some_and(later)
    }

    /// When the server was first seen or last returned; older connections to its address may be
    /// dead.
    pub fn returned_at(&self) -> Option<Instant> {
        self.returned_at
    }

    /// Applies a registration row. A row that arrives within the row delay after a health check may
    /// be older than the answer and is ignored.
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
            // A row that says warm may be older than the cold state, which expires by itself.
            return;
        }
        let until = now + Duration::from_millis(cold_ms);
        self.cold_until = self.cold_until.max(Some(until));
        self.source = Some(WarmupSource::Row);
    }

    /// Marks the server as unobserved if no node has received bytes from it for long. It stays so
    /// until a health check is answered: later bytes may belong to a node that takes it for warm.
    pub fn note_unused(&mut self, now: Instant) {
        let is_cold = self.cold_until.is_some_and(|until| until > now);
        if !is_cold && self.is_tracked() {
            self.unobserved = self.unobserved(now);
        }
    }

    /// Records that some node received bytes from the server.
    pub fn note_heard(&mut self, at: Instant) {
        self.heard = self.heard.max(Some(at));
    }

    /// Records that this node found the server silent or unreachable.
    pub fn note_silent(&mut self, now: Instant) {
        self.unobserved = Some((now, WarmupSource::Silence));
        self.reached = false;
    }

    /// Applies another node's report that the server is silent; such reports are repeated.
    pub fn note_reported_silent(&mut self, now: Instant) {
        let heard = |heard: Instant| now.duration_since(heard) < PEER_REPORT_DELAY;
        if self.heard.is_some_and(heard) {
            // Other nodes receive bytes from the server, so the problem is likely the reporting
            // node's. Otherwise it repeats the report.
            return;
        }
        let last = self.silence_reported.replace(now);
        if last.is_some_and(|last| now.duration_since(last) < PEER_REPORT_DELAY) {
            return;
        }
        let since = now.checked_sub(PEER_REPORT_DELAY).unwrap_or(now);
        let answered = self.checked.is_some_and(|checked| checked.at >= since);
        if !answered && self.unobserved.is_none_or(|(held, _)| held < since) {
            self.unobserved = Some((since, WarmupSource::Silence));
            self.reached = false;
        }
    }

    /// Records that operators restored the server. It may have turned cold without work. Repeated
    /// calls with the same time have no effect.
    pub fn note_restored(&mut self, at: Instant, now: Instant) {
        if self.restored_at.replace(at) == Some(at) {
            return;
        }
        if !self.is_tracked() && now.duration_since(at) > RESTORE_WINDOW {
            // The server was registered later.
            return;
        }
        let since = at.checked_sub(RESTORE_DELAY).unwrap_or(at);
        if self.checked.is_none_or(|checked| checked.at < since) {
            self.unobserved = Some((since, WarmupSource::TakenBack));
            self.reached = false;
        }
    }

    /// Applies a health answer of this node or another; the one with the latest check wins.
    pub fn note_warmup_report(&mut self, answer: WarmupReport, source: WarmupSource, now: Instant) {
        if self.checked.is_some_and(|held| held.at >= answer.at) {
            return;
        }
        if let Some((since, _)) = self.unobserved(now) {
            if answer.at < since {
                return;
            }
            self.unobserved = None;
            self.reached = false;
            self.returned_at = Some(answer.at);
        }
        self.checked = Some(answer);
        self.cold_until = (!answer.cold.is_zero()).then(|| answer.at + answer.cold);
        self.source = Some(source);
    }

    /// Records an answer without a warm-up state.
    pub fn note_reached(&mut self, now: Instant) {
        if let Some(held) = self.unobserved(now) {
            self.unobserved = Some(held);
            self.reached = true;
        }
    }
}
