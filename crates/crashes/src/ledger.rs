//! The crash records of all features of requests, as known to one node. Pure; time is an argument.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::deferred_retries::DeferredRetries;
use crate::feature::{Feature, RequestFeatures};
use crate::gossip::SENDS_PER_CHANGE;
use crate::messages::CrashRecord;
use crate::recently_served::RecentlyServed;
use crate::record::{LONG_RUN, MAX_ENDED_SERVERS, Record};
use crate::server_failures::ServerFailures;

/// Limit on the records of one kind of feature, about 1 MB. It covers the loss of about one server in fifty in a fleet of
/// 7,900 servers with 26 requests each. Kinds have limits of their own, so that many different requests do not evict
/// prompt parts.
const MAX_RECORDS: usize = 4_096;
/// Retention of a suspect, a feature with ended servers that is not refused. It covers automatic and manual retries.
const SUSPECT_RETENTION: Duration = Duration::from_secs(600);
/// Retention of a refused feature, after which requests with it may run again.
pub(crate) const REFUSED_RETENTION: Duration = Duration::from_secs(3_600);

/// Appended to the identifier of an ended incarnation to denote the next one, until that reports its own identifier.
pub(crate) const RESTART_SUFFIX: char = '+';
/// Nodes may observe the end of a server at times that differ by this much; differences of 90 ms occur. A run that
/// started later than this after an end ran on the next incarnation of the server.
const OBSERVATION_SKEW: Duration = Duration::from_millis(200);

/// Decision on the next run of a request, from the least to the most restrictive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Permit {
    /// The request may run.
    Free,
    /// The request may run, but one more end will refuse it. It must not share a server with another request in this
    /// state, so that the cause of an end is unambiguous.
    LastRun,
    /// The request may run once an active run has ended.
    Wait,
    /// The request is refused.
    Refused,
}

/// Effect of a server's end on the records of a request's features.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndOutcome {
    /// Number of servers that have ended while they ran the request.
    pub ended: usize,
    /// Features that are refused from now on.
    pub now_refused: Vec<Feature>,
}

/// Effect of merging a record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Whether the record contained new information.
    pub is_new: bool,
    /// Whether the feature is refused from now on.
    pub now_refused: bool,
}

/// A refused feature, as shown to callers and operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedFeature {
    pub feature: Feature,
    /// Servers that ended while they ran requests with the feature.
    pub ended: Vec<String>,
    /// Time since the last end was observed.
    pub age: Duration,
    /// Time after which a request with the feature may run again.
    pub retry_after: Duration,
}

/// Crash records of all features, the runs of this node, and the changes still to be sent or stored.
pub struct Ledger {
    pub(crate) node_id: u64,
    pub(crate) sequence: u64,
    pub(crate) records: BTreeMap<Feature, Record>,
    /// Servers on which this node runs requests with each feature, including unsuspected ones.
    pub(crate) running: HashMap<Feature, Vec<String>>,
    recently_served: RecentlyServed,
    pub(crate) server_failures: ServerFailures,
    pub(crate) deferred_retries: DeferredRetries,
    /// Changed records, with the number of sends that remain.
    pub(crate) unsent: HashMap<Feature, u8>,
    /// Features that are sent again for a node that has just started.
    pub(crate) resent: BTreeSet<Feature>,
    pub(crate) last_refreshed: Option<Feature>,
    /// Features that were cleared here, of which another node reported ends from before.
    pub(crate) outdated_elsewhere: BTreeSet<Feature>,
    /// Features that were refused or cleared, which this node must still write to the store.
    unstored: BTreeSet<Feature>,
    /// Time until which nothing runs, because the refusals of other nodes are not known yet.
    pub(crate) learning_until: Option<Instant>,
}

impl Ledger {
    /// Creates an empty ledger. `node_id` identifies this node and process incarnation.
    pub fn new(node_id: u64) -> Self {
        Self {
            node_id,
            sequence: 0,
            records: BTreeMap::new(),
            running: HashMap::new(),
            recently_served: RecentlyServed::default(),
            server_failures: ServerFailures::default(),
            deferred_retries: DeferredRetries::default(),
            unsent: HashMap::new(),
            resent: BTreeSet::new(),
            last_refreshed: None,
            outdated_elsewhere: BTreeSet::new(),
            unstored: BTreeSet::new(),
            learning_until: None,
        }
    }

