//! Detects zones whose servers fail together. Pure: time is an argument.
//!
//! A power or network failure silences all servers of a zone at once. If each were detected by
//! itself, each would first receive requests that time out. So when several servers of a zone are
//! silent and hardly any responds, all of them get few requests until some have responded again.

use std::collections::BTreeMap;
use std::time::Duration;

use dappleyard_clock::Instant;

/// Silent servers from which a zone is suspected; all of them in a smaller zone.
const LEAST_SILENT: usize = 3;
/// Silent servers per responding one. High enough that independent crashes of a sixth of the
/// servers do not count.
const SILENT_PER_ANSWERING: usize = 4;
/// Time since the last bytes to any node within which a server counts as responding. Reports of
/// other nodes are up to 250 ms old.
const ANSWERING: Duration = Duration::from_millis(300);
/// Servers that must respond to end a suspicion; doubled each time the zone is suspected again
/// soon.
const ANSWERED: usize = 2;
/// A suspicion within this time after the previous one doubles the requirement.
const SOON: Duration = Duration::from_secs(3);
const MOST_DOUBLINGS: u32 = 3;

/// Observed state of one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSign<'a> {
    pub zone: &'a str,
    /// Whether any node currently considers the server silent or unreachable.
    pub suspect: bool,
    /// Time since any node received bytes from it.
    pub silence: Option<Duration>,
}

/// Start or end of the suspicion of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspicionChange {
    pub zone: String,
    /// Whether the zone is suspected from now on; otherwise the suspicion ended.
    pub suspected: bool,
    /// Silent servers.
    pub silent: usize,
    /// Servers that respond, or have responded since the zone was suspected.
    pub answering: usize,
    /// Servers observed.
    pub servers: usize,
    /// Duration of the suspicion, at its end.
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

    /// Servers that must respond to end the suspicion, out of `servers`.
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

/// Suspicion state of all zones with servers.
#[derive(Debug, Default)]
pub struct ZoneSuspicion {
    beliefs: BTreeMap<String, Belief>,
}

impl ZoneSuspicion {
    /// Evaluates the observed servers and returns the changes.
    pub fn judge(&mut self, signs: &[ServerSign<'_>], now: Instant) -> Vec<SuspicionChange> {
        let counts = self.count(signs, now);
        let mut changes = self.forget(|zone| !counts.contains_key(zone), now);
        let judged = counts
            .into_iter()
            .filter_map(|(zone, counts)| self.judge_zone(zone, counts, now));
        changes.extend(judged);
        changes
    }

    /// Drops zones without servers and returns the suspicions that ended with them.
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

    /// The suspected zones.
    pub fn suspected(&self) -> impl Iterator<Item = &str> {
        let zones = self.beliefs.iter();
        zones
            .filter(|(_, belief)| belief.since.is_some())
            .map(|(zone, _)| zone.as_str())
    }

    /// Whether requests to the zone are restricted: it is suspected and some other zone is not. If
    /// all zones are suspected, this node itself is likely cut off.
    pub fn holds_back(&self, zone: &str) -> bool {
        let all = self.beliefs.values().all(|belief| belief.since.is_some());
        !all && self
            .beliefs
            .get(zone)
            .is_some_and(|belief| belief.since.is_some())
    }

    /// Whether any zone is suspected.
    pub fn is_any(&self) -> bool {
        self.suspected().next().is_some()
    }
}
