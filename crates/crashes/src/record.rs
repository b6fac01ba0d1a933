//! What is known of one request under which a server ended. Pure.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::messages::{CrashRecord, RunsOf};
use crate::server_failures::ServerFailures;

/// Servers that may end under one request. The bound of the users' rules; a request that reaches it runs no more.
pub const MOST_ENDED: usize = 3;
/// How long a run that another node told of counts. A node tells again of its runs each 450 ms, and two messages in a row
/// may be lost; one that ends says nothing more.
const TOLD_RUN: Duration = Duration::from_millis(1_500);
/// Ends at most so far apart are one moment: a zone, a rack or a switch that is lost takes its servers within a second.
const MOMENT: Duration = Duration::from_secs(1);
/// Servers that are held of one request. A request that was served a moment before counts by moments, not servers.
const MOST_HELD: usize = 16;
/// Ends that are not counted since the servers were lost together with others: several requests that crash servers in
/// the same moments must not excuse each other for ever.
const MOST_EXCUSED: usize = 3;
/// Runs that a request has which was served before, after it was refused.
const MOST_TRIALS: usize = 3;
/// Time from the last end to such a run: other causes for which servers end are mostly over by then.
const TRIAL_AFTER: Duration = Duration::from_secs(3);
/// Time for which a run must have brought output before its server ended for the request not to be one that crashes servers as
/// it begins: such a request ended them within 0.12 s of the begin of its run, in the three runs on record.
pub const LONG_RUN: Duration = Duration::from_secs(1);
/// How long a run that broke off is in doubt: until the second look at its server's port, and the news of it.
const DOUBT: Duration = Duration::from_millis(300);
/// Longest identifier of a server that is taken from a message, bytes.
const LONGEST_ID: usize = 128;
/// Nodes whose runs of one request are held or told: no more runs than [`MOST_ENDED`] matter.
const MOST_NODES: usize = 8;

/// Runs at one other node.
struct Told {
    sequence: u64,
    servers: Vec<String>,
    until: Instant,
}

/// A server that ended under a request.
pub(crate) struct End {
    pub(crate) server: String,
    pub(crate) at: Instant,
    /// The run had brought output: the request does not crash a server that begins to run it.
    pub(crate) brought_output: bool,
}