    /// Starts a run on a server, unless the request must wait or is refused.
    pub fn begin(&mut self, request: &RequestFeatures, server: &str, now: Instant) -> Permit {
        let permit = self.prepare(request, now);
        match permit {
            Permit::Wait | Permit::Refused => return permit,
            Permit::LastRun
                if self
                    .last_run_servers(request, now)
                    .contains(listed_name(server)) =>
            {
                return Permit::Wait;
            }
            Permit::Free | Permit::LastRun => {}
        }
        let incarnation = self.incarnation_that_ran(server, now);
        for feature in request.iter() {
            if let Some(record) = self.records.get_mut(feature) {
                record.use_reservation();
            }
            let running = self.running.entry(*feature).or_default();
            running.push(incarnation.clone());
            self.queue_runs(feature, now);
        }
        permit
    }

    /// Ends a run on a server, whatever its result.
    pub fn end(&mut self, request: &RequestFeatures, server: &str, now: Instant) {
        let is_here = |running: &String| listed_name(running) == listed_name(server);
        for feature in request.iter() {
            if let Some(servers) = self.running.get_mut(feature) {
                // Of runs at several starts of a server, the earliest ends first.
                if let Some(at) = servers.iter().position(is_here) {
                    servers.remove(at);
                }
                if servers.is_empty() {
                    self.running.remove(feature);
                }
            }
            self.queue_runs(feature, now);
        }
    }

    /// Identifier of the server incarnation on which a run that began at the given time was running. If the known
    /// incarnation ended before, the server has restarted but has not registered under its new identifier yet.
    pub fn incarnation_that_ran(&self, server: &str, began: Instant) -> String {
        let has_ended = |incarnation: &str| {
            let ended = self.server_failures.ended_at(incarnation);
            ended.is_some_and(|ended| is_later_start(began, ended))
        };
        let mut incarnation = server.to_owned();
        while has_ended(&incarnation) {
            incarnation.push(RESTART_SUFFIX);
        }
        incarnation
    }

    /// Records that a server ended during a run that began at the given time. Ends that other nodes saw before the run
    /// began are those of earlier starts, even if the news of them comes later.
    pub fn note_run_ended(
        &mut self,
        request: &RequestFeatures,
        server: &str,
        began: Instant,
        output_for: Option<Duration>,
        now: Instant,
    ) -> EndOutcome {
        let server = self.incarnation_that_ran(server, began);
        let outcome = self.note_ended(request, &server, output_for, now);
        for feature in request.iter() {
            if let Some(record) = self.records.get_mut(feature) {
                record.note_began(&server, began);
            }
        }
        outcome
    }

    /// Records that a server ended while it ran a request; `output_for` is the time for which that run had produced
    /// output, if any.
    pub fn note_ended(
        &mut self,
        request: &RequestFeatures,
        server: &str,
        output_for: Option<Duration>,
        now: Instant,
    ) -> EndOutcome {
        self.server_failures.note(server, now);
        if request.is_deferred() && self.refused_features_of(request) > 0 {
            self.deferred_retries.note_end(now);
        }
        let ran_long = output_for.is_some_and(|time| time >= LONG_RUN);
        let mut now_refused = Vec::new();
        for feature in request.iter() {
            // A shared feature crashes a server as the answer begins, if it does.
            let counts = !(feature.is_shared() && ran_long);
            if counts && self.note_feature_ended(feature, server, output_for, now) {
                now_refused.push(*feature);
            }
        }
        let ended = self.records.get(&Feature::Request(request.request()));
        EndOutcome {
            ended: ended.map_or(0, |record| record.ended.len()),
            now_refused,
        }
    }

    /// Records the end of a server for one feature; returns whether the feature is refused from now on.
    fn note_feature_ended(
        &mut self,
        feature: &Feature,
        server: &str,
        output_for: Option<Duration>,
        now: Instant,
    ) -> bool {
        self.evict_for(feature);
        let was_refused = self.is_refused(feature);
        let record = self.records.entry(*feature);
        let record = record.or_insert_with(|| Record::new(now));
        record.seen_here = true;
        record.ran_long |= output_for.is_some_and(|time| time >= LONG_RUN);
        if record.note_ended(server, now, output_for.is_some()) {
            self.unsent.insert(*feature, SENDS_PER_CHANGE);
        }
        self.update_served_before(feature);
        self.update_crashed(feature);
        let now_refused = !was_refused && self.is_refused(feature);
        if now_refused {
            self.unstored.insert(*feature);
        }
        now_refused
    }

