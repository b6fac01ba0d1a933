//! Crash record of one feature, with merging of the records of other nodes. Pure; time is an argument.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::feature::Feature;
use crate::ledger::{RESTART_SUFFIX, is_later_start};
use crate::messages::{CrashRecord, NodeRuns};
use crate::server_failures::ServerFailures;

/// Number of ended servers from which requests with a feature are refused, as the operators' rules demand.
pub const MAX_ENDED_SERVERS: usize = 3;
/// Time for which a reported run of another node counts. A node repeats its report every 450 ms, of which two in a
/// row may be lost; a node that fails cannot report the end of its runs.
const REPORTED_RUN_TTL: Duration = Duration::from_millis(1_500);
/// Ends within this time of the first count as one incident, such as the loss of a zone, a rack or a switch.
const INCIDENT_WINDOW: Duration = Duration::from_secs(1);
/// Limit on the ended servers recorded for one feature; more than [`MAX_ENDED_SERVERS`], since some ends do not count.
pub(crate) const MAX_ENDS_HELD: usize = 16;
/// Limit on the explained and correlated ends that do not count, so that several causes that crash servers at the same time
/// cannot excuse each other indefinitely.
const MAX_EXCUSED: usize = 3;
/// Output time from which a run counts as long. A request that crashes servers usually does so as soon as it
/// starts, so a long run is evidence against that: on record they ended their servers within 0.12 s.
pub const LONG_RUN: Duration = Duration::from_secs(1);
/// Time for which an interrupted run is in doubt. It covers the second probe of the server and the report of its
/// result.
const DOUBT_DURATION: Duration = Duration::from_millis(300);
/// Longest server identifier, in bytes, that is accepted from a message.
const MAX_SERVER_ID_BYTES: usize = 128;
/// Limit on the nodes whose runs with one feature are kept or sent; runs beyond [`MAX_ENDED_SERVERS`] make no difference.
const MAX_REPORTING_NODES: usize = 8;

/// Servers on which another node runs requests with the feature.
pub(crate) struct ReportedRuns {
    sequence: u64,
    servers: Vec<String>,
    /// The node has reserved the next retry.
    pub(crate) reserves_retry: bool,
    pub(crate) until: Instant,
}

impl ReportedRuns {
    /// Whether the node neither runs requests with the feature nor is about to.
    fn is_idle(&self) -> bool {
        self.servers.is_empty() && !self.reserves_retry
    }
}

/// A server that ended while it ran a request with the feature.
pub(crate) struct ServerEnd {
    pub(crate) server: String,
    pub(crate) at: Instant,
    /// Whether the run had produced output, so the request did not crash the server as it started.
    pub(crate) brought_output: bool,
    /// When the first run began that this node saw end with the server, if it saw any.
    pub(crate) began: Option<Instant>,
}

pub(crate) struct Record {
    /// Number of times that the record was cleared; a record with a higher epoch replaces one with a lower.
    pub(crate) epoch: u32,
    /// Servers that ended in this epoch, in the order in which this node learned of them.
    pub(crate) ended: Vec<ServerEnd>,
    /// When the last end was observed or the record was cleared.
    pub(crate) changed: Instant,
    /// Whether this node observed one of the ends itself.
    pub(crate) seen_here: bool,
    /// Whether some node completed a request with the feature within the minute before the first end, or since.
    pub(crate) served_before: bool,
    /// Whether a run had produced output for [`LONG_RUN`] before its server ended.
    pub(crate) ran_long: bool,
    /// Whether the store has a row with ends of the feature.
    pub(crate) is_stored: bool,
    /// Time until which interrupted runs may turn out to be ends.
    doubted_until: Option<Instant>,
    pub(crate) reported_runs: HashMap<u64, ReportedRuns>,
    /// When this node reserved the next retry.
    pub(crate) reserved: Option<Instant>,
}