/// One request.
pub(crate) struct Record {
    /// How often its name was cleared.
    pub(crate) epoch: u32,
    /// Servers that ended under it since, in the order in which this node learned of them.
    pub(crate) ended: Vec<End>,
    /// When the last of them was seen to end, or the name was cleared.
    pub(crate) changed: Instant,
    /// This node saw one of them end.
    pub(crate) seen_here: bool,
    /// Some node served it within the minute before the first of them ended.
    pub(crate) served_before: bool,
    /// A run of it had brought output for [`LONG_RUN`] before its server ended.
    pub(crate) ran_long: bool,
    /// Until when runs that broke off may still show that their servers end.
    doubted_until: Option<Instant>,
    others: HashMap<u64, Told>,
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
            others: HashMap::new(),
        }
    }

    /// A run broke off, and whether its server ends is not known yet.
    pub(crate) fn doubt(&mut self, now: Instant) {
        self.doubted_until = Some(now + DOUBT);
    }

    /// Whether such a run is still in doubt.
    pub(crate) fn is_in_doubt(&self, now: Instant) -> bool {
        self.doubted_until.is_some_and(|until| now < until)
    }

    /// Whether nothing is known against the request, nor has been cleared.
    pub(crate) fn is_blank(&self, now: Instant) -> bool {
        self.ended.is_empty() && self.epoch == 0 && !self.is_in_doubt(now)
    }

    /// Ends that count towards [`MOST_ENDED`]: each server but for some that were lost together with others after they had
    /// brought output, or each moment at which servers ended. A request that was served a moment before does not crash every server: several
    /// that end at once under copies of it were lost together too.
    pub(crate) fn counted(&self, server_failures: &ServerFailures) -> usize {
        let own: Vec<&str> = self.ended.iter().map(|end| end.server.as_str()).collect();
        let mut excused = 0;
        let counts = |end: &&End| {
            let excuses = excused < MOST_EXCUSED
                && end.brought_output
                && server_failures.is_one_of_many(&end.server, &own);
            excused += usize::from(excuses);
            !excuses
        };
        let mut times: Vec<Instant> = self.ended.iter().filter(counts).map(|end| end.at).collect();
        if !self.served_before {
            return times.len();
        }
        times.sort_unstable();
        let gaps = times.windows(2);
        let apart = gaps.filter(|pair| pair[1].saturating_duration_since(pair[0]) > MOMENT);
        apart.count() + usize::from(!times.is_empty())
    }

    /// Whether a request that is refused may have one more run, at one place: only one that was served before, or that ran
    /// for long, may, some seconds after the last end, and a few times. What many callers send would otherwise be lost to all
    /// of them, and an item of a job that was at three servers when these ended one after the other would be left lying: a
    /// request that crashes servers does so as it begins.
    pub(crate) fn may_try_again(&self, counted: usize, now: Instant) -> bool {
        (self.served_before || self.ran_long)
            && counted < MOST_ENDED + MOST_TRIALS
            && now.saturating_duration_since(self.changed) >= TRIAL_AFTER
    }

    /// When the first server was seen to end.
    pub(crate) fn first_end(&self) -> Option<Instant> {
        self.ended.iter().map(|end| end.at).min()
    }

    /// Servers that ended under it.
    pub(crate) fn servers(&self) -> Vec<String> {
        self.ended.iter().map(|end| end.server.clone()).collect()
    }

    fn has_ended(&self, server: &str) -> bool {
        self.ended.iter().any(|end| end.server == server)
    }

    /// Notes that a server ended under it; whether that was not known.
    pub(crate) fn note_ended(&mut self, server: &str, at: Instant, brought_output: bool) -> bool {
        if self.has_ended(server) || self.ended.len() >= MOST_HELD {
            return false;
        }
        self.ended.push(End {
            server: server.to_owned(),
            at,
            brought_output,
        });
        self.changed = self.changed.max(at);
        true
    }

    /// Forgets what was seen: it does not crash every server that runs it.
    pub(crate) fn clear(&mut self, now: Instant) {
        self.epoch += 1;
        self.ended.clear();
        self.served_before = false;
        self.ran_long = false;
        // Nobody tells of the end of runs that are no danger.
        self.others.clear();
        self.changed = now;
    }

    /// Servers at which other nodes run it.
    pub(crate) fn told_servers(&self, now: Instant) -> impl Iterator<Item = &str> {
        let alive = self.others.values().filter(move |told| told.until > now);
        // A server that has ended runs nothing.
        let running = alive.flat_map(|told| &told.servers);
        running
            .filter(|server| !self.has_ended(server))
            .map(String::as_str)
    }

    /// As it is told, without the runs of the teller itself.
    pub(crate) fn message(&self, fingerprint: &[u8], now: Instant) -> CrashRecord {
        let alive = self.others.iter().filter(|(_, told)| told.until > now);
        let runs = alive.map(|(node, told)| RunsOf {
            node: *node,
            sequence: told.sequence,
            servers: told.servers.clone(),
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
            runs: runs.take(MOST_NODES - 1).collect(),
        }
    }

    /// Takes what another node tells; whether any of it is new. Records of two nodes joined in any order, and more
    /// than once, come to the same.
    pub(crate) fn merge(&mut self, told: CrashRecord, own: u64, now: Instant) -> bool {
        if told.epoch < self.epoch {
            return false;
        }
        let seen = |age_ms: u64| {
            let at = now.checked_sub(Duration::from_millis(age_ms));
            at.unwrap_or(now)
        };
        let mut is_new = false;
        if told.epoch > self.epoch {
            self.epoch = told.epoch;
            self.ended.clear();
            self.changed = seen(told.age_ms);
            self.served_before = false;
            self.ran_long = false;
            self.others.clear();
            is_new = true;
        }
        let runs_are_new = self.merge_runs(told.runs, own, now);
        if told.in_doubt && runs_are_new {
            self.doubt(now);
        }
        is_new |= told.served_before && !self.served_before;
        self.served_before |= told.served_before;
        is_new |= told.ran_long && !self.ran_long;
        self.ran_long |= told.ran_long;
        // Only what is new moves a time: an age that is passed round loses the time on its way.
        let ages_ms = told
            .ages_ms
            .into_iter()
            .map(Some)
            .chain(std::iter::repeat(None));
        let output = told
            .brought_output
            .into_iter()
            .chain(std::iter::repeat(false));
        for ((server, age_ms), brought_output) in told.ended.iter().zip(ages_ms).zip(output) {
            if server.len() <= LONGEST_ID {
                let at = seen(age_ms.unwrap_or(told.age_ms));
                is_new |= self.note_ended(server, at, brought_output);
            }
        }
        is_new || runs_are_new
    }

    fn merge_runs(&mut self, runs: Vec<RunsOf>, own: u64, now: Instant) -> bool {
        self.others.retain(|_, told| told.until > now);
        let mut is_new = false;
        for mut told in runs.into_iter().filter(|told| told.node != own) {
            let known = self.others.get(&told.node);
            let newer = known.is_none_or(|known| known.sequence < told.sequence);
            if !newer || (known.is_none() && self.others.len() >= MOST_NODES) {
                continue;
            }
            told.servers.truncate(MOST_ENDED);
            told.servers.retain(|server| server.len() <= LONGEST_ID);
            let held = Told {
                sequence: told.sequence,
                servers: told.servers,
                until: now + TOLD_RUN,
            };
            self.others.insert(told.node, held);
            is_new = true;
        }
        is_new
    }
}
