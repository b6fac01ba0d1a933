//! What is known of one request under which a server ended. Pure.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::messages::{CrashRecord, RunsOf};

/// Servers that may end under one request. The bound of the users' rules; a request that reaches it runs no more.
pub const MOST_ENDED: usize = 3;
/// How long a run that another node told of counts, unless that node tells otherwise: the longest deadline of online
/// requests is half of it. A node that ends in the meantime says nothing more.
const TOLD_RUN: Duration = Duration::from_secs(10);
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

/// One request.
pub(crate) struct Record {
    /// How often its name was cleared.
    pub(crate) epoch: u32,
    /// Servers that ended under it since, in the order in which this node learned of them.
    pub(crate) ended: Vec<String>,
    /// When the last of them was seen to end, or the name was cleared.
    pub(crate) changed: Instant,
    /// This node saw one of them end.
    pub(crate) seen_here: bool,
    others: HashMap<u64, Told>,
}

impl Record {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            epoch: 0,
            ended: Vec::new(),
            changed: now,
            seen_here: false,
            others: HashMap::new(),
        }
    }

    /// Whether it may run no more.
    pub(crate) fn is_refused(&self) -> bool {
        self.ended.len() >= MOST_ENDED
    }

    /// Whether its next run is the last one that it may end a server with.
    pub(crate) fn is_last_run(&self) -> bool {
        self.ended.len() + 1 == MOST_ENDED
    }

    /// Notes that a server ended under it; whether that was not known.
    pub(crate) fn note_ended(&mut self, server: &str, now: Instant) -> bool {
        if self.ended.iter().any(|known| known == server) {
            return false;
        }
        self.ended.push(server.to_owned());
        self.changed = now;
        true
    }

    /// Forgets what was seen: it does not crash every server that runs it.
    pub(crate) fn clear(&mut self, now: Instant) {
        self.epoch += 1;
        self.ended.clear();
        self.changed = now;
    }

    /// Servers at which other nodes run it.
    pub(crate) fn told_servers(&self, now: Instant) -> impl Iterator<Item = &str> {
        let alive = self.others.values().filter(move |told| told.until > now);
        // A server that has ended runs nothing.
        let running = alive.flat_map(|told| &told.servers);
        running
            .filter(|server| !self.ended.contains(server))
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
        CrashRecord {
            fingerprint: fingerprint.to_vec(),
            epoch: self.epoch,
            ended: self.ended.clone(),
            age_ms: now.saturating_duration_since(self.changed).as_millis() as u64,
            runs: runs.take(MOST_NODES - 1).collect(),
        }
    }

    /// Takes what another node tells; whether any of it is new. Records of two nodes joined in any order, and more
    /// than once, come to the same.
    pub(crate) fn merge(&mut self, told: CrashRecord, own: u64, now: Instant) -> bool {
        let runs_are_new = self.merge_runs(told.runs, own, now);
        if told.epoch < self.epoch {
            return runs_are_new;
        }
        // Only what is new moves the time: an age that is passed round loses the time on its way.
        let seen = now.checked_sub(Duration::from_millis(told.age_ms));
        let seen = seen.unwrap_or(now);
        let mut is_new = false;
        if told.epoch > self.epoch {
            self.epoch = told.epoch;
            self.ended.clear();
            self.changed = seen;
            is_new = true;
        }
        let room = MOST_ENDED.saturating_sub(self.ended.len());
        let known: HashSet<String> = self.ended.iter().cloned().collect();
        let fresh = told.ended.into_iter();
        let fresh = fresh.filter(|server| !known.contains(server) && server.len() <= LONGEST_ID);
        for server in fresh.take(room) {
            is_new |= self.note_ended(&server, seen);
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
