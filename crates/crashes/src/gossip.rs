//! Selects the records that a node sends to its peers. Pure functions; time is an argument.

use std::ops::Bound;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::fingerprint::Fingerprint;
use crate::ledger::Ledger;
use crate::messages::{CrashRecord, CrashUpdates, NodeRuns};
use crate::record::MAX_ENDED_SERVERS;

/// Number of messages that carry a change, so that two messages in a row may be lost.
pub(crate) const SENDS_PER_CHANGE: u8 = 3;
/// Changes of requests with fewer than two ended servers are dropped after this time, even if not sent often enough.
/// After many servers end at once there are too many of them, and most retries have already happened.
const MAX_UNSENT_AGE: Duration = Duration::from_secs(10);
/// Refused and nearly refused records that each refresh resends, for nodes that have started or missed messages.
/// Two of them cost 0.5 KB a second per receiving node.
const REFRESHED_RECORDS: usize = 2;

impl Ledger {
    /// Returns the records to send now, at most `max_records`. With `refresh`, also resends records that were sent
    /// before.
    pub fn updates(&mut self, refresh: bool, max_records: usize, now: Instant) -> CrashUpdates {
        let mut due: Vec<Fingerprint> = Vec::new();
        let records = &self.records;
        self.unsent.retain(|request, left| {
            let Some(record) = records.get(request) else {
                return false;
            };
            let expired = now.saturating_duration_since(record.changed) >= MAX_UNSENT_AGE;
            if expired && record.ended.len() < 2 {
                return false;
            }
            if refresh || *left == SENDS_PER_CHANGE {
                due.push(*request);
            }
            true
        });
        // Requests with the most ended servers are sent first, then the most recent changes.
        due.sort_by_key(|request| {
            let record = &records[request];
            (std::cmp::Reverse(record.ended.len()), now - record.changed)
        });
        due.truncate(max_records);
        for request in &due {
            self.count_send(request);
        }
        if refresh {
            due.extend(self.next_refreshed());
            due.extend(self.running_suspects(max_records));
            due.sort_unstable();
            due.dedup();
        }
        let records_sent = due.iter().map(|request| self.message(request, now));
        CrashUpdates {
            records: records_sent.collect(),
        }
    }

    /// The record of a request in the form in which it is sent.
    pub fn message(&self, request: &Fingerprint, now: Instant) -> CrashRecord {
        let Some(record) = self.records.get(request) else {
            return CrashRecord::default();
        };
        let mut message = record.message(request.as_bytes(), now);
        // The end of runs of an unsuspected request is not reported, so their start is not either.
        let is_relevant = !record.ended.is_empty() || record.is_in_doubt(now);
        let own = self.running.get(request).filter(|_| is_relevant);
        let own = own.cloned().unwrap_or_default();
        message.runs.push(NodeRuns {
            node: self.node_id,
            sequence: self.sequence,
            servers: own.into_iter().take(MAX_ENDED_SERVERS).collect(),
        });
        message
    }

    /// Queues the changed runs of a request that is suspected or in doubt.
    pub(crate) fn queue_runs(&mut self, request: &Fingerprint, now: Instant) {
        let known = self.records.get(request);
        if known.is_some_and(|record| !record.ended.is_empty() || record.is_in_doubt(now)) {
            self.sequence += 1;
            self.unsent.insert(*request, SENDS_PER_CHANGE);
        }
    }

    fn count_send(&mut self, request: &Fingerprint) {
        let Some(left) = self.unsent.get_mut(request) else {
            return;
        };
        *left -= 1;
        if *left == 0 {
            self.unsent.remove(request);
        }
    }

    /// Suspected requests that run on this node. Only this node increments the sequence number of its runs; if others
    /// relayed them as new, the runs of a failed node would never expire.
    fn running_suspects(&mut self, max_records: usize) -> Vec<Fingerprint> {
        let records = &self.records;
        let is_suspect = |request: &&Fingerprint| {
            let record = records.get(request);
            record.is_some_and(|record| !record.ended.is_empty())
        };
        let running = self.running.keys().filter(is_suspect);
        let running: Vec<Fingerprint> = running.take(max_records).copied().collect();
        self.sequence += u64::from(!running.is_empty());
        running
    }

    /// The next refused requests, or requests that one more end would refuse, in round-robin order.
    fn next_refreshed(&mut self) -> Vec<Fingerprint> {
        let from = self
            .last_refreshed
            .map_or(Bound::Unbounded, Bound::Excluded);
        let later = self.records.range((from, Bound::Unbounded));
        let relevant = later.filter(|(_, record)| record.ended.len() + 1 >= MAX_ENDED_SERVERS);
        let next = relevant.map(|(request, _)| *request);
        let next: Vec<Fingerprint> = next.take(REFRESHED_RECORDS).collect();
        self.last_refreshed = next.last().copied();
        next
    }
}