    /// Records an interrupted run of which it is not yet known whether its server ended. Until that is known, active
    /// runs of the same request count as potential ends. Other requests with a shared feature are not held back by a
    /// mere doubt.
    pub fn note_doubt(&mut self, request: &RequestFeatures, now: Instant) {
        for feature in request.iter().filter(|feature| !feature.is_shared()) {
            self.evict_for(feature);
            let record = self.records.entry(*feature);
            record
                .or_insert_with(|| Record::new(now))
                .mark_in_doubt(now);
            self.queue_runs(feature, now);
        }
    }

    /// Updates whether this node completed a request with the feature shortly before the first end, or since; returns
    /// whether that is new.
    fn update_served_before(&mut self, feature: &Feature) -> bool {
        let Some(record) = self.records.get_mut(feature) else {
            return false;
        };
        let first = record.first_end();
        let served =
            first.is_some_and(|first| self.recently_served.was_served_before(feature, first));
        let is_new = served && !record.served_before;
        record.served_before |= served;
        is_new
    }

    /// Updates the servers that a feature has crashed, which explain ends of others.
    fn update_crashed(&mut self, feature: &Feature) {
        let failures = &self.server_failures;
        let record = self.records.get(feature);
        let cause = record.filter(|record| record.crashes_before_output(feature, failures));
        let servers = cause.map(Record::servers).unwrap_or_default();
        self.server_failures.set_crashed(*feature, servers);
    }

    /// Records a completed run, which clears the features of the request; returns those that were suspected.
    pub fn note_served(&mut self, request: &RequestFeatures, now: Instant) -> Vec<Feature> {
        let served = request.iter().copied();
        served
            .filter(|feature| self.note_feature_served(feature, now))
            .collect()
    }

    /// Records that a run has produced output for [`LONG_RUN`], which clears the shared features of the request; returns
    /// those that were suspected.
    pub fn note_long_run(&mut self, request: &RequestFeatures, now: Instant) -> Vec<Feature> {
        let shared = request.iter().filter(|feature| feature.is_shared());
        shared
            .copied()
            .filter(|feature| self.note_feature_served(feature, now))
            .collect()
    }

    fn note_feature_served(&mut self, feature: &Feature, now: Instant) -> bool {
        self.recently_served.note(*feature, now);
        self.clear(feature, now)
    }

    /// Clears a feature on behalf of an operator; returns whether it was suspected.
    pub fn forgive(&mut self, feature: &Feature, now: Instant) -> bool {
        self.clear(feature, now)
    }

    fn clear(&mut self, feature: &Feature, now: Instant) -> bool {
        let known = self.records.get_mut(feature);
        let Some(record) = known.filter(|record| !record.ended.is_empty()) else {
            return false;
        };
        let is_stored = std::mem::take(&mut record.is_stored);
        if record.ended.len() >= MAX_ENDED_SERVERS {
            self.deferred_retries.note_success();
        }
        // Another node may have stored a refusal, even if this one excuses some of the ends.
        if is_stored || record.ended.len() >= MAX_ENDED_SERVERS {
            self.unstored.insert(*feature);
        }
        record.clear(now);
        self.update_crashed(feature);
        self.unsent.insert(*feature, SENDS_PER_CHANGE);
        true
    }

    /// Servers that ended while they ran requests with a feature.
    pub fn ended_under(&self, feature: &Feature) -> Vec<String> {
        let record = self.records.get(feature);
        record.map(Record::servers).unwrap_or_default()
    }

