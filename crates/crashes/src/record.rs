//! Crash record of one request, with merging of the records of other nodes. Pure; time is an argument.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::messages::{CrashRecord, NodeRuns};
use crate::server_failures::ServerFailures;

/// Number of ended servers from which a request is refused, as the operators' rules demand.
pub const MAX_ENDED_SERVERS: usize = 3;
/// Time for which a reported run of another node counts. A node repeats its report every 450 ms, of which two in a
/// row may be lost; a node that fails cannot report the end of its runs.
const REPORTED_RUN_TTL: Duration = Duration::from_millis(1_500);
/// Ends within this time of each other count as one incident, such as the loss of a zone, a rack or a switch.
const INCIDENT_WINDOW: Duration = Duration::from_secs(1);
/// Limit on the ended servers recorded for one request; more than [`MAX_ENDED_SERVERS`], since some ends do not count.
const MAX_ENDS_HELD: usize = 16;
/// Limit on the correlated ends that do not count, so that several requests that crash servers at the same time
/// cannot excuse each other indefinitely.
const MAX_EXCUSED: usize = 3;
/// Retries granted to a refused request that has completed or run for long before.
const MAX_TRIALS: usize = 3;
/// Time from the last end to such a retry, by which other causes of ends should be over.
const TRIAL_DELAY: Duration = Duration::from_secs(3);
/// Output time from which a run counts as long. A request that crashes servers usually does so as soon as it
/// starts, so a long run is evidence against that: on record they ended their servers within 0.12 s.
pub const LONG_RUN: Duration = Duration::from_secs(1);
/// Time for which an interrupted run is in doubt. It covers the second probe of the server and the report of its
/// result.
const DOUBT_DURATION: Duration = Duration::from_millis(300);
/// Longest server identifier, in bytes, that is accepted from a message.
const MAX_SERVER_ID_BYTES: usize = 128;
/// Limit on the nodes whose runs of one request are kept or sent; runs beyond [`MAX_ENDED_SERVERS`] make no difference.
const MAX_REPORTING_NODES: usize = 8;

/// Servers on which another node runs the request.
struct ReportedRuns {
    sequence: u64,
    servers: Vec<String>,
    until: Instant,
}

/// A server that ended while it ran the request.
pub(crate) struct ServerEnd {
    pub(crate) server: String,
    pub(crate) at: Instant,
    /// Whether the run had produced output, so the request did not crash the server as it started.
    pub(crate) brought_output: bool,
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
    /// Whether some node completed the request within the minute before the first end.
    pub(crate) served_before: bool,
    /// Whether a run had produced output for [`LONG_RUN`] before its server ended.
    pub(crate) ran_long: bool,
    /// Time until which interrupted runs may turn out to be ends.
    doubted_until: Option<Instant>,
    reported_runs: HashMap<u64, ReportedRuns>,
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
            doubted_until: None,
            reported_runs: HashMap::new(),
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

    /// Whether the record holds no information.
    pub(crate) fn is_blank(&self, now: Instant) -> bool {
        self.ended.is_empty() && self.epoch == 0 && !self.is_in_doubt(now)
    }

    /// Number of ends that count towards [`MAX_ENDED_SERVERS`]. Correlated ends after output do not count, up to
    /// [`MAX_EXCUSED`]. If the request completed shortly before, it does not crash every server, so ends within one
    /// incident count once.
    pub(crate) fn counted_ends(&self, server_failures: &ServerFailures) -> usize {
        let own: Vec<&str> = self.ended.iter().map(|end| end.server.as_str()).collect();
        let mut excused = 0;
        let counts = |end: &&ServerEnd| {
            let excuses = excused < MAX_EXCUSED
                && end.brought_output
                && server_failures.is_correlated(&end.server, &own);
            excused += usize::from(excuses);
            !excuses
        };
        let mut times: Vec<Instant> = self.ended.iter().filter(counts).map(|end| end.at).collect();
        if !self.served_before {
            return times.len();
        }
        times.sort_unstable();
        let gaps = times.windows(2);
        let apart =
            gaps.filter(|pair| pair[1].saturating_duration_since(pair[0]) > INCIDENT_WINDOW);
        apart.count() + usize::from(!times.is_empty())
    }

    /// Whether a refused request may be retried once, on one server. This is limited to requests that have completed
    /// or run for long before, some seconds after the last end. Otherwise a request that many callers send, or an item
    /// whose servers happened to end one after the other, would be refused for something that it did not cause.
    pub(crate) fn may_retry(&self, counted_ends: usize, now: Instant) -> bool {
        (self.served_before || self.ran_long)
            && counted_ends < MAX_ENDED_SERVERS + MAX_TRIALS
            && now.saturating_duration_since(self.changed) >= TRIAL_DELAY
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
        if self.has_ended(server) || self.ended.len() >= MAX_ENDS_HELD {
            return false;
        }
        self.ended.push(ServerEnd {
            server: server.to_owned(),
            at,
            brought_output,
        });
        self.changed = self.changed.max(at);
        true
    }

    /// Clears the record, since the request does not crash every server that runs it.
    pub(crate) fn clear(&mut self, now: Instant) {
        self.epoch += 1;
        self.ended.clear();
        self.served_before = false;
        self.ran_long = false;
        // The end of runs of an unsuspected request is not reported.
        self.reported_runs.clear();
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
    pub(crate) fn message(&self, fingerprint: &[u8], now: Instant) -> CrashRecord {
        let alive = self
            .reported_runs
            .iter()
            .filter(|(_, report)| report.until > now);
        let runs = alive.map(|(node, report)| NodeRuns {
            node: *node,
            sequence: report.sequence,
            servers: report.servers.clone(),
        });
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        CrashRecord {
            fingerprint: fingerprint.to_vec(),
            epoch: self.epoch,
            ended: self.servers(),
            ages_ms: self.ended.iter().map(|end| age_ms(end.at)).collect(),
            brought_output: self.ended.iter().map(|end| end.brought_output).collect(),
            age_ms: age_ms(self.changed),
            served_before: self.served_before,
            ran_long: self.ran_long,
            in_doubt: self.is_in_doubt(now),
            runs: runs.take(MAX_REPORTING_NODES - 1).collect(),
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
                is_new |= self.note_ended(server, at, brought_output);
            }
        }
        is_new || runs_are_new
    }

    fn merge_runs(&mut self, runs: Vec<NodeRuns>, own: u64, now: Instant) -> bool {
        self.reported_runs.retain(|_, report| report.until > now);
        let mut is_new = false;
        for mut report in runs.into_iter().filter(|report| report.node != own) {
            let known = self.reported_runs.get(&report.node);
            let newer = known.is_none_or(|known| known.sequence < report.sequence);
            if !newer || (known.is_none() && self.reported_runs.len() >= MAX_REPORTING_NODES) {
                continue;
            }
            report.servers.truncate(MAX_ENDED_SERVERS);
            report
                .servers
                .retain(|server| server.len() <= MAX_SERVER_ID_BYTES);
            let held_runs = ReportedRuns {
                sequence: report.sequence,
                servers: report.servers,
                until: now + REPORTED_RUN_TTL,
            };
            self.reported_runs.insert(report.node, held_runs);
            is_new = true;
        }
        is_new
    }
}