impl Record {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            epoch: 0,
            ended: Vec::new(),
            changed: now,
            seen_here: false,
            served_before: false,
            ran_long: false,
            is_stored: false,
            doubted_until: None,
            reported_runs: HashMap::new(),
            reserved: None,
        }
    }

    /// Records an interrupted run; it is not yet known whether its server ended.
    pub(crate) fn mark_in_doubt(&mut self, now: Instant) {
        self.doubted_until = Some(now + DOUBT_DURATION);
    }

    /// Whether an interrupted run is still in doubt.
    pub(crate) fn is_in_doubt(&self, now: Instant) -> bool {
        self.doubted_until.is_some_and(|until| now < until)
    }

    /// Whether the runs of requests with the feature are limited, because each may end its server. Requests with a shared
    /// feature of which some were just served are not held back.
    pub(crate) fn limits_runs(&self, feature: &Feature, counted_ends: usize, now: Instant) -> bool {
        let is_suspect = counted_ends > 0 || self.is_in_doubt(now);
        is_suspect && !(feature.is_shared() && self.served_before)
    }

    /// Whether the record holds no information.
    pub(crate) fn is_blank(&self, now: Instant) -> bool {
        self.ended.is_empty() && self.epoch == 0 && !self.is_in_doubt(now)
    }

    /// Number of ends that count towards [`MAX_ENDED_SERVERS`].
    pub(crate) fn counted_ends(
        &self,
        feature: &Feature,
        server_failures: &ServerFailures,
    ) -> usize {
        self.counted_times(feature, server_failures).len()
    }

    /// Times of the ends that count, in order. Explained and correlated ends after output do not count, up to
    /// [`MAX_EXCUSED`]. If a request with the feature completed shortly before, it does not crash every server, so ends
    /// within one incident count once.
    pub(crate) fn counted_times(
        &self,
        feature: &Feature,
        server_failures: &ServerFailures,
    ) -> Vec<Instant> {
        let own: Vec<&str> = self.ended.iter().map(|end| end.server.as_str()).collect();
        let mut excused = 0;
        let counts = |end: &&ServerEnd| {
            let excuses = excused < MAX_EXCUSED
                && (is_explained(feature, end, server_failures)
                    || end.brought_output && server_failures.is_correlated(&end.server, &own));
            excused += usize::from(excuses);
            !excuses
        };
        let mut times: Vec<Instant> = self.ended.iter().filter(counts).map(|end| end.at).collect();
        times.sort_unstable();
        if self.served_before {
            times = incident_starts(times);
        }
        times
    }

    /// Whether requests with the feature are refused, and crash servers before they bring output.
    pub(crate) fn crashes_before_output(
        &self,
        feature: &Feature,
        server_failures: &ServerFailures,
    ) -> bool {
        let has_output = self.ended.iter().any(|end| end.brought_output);
        self.ended.len() >= MAX_ENDED_SERVERS
            && !has_output
            && self.counted_ends(feature, server_failures) >= MAX_ENDED_SERVERS
    }

    /// Whether too few ends are left for a refusal without those that other features explain.
    pub(crate) fn is_explained(&self, feature: &Feature, server_failures: &ServerFailures) -> bool {
        let ends = self.ended.iter();
        let unexplained = ends.filter(|end| !is_explained(feature, end, server_failures));
        unexplained.count() < MAX_ENDED_SERVERS
    }

    /// Whether a request with the feature has completed or run for long, so that it does not crash every server.
    pub(crate) fn has_run_well(&self) -> bool {
        self.served_before || self.ran_long
    }

    /// Whether one more end may refuse the feature, if it is not refused yet.
    pub(crate) fn is_nearly_refused(&self) -> bool {
        self.ended.len() + 1 >= MAX_ENDED_SERVERS
    }

    pub(crate) fn first_end(&self) -> Option<Instant> {
        self.ended.iter().map(|end| end.at).min()
    }

    /// Servers that ended while they ran the request.
    pub(crate) fn servers(&self) -> Vec<String> {
        self.ended.iter().map(|end| end.server.clone()).collect()
    }

    fn has_ended(&self, server: &str) -> bool {
        self.ended.iter().any(|end| end.server == server)
    }

    /// Records the end of a server; returns whether it was new.
    pub(crate) fn note_ended(&mut self, server: &str, at: Instant, brought_output: bool) -> bool {
        if self.has_ended(server) {
            return false;
        }
        if !self.make_room(at) {
            self.changed = self.changed.max(at);
            return false;
        }
        self.ended.push(ServerEnd {
            server: server.to_owned(),
            at,
            brought_output,
            began: None,
        });
        self.changed = self.changed.max(at);
        true
    }

    /// Records when a run began that this node saw end with a server; the first of several counts.
    pub(crate) fn note_began(&mut self, server: &str, began: Instant) {
        let end = self.ended.iter_mut().find(|end| end.server == server);
        if let Some(end) = end {
            end.began = Some(end.began.map_or(began, |first| first.min(began)));
        }
    }

    /// Records the end of a server that another node saw; returns whether it was new. The time is late rather than
    /// early, since the transit is not part of it: if a run of this node began after it, this node saw the end of a
    /// later start.
    fn note_reported_end(&mut self, server: &str, at: Instant, brought_output: bool) -> bool {
        let own = self.ended.iter().position(|end| {
            let is_later = end.began.is_some_and(|began| is_later_start(began, at));
            end.server == server && is_later
        });
        let Some(mut own) = own.map(|own| self.ended.remove(own)) else {
            return self.note_ended(server, at, brought_output);
        };
        self.note_ended(server, at, brought_output);
        while let Some(earlier) = self.ended.iter().find(|end| end.server == own.server) {
            let is_later = own
                .began
                .is_some_and(|began| is_later_start(began, earlier.at));
            if !is_later {
                return true;
            }
            own.server.push(RESTART_SUFFIX);
        }
        if self.make_room(own.at) {
            self.ended.push(own);
        }
        true
    }

    /// Makes room for the end of a server; returns whether there is any. When the record is full, the first end of a new
    /// incident replaces a later end of an earlier one.
    fn make_room(&mut self, at: Instant) -> bool {
        if self.ended.len() < MAX_ENDS_HELD {
            return true;
        }
        let mut times: Vec<Instant> = self.ended.iter().map(|end| end.at).collect();
        times.sort_unstable();
        let starts = incident_starts(times);
        let is_new = starts.iter().all(|start| at > *start + INCIDENT_WINDOW);
        let later_end = self.ended.iter().position(|end| !starts.contains(&end.at));
        let Some(later_end) = later_end.filter(|_| is_new) else {
            return false;
        };
        self.ended.remove(later_end);
        true
    }

    /// Clears the record, since the feature does not crash every server.
    pub(crate) fn clear(&mut self, now: Instant) {
        self.epoch += 1;
        self.ended.clear();
        self.served_before = false;
        self.ran_long = false;
        // The end of runs of an unsuspected request is not reported.
        self.reported_runs.clear();
        self.reserved = None;
        self.changed = now;
    }

    /// Servers on which other nodes run the request.
    pub(crate) fn reported_servers(&self, now: Instant) -> impl Iterator<Item = &str> {
        let alive = self
            .reported_runs
            .values()
            .filter(move |report| report.until > now);
        // An ended server runs nothing.
        let running = alive.flat_map(|report| &report.servers);
        running
            .filter(|server| !self.has_ended(server))
            .map(String::as_str)
    }

    /// The record as a message, without the runs of this node.
    pub(crate) fn message(&self, feature: &Feature, now: Instant) -> CrashRecord {
        let alive = self.reported_runs.iter();
        let alive = alive.filter(|(_, report)| report.until > now);
        let mut alive: Vec<(&u64, &ReportedRuns)> = alive.collect();
        // A message has room for some of them.
        alive.sort_unstable_by_key(|(node, report)| (report.is_idle(), **node));
        let runs = alive.into_iter().map(|(node, report)| NodeRuns {
            node: *node,
            sequence: report.sequence,
            servers: report.servers.clone(),
            reserves_retry: report.reserves_retry,
        });
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        CrashRecord {
            epoch: self.epoch,
            ended: self.servers(),
            ages_ms: self.ended.iter().map(|end| age_ms(end.at)).collect(),
            brought_output: self.ended.iter().map(|end| end.brought_output).collect(),
            age_ms: age_ms(self.changed),
            served_before: self.served_before,
            ran_long: self.ran_long,
            in_doubt: self.is_in_doubt(now),
            runs: runs.take(MAX_REPORTING_NODES - 1).collect(),
            ..CrashRecord::new(feature)
        }
    }

    /// Merges a record of another node; returns whether it was new. The set of ended servers depends neither on the
    /// order of merges nor on repeats, up to [`MAX_ENDS_HELD`].
    pub(crate) fn merge(&mut self, report: CrashRecord, own: u64, now: Instant) -> bool {
        if report.epoch < self.epoch {
            return false;
        }
        let observed = |age_ms: u64| {
            let at = now.checked_sub(Duration::from_millis(age_ms));
            at.unwrap_or(now)
        };
        let mut is_new = false;
        if report.epoch > self.epoch {
            self.epoch = report.epoch;
            self.ended.clear();
            self.changed = observed(report.age_ms);
            self.served_before = false;
            self.ran_long = false;
            self.reported_runs.clear();
            is_new = true;
        }
        let runs_are_new = self.merge_runs(report.runs, own, now);
        if report.in_doubt && runs_are_new {
            self.mark_in_doubt(now);
        }
        is_new |= report.served_before && !self.served_before;
        self.served_before |= report.served_before;
        is_new |= report.ran_long && !self.ran_long;
        self.ran_long |= report.ran_long;
        // Known ends keep their time, because relayed ages do not include the transit time.
        let ages_ms = report
            .ages_ms
            .into_iter()
            .map(Some)
            .chain(std::iter::repeat(None));
        let output = report
            .brought_output
            .into_iter()
            .chain(std::iter::repeat(false));
        for ((server, age_ms), brought_output) in report.ended.iter().zip(ages_ms).zip(output) {
            if server.len() <= MAX_SERVER_ID_BYTES {
                let at = observed(age_ms.unwrap_or(report.age_ms));
                is_new |= self.note_reported_end(server, at, brought_output);
            }
        }
        is_new || runs_are_new
    }

    /// Makes room for the runs of one more node; returns whether there is any. Those of nodes that run nothing give way.
    fn make_room_for_runs(&mut self, report: &NodeRuns) -> bool {
        if self.reported_runs.len() < MAX_REPORTING_NODES {
            return true;
        }
        if report.servers.is_empty() && !report.reserves_retry {
            return false;
        }
        let mut held = self.reported_runs.iter();
        let idle = held.find(|(_, held)| held.is_idle());
        let idle = idle.map(|(node, _)| *node);
        idle.is_some_and(|node| self.reported_runs.remove(&node).is_some())
    }

    fn merge_runs(&mut self, runs: Vec<NodeRuns>, own: u64, now: Instant) -> bool {
        self.reported_runs.retain(|_, report| report.until > now);
        let mut is_new = false;
        for mut report in runs.into_iter().filter(|report| report.node != own) {
            let known = self.reported_runs.get(&report.node);
            let newer = known.is_none_or(|known| known.sequence < report.sequence);
            if !newer || (known.is_none() && !self.make_room_for_runs(&report)) {
                continue;
            }
            report.servers.truncate(MAX_ENDED_SERVERS);
            report
                .servers
                .retain(|server| server.len() <= MAX_SERVER_ID_BYTES);
            let held_runs = ReportedRuns {
                sequence: report.sequence,
                servers: report.servers,
                reserves_retry: report.reserves_retry,
                until: now + REPORTED_RUN_TTL,
            };
            self.reported_runs.insert(report.node, held_runs);
            is_new = true;
        }
        is_new
    }
}

/// Whether another feature crashed the server after this one had brought output. A shared feature is not excused so, since
/// its requests have others beside it each time.
fn is_explained(feature: &Feature, end: &ServerEnd, server_failures: &ServerFailures) -> bool {
    !feature.is_shared() && end.brought_output && server_failures.is_crashed(&end.server)
}

/// The first of each group of ends within [`INCIDENT_WINDOW`], from ends in order.
fn incident_starts(mut times: Vec<Instant>) -> Vec<Instant> {
    times.dedup_by(|later, start| later.saturating_duration_since(*start) <= INCIDENT_WINDOW);
    times
}