    /// Merges a record received from another node or read from the store. With `relay`, new information is sent on to
    /// other nodes.
    pub fn merge(&mut self, report: CrashRecord, relay: bool, now: Instant) -> MergeOutcome {
        let Some(feature) = report.feature() else {
            return MergeOutcome::default();
        };
        if report.is_expired() {
            return MergeOutcome::default();
        }
        self.evict_for(&feature);
        let node_id = self.node_id;
        let was_refused = self.is_refused(&feature);
        let observed = now.checked_sub(Duration::from_millis(report.age_ms));
        let record = self.records.entry(feature);
        let record = record.or_insert_with(|| Record::new(observed.unwrap_or(now)));
        if report.epoch < record.epoch && !report.ended.is_empty() {
            self.outdated_elsewhere.insert(feature);
        }
        let (is_new, seen_here) = (record.merge(report, node_id, now), record.seen_here);
        for end in &record.ended {
            self.server_failures.note(&end.server, end.at);
        }
        let served_here = self.update_served_before(&feature);
        self.update_crashed(&feature);
        let merged = MergeOutcome {
            is_new,
            now_refused: !was_refused && self.is_refused(&feature),
        };
        // Only a node that observed an end itself writes the record to the store.
        if merged.now_refused && seen_here {
            self.unstored.insert(feature);
        }
        // Other nodes hold back requests with a shared feature until they know that one was served.
        if (merged.is_new && relay) || (served_here && feature.is_shared()) {
            self.unsent.insert(feature, SENDS_PER_CHANGE);
        }
        merged
    }

    /// Merges a record read from the store, whose row is removed once the feature is cleared.
    pub fn merge_stored(&mut self, report: CrashRecord, now: Instant) -> MergeOutcome {
        let feature = report.feature();
        let outcome = self.merge(report, false, now);
        if let Some(record) = feature.and_then(|feature| self.records.get_mut(&feature)) {
            record.is_stored = !record.ended.is_empty();
        }
        outcome
    }

    /// The records with ends, at most `max_records`: those with the most ends first, then the most recent.
    pub fn counts(&self, max_records: usize, now: Instant) -> Vec<CrashRecord> {
        let records = self.records.iter();
        let mut counted: Vec<(&Feature, &Record)> = records
            .filter(|(_, record)| !record.ended.is_empty())
            .collect();
        counted.sort_by_key(|(_, record)| {
            (std::cmp::Reverse(record.ended.len()), now - record.changed)
        });
        counted.truncate(max_records);
        let counted = counted.into_iter();
        counted
            .map(|(feature, _)| self.message(feature, now))
            .collect()
    }

    /// Takes the next change to write to the store: the record of a refused feature, or `None` if requests with it may run
    /// again.
    pub fn next_unstored(&mut self, now: Instant) -> Option<(Feature, Option<CrashRecord>)> {
        let feature = self.unstored.pop_first()?;
        let refused = self.is_refused(&feature);
        Some((feature, refused.then(|| self.message(&feature, now))))
    }

    /// Queues a feature again after a failed write to the store.
    pub fn requeue_unstored(&mut self, feature: Feature) {
        self.unstored.insert(feature);
    }

    /// Removes the records whose retention is over and those without information.
    pub fn sweep(&mut self, now: Instant) {
        let failures = &mut self.server_failures;
        self.records.retain(|feature, record| {
            let age = now.saturating_duration_since(record.changed);
            let is_kept = age < retention(record.ended.len()) && !record.is_blank(now);
            if !is_kept {
                failures.set_crashed(*feature, Vec::new());
            }
            is_kept
        });
    }

    /// Evicts a record if those of the kind are too many: features that are not refused first, then the oldest.
    fn evict_for(&mut self, feature: &Feature) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(feature) {
            return;
        }
        let same_kind = self.records.iter();
        let same_kind = same_kind.filter(|(other, _)| other.is_same_kind(feature));
        if same_kind.clone().count() < MAX_RECORDS {
            return;
        }
        let evicted = same_kind.min_by_key(|(_, record)| {
            let ended = record.ended.len();
            (ended >= MAX_ENDED_SERVERS, ended, record.changed)
        });
        if let Some(evicted) = evicted.map(|(feature, _)| *feature) {
            self.records.remove(&evicted);
            self.resent.remove(&evicted);
            self.update_crashed(&evicted);
            self.unsent.remove(&evicted);
            self.unstored.remove(&evicted);
        }
    }
}

/// Whether a run that began at a time ran on a later start of a server than the one that ended.
pub(crate) fn is_later_start(began: Instant, ended: Instant) -> bool {
    began > ended + OBSERVATION_SKEW
}

/// The identifier under which an incarnation of a server is listed.
pub(crate) fn listed_name(incarnation: &str) -> &str {
    incarnation.trim_end_matches(RESTART_SUFFIX)
}

/// Retention of a record with so many ended servers.
pub(crate) fn retention(ended: usize) -> Duration {
    match ended >= MAX_ENDED_SERVERS {
        true => REFUSED_RETENTION,
        false => SUSPECT_RETENTION,
    }
}
