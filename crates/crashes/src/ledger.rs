//! The crash records of all requests, as known to one node. Pure; time is an argument.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::fingerprint::Fingerprint;
use crate::gossip::SENDS_PER_CHANGE;
use crate::messages::CrashRecord;
use crate::recently_served::RecentlyServed;
use crate::record::{MAX_ENDED_SERVERS, Record};
use crate::server_failures::ServerFailures;

/// Limit on the records, about 1 MB. It covers the loss of about one server in fifty in a fleet of 7,900 servers
/// with 26 requests each.
const MAX_RECORDS: usize = 4_096;
/// Retention of a suspect, a request with ended servers that is not refused. It covers automatic and manual retries.
const SUSPECT_RETENTION: Duration = Duration::from_secs(600);
/// Retention of a refused request, after which it may run again.
pub const REFUSED_RETENTION: Duration = Duration::from_secs(3_600);

/// Appended to the identifier of an ended incarnation to denote the next one, until that reports its own identifier.
const RESTART_SUFFIX: char = '+';
/// Nodes may observe the end of a server at times that differ by this much; differences of 90 ms occur. A run that
/// started later than this after an end ran on the next incarnation of the server.
const OBSERVATION_SKEW: Duration = Duration::from_millis(200);

/// Decision on the next run of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
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

/// Effect of a server's end on the record of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndOutcome {
    /// Number of servers that have ended while they ran the request.
    pub ended: usize,
    /// Whether the request is refused from now on.
    pub now_refused: bool,
}

/// Effect of merging a record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Whether the record contained new information.
    pub is_new: bool,
    /// Whether the request is refused from now on.
    pub now_refused: bool,
}

/// A refused request, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedRequest {
    pub fingerprint: Fingerprint,
    /// Servers that ended while they ran the request.
    pub ended: Vec<String>,
    /// Time since the last end was observed.
    pub age: Duration,
}

