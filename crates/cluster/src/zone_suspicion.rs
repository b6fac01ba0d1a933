//! Detects zones whose servers fail together. Pure: time is an argument.
//!
//! A power or network failure silences all servers of a zone at once. If each were detected by
//! itself, each would first receive requests that time out. So when several servers of a zone are
//! silent and hardly any responds, all of them get few requests until some have responded again.

use std::collections::BTreeMap;
use std::time::Duration;

use dappleyard_clock::Instant;

/// Minimum number of silent servers for a zone to be suspected. In a smaller zone all its servers
/// must be silent, and at least two.
const MIN_SILENT: usize = 3;
/// Minimum ratio of silent to responding servers for a zone to be suspected. High enough that
/// independent crashes of a sixth of the servers do not count.
const SILENT_PER_RESPONDING: usize = 4;
/// Time since the last bytes to any node within which a server counts as responding. Reports of
/// other nodes are up to 250 ms old.
const RESPONDING_WITHIN: Duration = Duration::from_millis(300);
/// Servers that must respond to end a suspicion; doubled each time the zone is suspected again
/// soon.
const MIN_RESPONDING: usize = 2;
/// A suspicion within this time after the previous one doubles the requirement.
const REPEAT_WINDOW: Duration = Duration::from_secs(3);
const MAX_DOUBLINGS: u32 = 3;

/// Observed state of one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerObservation<'a> {
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
struct ZoneState {
    since: Option<Instant>,
    ended: Option<Instant>,
    doublings: u32,
}

impl ZoneState {
    fn enter(&mut self, now: Instant) {
        let soon = self
            .ended
            .is_some_and(|at| now.duration_since(at) < REPEAT_WINDOW);
        self.doublings = match soon {
            true => (self.doublings + 1).min(MAX_DOUBLINGS),
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
        (MIN_RESPONDING << self.doublings)
            .min(servers.div_ceil(2))
            .max(1)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    servers: usize,
    silent: usize,
    answering: usize,
}

impl Counts {
    fn indicate_failure(self) -> bool {
        let least = MIN_SILENT.min(self.servers).max(2);
        self.silent >= least && self.silent >= SILENT_PER_RESPONDING * self.answering
    }
}

/// Suspicion state of all zones with servers.
#[derive(Debug, Default)]
pub struct ZoneSuspicion {
    states: BTreeMap<String, ZoneState>,
}

impl ZoneSuspicion {
    /// Evaluates the observed servers and returns the changes.
    pub fn evaluate(
        &mut self,
        observations: &[ServerObservation<'_>],
        now: Instant,
    ) -> Vec<SuspicionChange> {
        let counts = self.count(observations, now);
        let mut changes = self.remove_missing(|zone| !counts.contains_key(zone), now);
        let evaluated = counts
            .into_iter()
            .filter_map(|(zone, counts)| self.evaluate_zone(zone, counts, now));
        changes.extend(evaluated);
        changes
    }

    /// Drops zones without servers and returns the suspicions that ended with them.
    fn remove_missing(
        &mut self,
        gone: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Vec<SuspicionChange> {
        let mut changes = Vec::new();
        self.states.retain(|zone, state| {
            let gone = gone(zone);
            if let Some(since) = state.since.filter(|_| gone) {
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

    fn count<'a>(
        &self,
        observations: &[ServerObservation<'a>],
        now: Instant,
    ) -> BTreeMap<&'a str, Counts> {
        let mut zones: BTreeMap<&str, Counts> = BTreeMap::new();
        for observation in observations {
            let since = self
                .states
                .get(observation.zone)
                .and_then(|state| state.since);
            // In a suspected zone, a server responds if bytes arrived since the suspicion began.
            let recent = since.map_or(RESPONDING_WITHIN, |since| now.duration_since(since));
            let answering = observation.silence.is_some_and(|silence| silence < recent);
            let counts = zones.entry(observation.zone).or_default();
            counts.servers += 1;
            counts.answering += usize::from(answering);
            counts.silent += usize::from(observation.suspect && !answering);
        }
        zones
    }

    fn evaluate_zone(
        &mut self,
        zone: &str,
        counts: Counts,
        now: Instant,
    ) -> Option<SuspicionChange> {
        let state = self.states.entry(zone.to_owned()).or_default();
        let before = state.since;
        match before {
            None if counts.indicate_failure() => state.enter(now),
            Some(_) if counts.answering >= state.needed(counts.servers) => state.leave(now),
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
        let zones = self.states.iter();
        zones
            .filter(|(_, state)| state.since.is_some())
            .map(|(zone, _)| zone.as_str())
    }

    /// Whether requests to the zone are restricted: it is suspected and some other zone is not. If
    /// all zones are suspected, this node itself is likely cut off.
    pub fn is_restricted(&self, zone: &str) -> bool {
        let all = self.states.values().all(|state| state.since.is_some());
        !all && self
            .states
            .get(zone)
            .is_some_and(|state| state.since.is_some())
    }

    /// Whether any zone is suspected.
    pub fn any_suspected(&self) -> bool {
        self.suspected().next().is_some()
    }
}
