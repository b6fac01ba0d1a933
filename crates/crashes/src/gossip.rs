//! What one node tells the others of its ledger, and how often. Pure: time is an argument.

use std::ops::Bound;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::fingerprint::Fingerprint;
use crate::ledger::Ledger;
use crate::messages::{CrashNews, CrashRecord, RunsOf};
use crate::record::MOST_ENDED;

/// Times that a change is told: two messages in a row may be lost.
pub(crate) const TELLINGS: u8 = 3;
/// Changes of requests with one ended server that are not told within this time are not told any more: after a loss
/// of many servers at once there are too many, and callers that come again have done so.
const TELL_WITHIN: Duration = Duration::from_secs(10);
/// Records told again in each round of repeats, for nodes that began or were cut off: 0.5 KB a second to each node.
const RECORDS_REPEATED: usize = 2;

impl Ledger {
    /// What is to be told now, so many records at most; `repeats` too, those that were told before.
    pub fn news(&mut self, repeats: bool, most: usize, now: Instant) -> CrashNews {
        let mut due: Vec<Fingerprint> = Vec::new();
        let records = &self.records;
        self.untold.retain(|request, left| {
            let Some(record) = records.get(request) else {
                return false;
            };
            let late = now.saturating_duration_since(record.changed) >= TELL_WITHIN;
            if late && record.ended.len() < 2 {
                return false;
            }
            if repeats || *left == TELLINGS {
                due.push(*request);
            }
            true
        });
        // The request that has cost most is told first, then the newest.
        due.sort_by_key(|request| {
            let record = &records[request];
            (std::cmp::Reverse(record.ended.len()), now - record.changed)
        });
        due.truncate(most);
        for request in &due {
            self.count_telling(request);
        }
        if repeats {
            due.extend(self.repeated_records());
            due.extend(self.running_suspects(most));
            due.sort_unstable();
            due.dedup();
        }
        let told = due.iter().map(|request| self.message(request, now));
        CrashNews {
            records: told.collect(),
        }
    }

    /// The record of a request as it is told.
    pub fn message(&self, request: &Fingerprint, now: Instant) -> CrashRecord {
        let Some(record) = self.records.get(request) else {
            return CrashRecord::default();
        };
        let mut message = record.message(request.as_bytes(), now);
        // Nobody would tell of the end of runs that are no danger.
        let matters = !record.ended.is_empty() || record.is_in_doubt(now);
        let own = self.running.get(request).filter(|_| matters);
        let own = own.cloned().unwrap_or_default();
        message.runs.push(RunsOf {
            node: self.own,
            sequence: self.sequence,
            servers: own.into_iter().take(MOST_ENDED).collect(),
        });
        message
    }

    /// The runs of a request under which a server ended have changed.
    pub(crate) fn tell_runs(&mut self, request: &Fingerprint, now: Instant) {
        let known = self.records.get(request);
        if known.is_some_and(|record| !record.ended.is_empty() || record.is_in_doubt(now)) {
            self.sequence += 1;
            self.untold.insert(*request, TELLINGS);
        }
    }

    fn count_telling(&mut self, request: &Fingerprint) {
        let Some(left) = self.untold.get_mut(request) else {
            return;
        };
        *left -= 1;
        if *left == 0 {
            self.untold.remove(request);
        }
    }

    /// Requests under which servers ended that run here. Only this node makes its word of them newer: passed round by
    /// others, the runs of a node that has gone would never end.
    fn running_suspects(&mut self, most: usize) -> Vec<Fingerprint> {
        let records = &self.records;
        let is_suspect = |request: &&Fingerprint| {
            let record = records.get(request);
            record.is_some_and(|record| !record.ended.is_empty())
        };
        let running = self.running.keys().filter(is_suspect);
        let running: Vec<Fingerprint> = running.take(most).copied().collect();
        self.sequence += u64::from(!running.is_empty());
        running
    }

    /// The next requests in turn that another server's end would make refused, or that are.
    fn repeated_records(&mut self) -> Vec<Fingerprint> {
        let from = self.repeated.map_or(Bound::Unbounded, Bound::Excluded);
        let later = self.records.range((from, Bound::Unbounded));
        let matter = later.filter(|(_, record)| record.ended.len() + 1 >= MOST_ENDED);
        let next = matter.map(|(request, _)| *request);
        let next: Vec<Fingerprint> = next.take(RECORDS_REPEATED).collect();
        self.repeated = next.last().copied();
        next
    }
}
