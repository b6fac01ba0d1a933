//! Zones whose servers seem to be lost together. Pure: time is an argument.
//!
//! A zone that loses its power, or the way to it, leaves dozens of servers silent at one moment. Were each found
//! out by itself, each would take requests that wait in vain. So when several servers of a zone are silent and
//! hardly any other of it answers, all of them are tried with care until some have answered again.

use std::collections::BTreeMap;
use std::time::Duration;

use dappleyard_clock::Instant;

/// Servers of a zone found silent from which the zone is doubted; in a smaller zone all of them.
const LEAST_SILENT: usize = 3;
/// Silent servers for each one that answers. A sixth of the servers may crash at once in any zone, and four
/// in five of a zone do not without a common cause.
const SILENT_PER_ANSWERING: usize = 4;
/// Time since a server was last heard, here or at another node, up to which it counts as answering. News of other
/// nodes is up to 0.25 s old.
const ANSWERING: Duration = Duration::from_millis(300);
/// Servers that must have answered again before a zone is used as before; twice as many each time that it is
/// doubted again soon.
const ANSWERED: usize = 2;
/// Time after the end of a suspicion in which another one counts as soon.
const SOON: Duration = Duration::from_secs(3);
/// Most doublings.
const MOST_DOUBLINGS: u32 = 3;

/// What is known of one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSign<'a> {
    /// Zone.
    pub zone: &'a str,
    /// It was found silent or could not be reached a moment ago, here or by another node.
    pub suspect: bool,
    /// Time since any node heard it.
    pub silence: Option<Duration>,
}

/// A change of what is believed of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspicionChange {
    /// Zone.
    pub zone: String,
    /// It is doubted from now on; otherwise it is used as before.
    pub suspected: bool,
    /// Servers found silent.
    pub silent: usize,
    /// Servers that answer, or have answered since the zone was doubted.
    pub answering: usize,
    /// Servers looked at.
    pub servers: usize,
    /// Time for which the zone was doubted, at its end.
    pub lasted: Option<Duration>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Belief {
    since: Option<Instant>,
    ended: Option<Instant>,
    doublings: u32,
}

impl Belief {
    fn enter(&mut self, now: Instant) {
        let soon = self.ended.is_some_and(|at| now.duration_since(at) < SOON);
        self.doublings = match soon {
            true => (self.doublings + 1).min(MOST_DOUBLINGS),
            false => 0,
        };
        self.since = Some(now);
    }

    fn leave(&mut self, now: Instant) {
        self.since = None;
        self.ended = Some(now);
    }

    /// Servers that must have answered, of so many.
    fn needed(self, servers: usize) -> usize {
        (ANSWERED << self.doublings).min(servers.div_ceil(2)).max(1)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    servers: usize,
    silent: usize,
    answering: usize,
}

impl Counts {
    fn are_lost(self) -> bool {
        let least = LEAST_SILENT.min(self.servers).max(2);
        self.silent >= least && self.silent >= SILENT_PER_ANSWERING * self.answering
    }
}

/// What is believed of the zones with servers.
#[derive(Debug, Default)]
pub struct ZoneSuspicion {
    beliefs: BTreeMap<String, Belief>,
}

impl ZoneSuspicion {
    /// Takes what is known of the servers now; what has changed.
    pub fn judge(&mut self, signs: &[ServerSign<'_>], now: Instant) -> Vec<SuspicionChange> {
        let counts = self.count(signs, now);
        let mut changes = self.forget(|zone| !counts.contains_key(zone), now);
        let judged = counts
            .into_iter()
            .filter_map(|(zone, counts)| self.judge_zone(zone, counts, now));
        changes.extend(judged);
        changes
    }

    /// Forgets the zones that have no servers any more; those that were doubted are told.
    fn forget(&mut self, gone: impl Fn(&str) -> bool, now: Instant) -> Vec<SuspicionChange> {
        let mut changes = Vec::new();
        self.beliefs.retain(|zone, belief| {
            let gone = gone(zone);
            if let Some(since) = belief.since.filter(|_| gone) {
                changes.push(SuspicionChange {
                    zone: zone.clone(),
                    suspected: false,
                    silent: 0,
                    answering: 0,
                    servers: 0,
                    lasted: Some(now.duration_since(since)),
                });
            }
            !gone
        });
        changes
    }

    fn count<'a>(&self, signs: &[ServerSign<'a>], now: Instant) -> BTreeMap<&'a str, Counts> {
        let mut zones: BTreeMap<&str, Counts> = BTreeMap::new();
        for sign in signs {
            let since = self.beliefs.get(sign.zone).and_then(|belief| belief.since);
            let recent = since.map_or(ANSWERING, |since| now.duration_since(since));
            let answering = sign.silence.is_some_and(|silence| silence < recent);
            let counts = zones.entry(sign.zone).or_default();
            counts.servers += 1;
            counts.answering += usize::from(answering);
            counts.silent += usize::from(sign.suspect && !answering);
        }
        zones
    }

    fn judge_zone(&mut self, zone: &str, counts: Counts, now: Instant) -> Option<SuspicionChange> {
        let belief = self.beliefs.entry(zone.to_owned()).or_default();
        let before = belief.since;
        match before {
            None if counts.are_lost() => belief.enter(now),
            Some(_) if counts.answering >= belief.needed(counts.servers) => belief.leave(now),
            _ => return None,
        }
        Some(SuspicionChange {
            zone: zone.to_owned(),
            suspected: before.is_none(),
            silent: counts.silent,
            answering: counts.answering,
            servers: counts.servers,
            lasted: before.map(|since| now.duration_since(since)),
        })
    }

    /// The zones that are doubted.
    pub fn suspected(&self) -> impl Iterator<Item = &str> {
        let zones = self.beliefs.iter();
        zones
            .filter(|(_, belief)| belief.since.is_some())
            .map(|(zone, _)| zone.as_str())
    }

    /// Whether a zone's servers are held back: it is doubted, and another zone is not. Where all are doubted,
    /// it is more likely this node that hears nothing.
    pub fn holds_back(&self, zone: &str) -> bool {
        let all = self.beliefs.values().all(|belief| belief.since.is_some());
        !all && self
            .beliefs
            .get(zone)
            .is_some_and(|belief| belief.since.is_some())
    }

    /// Whether any zone is doubted.
    pub fn is_any(&self) -> bool {
        self.suspected().next().is_some()
    }
}
