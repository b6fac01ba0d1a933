//! Configuration gossip: applies changes in order of revision and forwards them.

use std::sync::Arc;

use dappleyard_decide::broadcast::Broadcasts;
use dappleyard_decide::configuration::{Applied, ConfigurationState, PendingChanges};
use dappleyard_tables::NodeTables;
use dappleyard_tables::decisions::{Decision, DecisionKind, Subject};
use dappleyard_wire::MAXIMUM_DATAGRAM_BYTES;
use dappleyard_wire::messages::{ConfigurationEntry, SyncEntries};
use prost::Message;

use crate::metrics::Metrics;

/// Largest change sent in datagrams, bytes; larger ones are fetched over links.
const MAXIMUM_DELTA_BYTES: usize = 450;
/// Encoded size of the tag and length of one entry.
const ENTRY_OVERHEAD_BYTES: usize = 4;
/// Bytes reserved for the rest of a datagram that carries repair entries.
const HEADER_BYTES: usize = 200;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    Feed,
    /// By gossip, as a single change.
    Gossip,
    /// From a peer, in answer to a digest.
    Repair,
    Snapshot,
}

impl Source {
    const fn name(self) -> &'static str {
        match self {
            Source::Feed => "feed",
            Source::Gossip => "gossip",
            Source::Repair => "repair",
            Source::Snapshot => "snapshot",
        }
    }
}

pub struct ConfigurationGossip {
    tables: Arc<NodeTables>,
    pending: PendingChanges,
    queue: Broadcasts<Vec<ConfigurationEntry>>,
    push_pending: bool,
}

impl ConfigurationGossip {
    pub fn new(tables: Arc<NodeTables>) -> ConfigurationGossip {
        ConfigurationGossip {
            tables,
            pending: PendingChanges::default(),
            queue: Broadcasts::default(),
            push_pending: false,
        }
    }

    /// Queues entries from gossip or the feed, and applies those that are next in order.
    pub fn offer(&mut self, entries: &[ConfigurationEntry], source: Source, metrics: &Metrics) {
        let applied = self.tables.configuration.revision();
        for entry in entries.iter().filter(|entry| entry.revision > applied) {
            self.pending.offer(entry.clone());
        }
        while let Some(change) = self.pending.take_next(self.tables.configuration.revision()) {
            if self.tables.configuration.apply(&change) != Applied::Yes {
                break;
            }
            self.record_applied(source, metrics);
            self.enqueue(change);
        }
    }

    pub fn merge(&mut self, answer: &SyncEntries, metrics: &Metrics) {
        let table = &self.tables.configuration;
        if table.merge(answer.after, &answer.entries, answer.up_to) == Applied::Yes {
            self.record_applied(Source::Repair, metrics);
            self.offer(&[], Source::Gossip, metrics);
        }
    }

    pub fn replace(&mut self, snapshot: ConfigurationState, metrics: &Metrics) {
        if self.tables.configuration.replace(snapshot) == Applied::Yes {
            self.record_applied(Source::Snapshot, metrics);
        }
    }

    /// Whether a change to be pushed at once has been applied since the last call.
    pub fn take_push_pending(&mut self) -> bool {
        std::mem::take(&mut self.push_pending)
    }

    /// The entries to send in the next datagram, within `budget` bytes.
    pub fn next_updates(&mut self, budget: usize, retransmits: u32) -> Vec<ConfigurationEntry> {
        self.queue.take(budget, retransmits).concat()
    }

    /// The changes that a peer at `revision` is missing, without entries when the peer needs a snapshot
    /// instead; `None` when the peer is up to date.
    pub fn answer_digest(&self, revision: u64) -> Option<SyncEntries> {
        let (up_to, entries) = self.tables.configuration.entries_after(revision);
        if up_to <= revision {
            return None;
        }
        let whole = entries.map(|entries| SyncEntries {
            entries,
            up_to,
            after: revision,
        });
        let fits =
            whole.filter(|answer| answer.encoded_len() + HEADER_BYTES <= MAXIMUM_DATAGRAM_BYTES);
        let snapshot_only = SyncEntries {
            entries: Vec::new(),
            up_to,
            after: revision,
        };
        Some(fits.unwrap_or(snapshot_only))
    }

    fn enqueue(&mut self, change: Vec<ConfigurationEntry>) {
        let bytes = change
            .iter()
            .map(|entry| entry.encoded_len() + ENTRY_OVERHEAD_BYTES)
            .sum();
        self.push_pending = true;
        if bytes <= MAXIMUM_DELTA_BYTES {
            let key = change.first().map_or(0, |entry| entry.revision).to_string();
            self.queue.push(&key, change, bytes);
        }
    }

    fn record_applied(&self, source: Source, metrics: &Metrics) {
        let revision = self.tables.configuration.revision();
        metrics.applied.with_label_values(&[source.name()]).inc();
        metrics
            .revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        // Changes by gossip are routine: they are counted but not recorded as decisions.
        if source == Source::Gossip {
            return;
        }
        let node = self.tables.identity.node.to_string();
        self.tables.decisions.record(Decision {
            unix_ms: self.tables.clock.unix_ms(),
            node: node.clone(),
            kind: DecisionKind::ConfigurationApplied,
            subjects: vec![Subject::Node(node)],
            cause: format!("configuration came as {}", source.name()),
            inputs: vec![("revision".to_owned(), revision.to_string())],
            outcome: format!("revision {revision} is in force on this node"),
        });
    }
}
