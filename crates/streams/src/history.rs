//! The software versions that a service has had. Pure; time is an argument.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::{RunOrigin, SoftwareVersion};

/// How long a version counts after its last server was listed: the longest time for which a caller may hold a stream
/// and resume it.
pub const VERSION_RETENTION: Duration = Duration::from_secs(120);
/// Time from the first listing of a further version until streams begin at it while another one serves. By then all
/// nodes that follow the list know of it, so none takes the service for one of a single version.
pub const SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// How long after its last server was listed a version is taken to be in the record of its service. Nodes see that at
/// different times, and the first one to see it expire drops it.
const RECORD_TRUST_TIME: Duration = Duration::from_secs(60);

/// What a node knows of the versions of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Knowledge {
    /// Every stream under way began here.
    Single(RunOrigin),
    /// Streams under way may have begun at several versions.
    Several,
    /// The same as `Single` as of the node's list of servers, which is old.
    Stale(RunOrigin),
    /// The node has not learnt the versions of the past yet. `listed` is the only version that it knows, if it is one.
    Incomplete { listed: Option<RunOrigin> },
}

/// A version; `None` if it is unknown.
type Version = Option<SoftwareVersion>;

/// Versions of one service.
pub type Versions = BTreeSet<Version>;

#[derive(Debug, Clone, Copy)]
struct Listing {
    /// Streams begin at the version from this time on.
    settled: Instant,
    /// When its last server disappeared; `None` while one is listed.
    unlisted: Option<Instant>,
    /// Whether its last servers were draining, so that they do not come back.
    drained: bool,
}

impl Listing {
    fn counts(&self, now: Instant) -> bool {
        self.was_listed_within(VERSION_RETENTION, now)
    }

    fn was_listed_within(&self, time: Duration, now: Instant) -> bool {
        let is_over = |at: Instant| now.saturating_duration_since(at) >= time;
        !self.unlisted.is_some_and(is_over)
    }
}

/// The versions that each service has had within [`VERSION_RETENTION`].
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: HashMap<String, HashMap<Version, Listing>>,
    /// Whether the versions of the past were learnt from the store.
    complete: bool,
}

impl VersionHistory {
    /// Notes the versions of the servers that are listed now, and of those of them that are not draining; returns
    /// whether a version is new.
    pub fn note_listed(
        &mut self,
        service: &str,
        listed: &Versions,
        serving: &Versions,
        now: Instant,
    ) -> bool {
        if listed.is_empty() && !self.services.contains_key(service) {
            return false;
        }
        let versions = self.services.entry(service.to_owned()).or_default();
        let is_first = versions.is_empty();
        for (version, listing) in versions.iter_mut() {
            match listed.contains(version) {
                true => {
                    listing.unlisted = None;
                    listing.drained = !serving.contains(version);
                }
                false => listing.unlisted = listing.unlisted.or(Some(now)),
            }
        }
        let settled = match is_first {
            true => now,
            false => now + SETTLE_TIME,
        };
        let mut is_new = false;
        for version in listed {
            versions.entry(version.clone()).or_insert_with(|| {
                is_new = true;
                Listing {
                    settled,
                    unlisted: None,
                    drained: !serving.contains(version),
                }
            });
        }
        versions.retain(|_, listing| listing.counts(now));
        is_new
    }

    /// Notes versions that the store has recorded; those that are not listed count from now.
    pub fn note_recorded(&mut self, service: &str, recorded: Vec<Version>, now: Instant) {
        let versions = self.services.entry(service.to_owned()).or_default();
        for version in recorded {
            versions.entry(version).or_insert(Listing {
                settled: now,
                unlisted: Some(now),
                drained: false,
            });
        }
    }

    /// Notes that all records of the store were read.
    pub fn note_complete(&mut self) {
        self.complete = true;
    }

    /// Versions of a service that streams under way may have begun at.
    pub fn versions(&self, service: &str, now: Instant) -> Versions {
        let versions = self.services.get(service).into_iter().flatten();
        let counting = versions.filter(|(_, listing)| listing.counts(now));
        counting.map(|(version, _)| version.clone()).collect()
    }

    /// Versions of a service that its record holds if it ever did, since no node drops them from it yet.
    pub fn retained(&self, service: &str, now: Instant) -> Versions {
        let versions = self.services.get(service).into_iter().flatten();
        let retained =
            versions.filter(|(_, listing)| listing.was_listed_within(RECORD_TRUST_TIME, now));
        retained.map(|(version, _)| version.clone()).collect()
    }

    /// What is known of a service; `is_fresh` tells whether the list of servers is up to date.
    pub fn knowledge(&self, service: &str, is_fresh: bool, now: Instant) -> Knowledge {
        let mut versions = self.versions(service, now).into_iter();
        let (first, second) = (versions.next(), versions.next());
        if second.is_some() {
            return Knowledge::Several;
        }
        let listed = first.map(|version| RunOrigin {
            service: service.to_owned(),
            version,
        });
        match listed {
            Some(origin) if self.complete && is_fresh => Knowledge::Single(origin),
            Some(origin) if self.complete => Knowledge::Stale(origin),
            listed => Knowledge::Incomplete { listed },
        }
    }

    /// Versions at which no streams begin yet, with the time from which they do.
    pub fn settling(&self, service: &str, now: Instant) -> Vec<(Version, Instant)> {
        let versions = self.services.get(service).into_iter().flatten();
        versions
            .filter(|(_, listing)| listing.settled > now)
            .map(|(version, listing)| (version.clone(), listing.settled))
            .collect()
    }

    /// Time since the last server of an origin disappeared without a drain; `None` while one is listed, or if there was
    /// none.
    pub fn lapsed_for(&self, origin: &RunOrigin, now: Instant) -> Option<Duration> {
        let listing = self.services.get(&origin.service)?.get(&origin.version)?;
        let unlisted = listing.unlisted.filter(|_| !listing.drained)?;
        Some(now.saturating_duration_since(unlisted))
    }
}
