//! Selects the records that a node sends to its peers. Pure functions; time is an argument.

use std::ops::Bound;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::feature::Feature;
use crate::ledger::Ledger;
use crate::messages::{CrashRecord, CrashUpdates, NodeRuns};
use crate::record::MAX_ENDED_SERVERS;

/// Number of messages that carry a change, so that two messages in a row may be lost.
pub(crate) const SENDS_PER_CHANGE: u8 = 3;
/// Changes of features with fewer than two ended servers are dropped after this time, even if not sent often enough.
/// After many servers end at once there are too many of them, and most retries have already happened.
const MAX_UNSENT_AGE: Duration = Duration::from_secs(10);
/// Refused and nearly refused records that each refresh resends, for nodes that have started or missed messages.
/// Two of them cost 0.5 KB a second per receiving node.
const REFRESHED_RECORDS: usize = 2;

impl Ledger {
    /// Whether there are records to send before the next refresh.
    pub(crate) fn has_updates(&self) -> bool {
        !(self.unsent.is_empty() && self.resent.is_empty())
    }

    /// Returns the records to send now, at most `max_records`. With `refresh`, also resends records that were sent
    /// before.
    pub fn updates(&mut self, refresh: bool, max_records: usize, now: Instant) -> CrashUpdates {
        let mut due: Vec<Feature> = Vec::new();
        let records = &self.records;
        self.unsent.retain(|feature, left| {
            let Some(record) = records.get(feature) else {
                return false;
            };
            let expired = now.saturating_duration_since(record.changed) >= MAX_UNSENT_AGE;
            if expired && record.ended.len() < 2 {
                return false;
            }
            if refresh || *left == SENDS_PER_CHANGE {
                due.push(*feature);
            }
            true
        });
        // Features with the most ended servers are sent first, then the most recent changes.
        due.sort_by_key(|feature| {
            let record = &records[feature];
            (std::cmp::Reverse(record.ended.len()), now - record.changed)
        });
        due.truncate(max_records);
        for feature in &due {
            self.count_send(feature);
        }
        while due.len() < max_records {
            let Some(feature) = self.resent.pop_first() else {
                break;
            };
            if !due.contains(&feature) {
                due.push(feature);
            }
        }
        if refresh {
            due.extend(self.next_refreshed());
            due.extend(self.running_suspects(max_records));
            due.extend(self.next_outdated(max_records));
            due.sort_unstable();
            due.dedup();
        }
        let records_sent = due.iter().map(|feature| self.message(feature, now));
        CrashUpdates {
            records: records_sent.collect(),
        }
    }

    /// Queues the refused features and those that one more end would refuse, for a node that has just started. Changes are
    /// sent before them.
    pub fn resend_refused(&mut self) {
        let records = self.records.iter();
        let relevant = records.filter(|(_, record)| record.is_nearly_refused());
        self.resent.extend(relevant.map(|(feature, _)| *feature));
    }

    /// The record of a feature in the form in which it is sent.
    pub fn message(&self, feature: &Feature, now: Instant) -> CrashRecord {
        let Some(record) = self.records.get(feature) else {
            return CrashRecord::new(feature);
        };
        let mut message = record.message(feature, now);
        // The end of runs with an unsuspected feature is not reported, so their start is not either.
        let is_relevant = !record.ended.is_empty() || record.is_in_doubt(now);
        let own = self.running.get(feature).filter(|_| is_relevant);
        let own = own.cloned().unwrap_or_default();
        message.runs.push(NodeRuns {
            node: self.node_id,
            sequence: self.sequence,
            servers: own.into_iter().take(MAX_ENDED_SERVERS).collect(),
            reserves_retry: record.holds_reservation(now),
        });
        message
    }

    /// Queues the changed runs of a feature that is suspected or in doubt.
    pub(crate) fn queue_runs(&mut self, feature: &Feature, now: Instant) {
        let known = self.records.get(feature);
        if known.is_some_and(|record| !record.ended.is_empty() || record.is_in_doubt(now)) {
            self.sequence += 1;
            self.unsent.insert(*feature, SENDS_PER_CHANGE);
        }
    }

    fn count_send(&mut self, feature: &Feature) {
        let Some(left) = self.unsent.get_mut(feature) else {
            return;
        };
        *left -= 1;
        if *left == 0 {
            self.unsent.remove(feature);
        }
    }

    /// Suspected features of requests that run on this node. Only this node increments the sequence number of its runs;
    /// if others relayed them as new, the runs of a failed node would never expire.
    fn running_suspects(&mut self, max_records: usize) -> Vec<Feature> {
        let records = &self.records;
        let is_suspect = |feature: &&Feature| {
            let record = records.get(feature);
            record.is_some_and(|record| !record.ended.is_empty())
        };
        let running = self.running.keys().filter(is_suspect);
        let running: Vec<Feature> = running.take(max_records).copied().collect();
        self.sequence += u64::from(!running.is_empty());
        running
    }

    /// Features of which another node has an outdated record, as a node that has just begun may have. It repeats that if it
    /// misses the answer.
    fn next_outdated(&mut self, max_records: usize) -> Vec<Feature> {
        let outdated = std::mem::take(&mut self.outdated_elsewhere).into_iter();
        outdated.take(max_records).collect()
    }

    /// The next refused features, or features that one more end would refuse, in round-robin order.
    fn next_refreshed(&mut self) -> Vec<Feature> {
        let from = self
            .last_refreshed
            .map_or(Bound::Unbounded, Bound::Excluded);
        let later = self.records.range((from, Bound::Unbounded));
        let relevant = later.filter(|(_, record)| record.is_nearly_refused());
        let next = relevant.map(|(feature, _)| *feature);
        let next: Vec<Feature> = next.take(REFRESHED_RECORDS).collect();
        self.last_refreshed = next.last().copied();
        next
    }
}