/// Crash records of all requests, the runs of this node, and the changes still to be sent or stored.
pub struct Ledger {
    pub(crate) node_id: u64,
    pub(crate) sequence: u64,
    pub(crate) records: BTreeMap<Fingerprint, Record>,
    /// Servers on which this node runs requests, including unsuspected ones.
    pub(crate) running: HashMap<Fingerprint, Vec<String>>,
    recently_served: RecentlyServed,
    server_failures: ServerFailures,
    /// Changed records, with the number of sends that remain.
    pub(crate) unsent: HashMap<Fingerprint, u8>,
    pub(crate) last_refreshed: Option<Fingerprint>,
    /// Requests that were refused or cleared, which this node must still write to the store.
    unstored: BTreeSet<Fingerprint>,
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
            unsent: HashMap::new(),
            last_refreshed: None,
            unstored: BTreeSet::new(),
        }
    }

    /// Decides on the next run of a request.
    pub fn permit(&self, request: &Fingerprint, now: Instant) -> Permit {
        let Some(record) = self.records.get(request) else {
            return Permit::Free;
        };
        let counted_ends = record.counted_ends(&self.server_failures);
        if counted_ends == 0 && !record.is_in_doubt(now) {
            return Permit::Free;
        }
        let own = self.running.get(request).map_or(0, Vec::len);
        let under_way = own + record.reported_servers(now).count();
        if counted_ends >= MAX_ENDED_SERVERS {
            return match under_way == 0 && record.may_retry(counted_ends, now) {
                true => Permit::LastRun,
                false => Permit::Refused,
            };
        }
        // Each active run may end its server.
        if counted_ends + under_way >= MAX_ENDED_SERVERS {
            return Permit::Wait;
        }
        match counted_ends + 1 == MAX_ENDED_SERVERS {
            true => Permit::LastRun,
            false => Permit::Free,
        }
    }

    /// Starts a run on a server, unless the request must wait or is refused.
    pub fn begin(&mut self, request: &Fingerprint, server: &str, now: Instant) -> Permit {
        let permit = self.permit(request, now);
        match permit {
            Permit::Wait | Permit::Refused => return permit,
            Permit::LastRun if self.last_run_servers(request, now).contains(server) => {
                return Permit::Wait;
            }
            Permit::Free | Permit::LastRun => {}
        }
        let running = self.running.entry(*request).or_default();
        running.push(server.to_owned());
        self.queue_runs(request, now);
        permit
    }

    /// Ends a run on a server, whatever its result.
    pub fn end(&mut self, request: &Fingerprint, server: &str, now: Instant) {
        if let Some(servers) = self.running.get_mut(request) {
            if let Some(at) = servers.iter().position(|running| running == server) {
                servers.swap_remove(at);
            }
            if servers.is_empty() {
                self.running.remove(request);
            }
        }
        self.queue_runs(request, now);
    }

    /// Identifier of the server incarnation on which a run that began at the given time was running. If the known
    /// incarnation ended before, the server has restarted but has not registered under its new identifier yet.
    pub fn incarnation_that_ran(&self, server: &str, began: Instant) -> String {
        let has_ended = |incarnation: &str| {
            let ended = self.server_failures.ended_at(incarnation);
            ended.is_some_and(|ended| began > ended + OBSERVATION_SKEW)
        };
        let mut incarnation = server.to_owned();
        while has_ended(&incarnation) {
            incarnation.push(RESTART_SUFFIX);
        }
        incarnation
    }

    /// Records that a server ended while it ran a request; `brought_output` tells whether that run had produced output.
    pub fn note_ended(
        &mut self,
        request: &Fingerprint,
        server: &str,
        brought_output: bool,
        now: Instant,
    ) -> EndOutcome {
        self.evict_for(request);
        let was_refused = self.is_refused(request);
        self.server_failures.note(server, now);
        let record = self.records.entry(*request);
        let record = record.or_insert_with(|| Record::new(now));
        record.seen_here = true;
        let ended = record.note_ended(server, now, brought_output);
        let servers = record.ended.len();
        self.update_served_before(request);
        let outcome = EndOutcome {
            ended: servers,
            now_refused: !was_refused && self.is_refused(request),
        };
        if ended {
            self.unsent.insert(*request, SENDS_PER_CHANGE);
        }
        if outcome.now_refused {
            self.unstored.insert(*request);
        }
        outcome
    }

    /// Records that a run had produced output for [`LONG_RUN`](crate::LONG_RUN) before its server ended.
    pub fn note_long_run(&mut self, request: &Fingerprint) {
        if let Some(record) = self.records.get_mut(request) {
            record.ran_long = true;
        }
    }

    /// Records an interrupted run of which it is not yet known whether its server ended. Until that is known, active
    /// runs count as potential ends.
    pub fn note_doubt(&mut self, request: &Fingerprint, now: Instant) {
        self.evict_for(request);
        let record = self.records.entry(*request);
        record
            .or_insert_with(|| Record::new(now))
            .mark_in_doubt(now);
        self.queue_runs(request, now);
    }

    /// Whether a request has reached the limit of ended servers.
    fn is_refused(&self, request: &Fingerprint) -> bool {
        let record = self.records.get(request);
        record.is_some_and(|record| record.counted_ends(&self.server_failures) >= MAX_ENDED_SERVERS)
    }

    /// Updates whether this node completed the request shortly before the first end.
    fn update_served_before(&mut self, request: &Fingerprint) {
        let Some(record) = self.records.get_mut(request) else {
            return;
        };
        let first = record.first_end();
        record.served_before |=
            first.is_some_and(|first| self.recently_served.was_served_before(request, first));
    }

    /// Records a completed run, which clears the request; returns whether it was suspected.
    pub fn note_served(&mut self, request: &Fingerprint, now: Instant) -> bool {
        let was_refused = self.is_refused(request);
        self.recently_served.note(*request, now);
        self.clear(request, was_refused, now)
    }

    /// Clears a request on behalf of an operator; returns whether it was suspected.
    pub fn forgive(&mut self, request: &Fingerprint, now: Instant) -> bool {
        let was_refused = self.is_refused(request);
        self.clear(request, was_refused, now)
    }

    fn clear(&mut self, request: &Fingerprint, was_refused: bool, now: Instant) -> bool {
        let known = self.records.get_mut(request);
        let Some(record) = known.filter(|record| !record.ended.is_empty()) else {
            return false;
        };
        if was_refused {
            self.unstored.insert(*request);
        }
        record.clear(now);
        self.unsent.insert(*request, SENDS_PER_CHANGE);
        true
    }

    /// Servers that run other requests in the state [`Permit::LastRun`].
    pub fn last_run_servers(&self, except: &Fingerprint, now: Instant) -> HashSet<String> {
        let others = self.records.iter();
        let others = others.filter(|(request, record)| {
            *request != except
                && record.counted_ends(&self.server_failures) + 1 == MAX_ENDED_SERVERS
        });
        let mut servers = HashSet::new();
        for (request, record) in others {
            let own = self.running.get(request).into_iter().flatten();
            servers.extend(own.cloned());
            servers.extend(record.reported_servers(now).map(str::to_owned));
        }
        servers
    }

    /// Servers that ended while they ran a request.
    pub fn ended_under(&self, request: &Fingerprint) -> Vec<String> {
        let record = self.records.get(request);
        record.map(Record::servers).unwrap_or_default()
    }

    /// Merges a record received from another node or read from the store. With `relay`, new information is sent on to
    /// other nodes.
    pub fn merge(&mut self, report: CrashRecord, relay: bool, now: Instant) -> MergeOutcome {
        let Some(request) = Fingerprint::from_bytes(&report.fingerprint) else {
            return MergeOutcome::default();
        };
        if Duration::from_millis(report.age_ms) >= retention(report.ended.len()) {
            return MergeOutcome::default();
        }
        self.evict_for(&request);
        let node_id = self.node_id;
        let was_refused = self.is_refused(&request);
        let observed = now.checked_sub(Duration::from_millis(report.age_ms));
        let record = self.records.entry(request);
        let record = record.or_insert_with(|| Record::new(observed.unwrap_or(now)));
        let (is_new, seen_here) = (record.merge(report, node_id, now), record.seen_here);
        for end in &record.ended {
            self.server_failures.note(&end.server, end.at);
        }
        self.update_served_before(&request);
        let merged = MergeOutcome {
            is_new,
            now_refused: !was_refused && self.is_refused(&request),
        };
        // Only a node that observed an end itself writes the request to the store.
        if merged.now_refused && seen_here {
            self.unstored.insert(request);
        }
        if merged.is_new && relay {
            self.unsent.insert(request, SENDS_PER_CHANGE);
        }
        merged
    }

    /// Takes the next change to write to the store: the record of a refused request, or `None` if it may run again.
    pub fn next_unstored(&mut self, now: Instant) -> Option<(Fingerprint, Option<CrashRecord>)> {
        let request = self.unstored.pop_first()?;
        let refused = self.is_refused(&request);
        Some((request, refused.then(|| self.message(&request, now))))
    }

    /// Queues a request again after a failed write to the store.
    pub fn requeue_unstored(&mut self, request: Fingerprint) {
        self.unstored.insert(request);
    }

    /// Removes the records whose retention is over and those without information.
    pub fn sweep(&mut self, now: Instant) {
        self.records.retain(|_, record| {
            let age = now.saturating_duration_since(record.changed);
            age < retention(record.ended.len()) && !record.is_blank(now)
        });
    }

    /// Refused requests, and the number of other records.
    pub fn refused(&self, now: Instant) -> (Vec<RefusedRequest>, usize) {
        let all = self.records.iter();
        let refused = all.filter(|(request, _)| self.is_refused(request));
        let refused: Vec<RefusedRequest> = refused
            .map(|(request, record)| RefusedRequest {
                fingerprint: *request,
                ended: record.servers(),
                age: now.saturating_duration_since(record.changed),
            })
            .collect();
        let others = self.records.len() - refused.len();
        (refused, others)
    }

    /// Evicts a record if the ledger is full: requests that are not refused first, then the oldest.
    fn evict_for(&mut self, request: &Fingerprint) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(request) {
            return;
        }
        let evicted = self.records.iter().min_by_key(|(_, record)| {
            let ended = record.ended.len();
            (ended >= MAX_ENDED_SERVERS, ended, record.changed)
        });
        if let Some(evicted) = evicted.map(|(request, _)| *request) {
            self.records.remove(&evicted);
            self.unsent.remove(&evicted);
            self.unstored.remove(&evicted);
        }
    }
}

/// Retention of a record with so many ended servers.
fn retention(ended: usize) -> Duration {
    match ended >= MAX_ENDED_SERVERS {
        true => REFUSED_RETENTION,
        false => SUSPECT_RETENTION,
    }
}
