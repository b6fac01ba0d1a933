//! Spread of configuration: applying changes in order and passing them on.

use std::sync::Arc;

use dappleyard_decide::broadcast::Broadcasts;
use dappleyard_decide::configuration::{Applied, ConfigurationState, PendingChanges};
use dappleyard_tables::NodeTables;
use dappleyard_tables::decisions::{Decision, DecisionKind, Subject};
use dappleyard_wire::MAXIMUM_DATAGRAM_BYTES;
use dappleyard_wire::messages::{ConfigurationEntry, SyncEntries};
use prost::Message;

use crate::metrics::Metrics;

/// Largest change that rides on datagrams, bytes; larger ones are fetched over links.
const MAXIMUM_DELTA_BYTES: usize = 450;
/// Bytes that the tag and length of one entry take.
const ENTRY_OVERHEAD_BYTES: usize = 4;
/// Bytes of a datagram kept free around the entries of a repair.
const HEADER_BYTES: usize = 200;

/// How a change came to this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// From the store's change feed.
    Feed,
    /// By gossip, in order.
    Gossip,
    /// From a peer, on a digest.
    Repair,
    /// As a whole snapshot.
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

/// Spread of configuration on one node.
pub struct Spread {
    tables: Arc<NodeTables>,
    pending: PendingChanges,
    waiting: Broadcasts<Vec<ConfigurationEntry>>,
    fresh: bool,
}

impl Spread {
    /// Nothing to spread yet.
    pub fn new(tables: Arc<NodeTables>) -> Spread {
        Spread {
            tables,
            pending: PendingChanges::default(),
            waiting: Broadcasts::default(),
            fresh: false,
        }
    }

    /// Takes entries that came by gossip or from the feed; applies whatever is in order.
    pub fn offer(&mut self, entries: &[ConfigurationEntry], source: Source, metrics: &Metrics) {
        let applied = self.tables.configuration.revision();
        for entry in entries.iter().filter(|entry| entry.revision > applied) {
            self.pending.offer(entry.clone());
        }
        while let Some(change) = self.pending.take_next(self.tables.configuration.revision()) {
            if self.tables.configuration.apply(&change) != Applied::Yes {
                break;
            }
            self.applied(source, metrics);
            self.pass_on(change);
        }
    }

    /// Takes the answer to a digest.
    pub fn merge(&mut self, answer: &SyncEntries, metrics: &Metrics) {
        let table = &self.tables.configuration;
        if table.merge(answer.after, &answer.entries, answer.up_to) == Applied::Yes {
            self.applied(Source::Repair, metrics);
            self.offer(&[], Source::Gossip, metrics);
        }
    }

    /// Takes a whole snapshot.
    pub fn replace(&mut self, snapshot: ConfigurationState, metrics: &Metrics) {
        if self.tables.configuration.replace(snapshot) == Applied::Yes {
            self.applied(Source::Snapshot, metrics);
        }
    }

    /// Whether a change has been applied since the last call, so that it should be pushed at once.
    pub fn take_fresh(&mut self) -> bool {
        std::mem::take(&mut self.fresh)
    }

    /// Entries for one datagram.
    pub fn take(&mut self, budget: usize, retransmits: u32) -> Vec<ConfigurationEntry> {
        self.waiting.take(budget, retransmits).concat()
    }

    /// What a peer at `revision` lacks; `None` when it lacks nothing.
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

    fn pass_on(&mut self, change: Vec<ConfigurationEntry>) {
        let bytes = change
            .iter()
            .map(|entry| entry.encoded_len() + ENTRY_OVERHEAD_BYTES)
            .sum();
        self.fresh = true;
        if bytes <= MAXIMUM_DELTA_BYTES {
            let key = change.first().map_or(0, |entry| entry.revision).to_string();
            self.waiting.push(&key, change, bytes);
        }
    }

    fn applied(&self, source: Source, metrics: &Metrics) {
        let revision = self.tables.configuration.revision();
        metrics.applied.with_label_values(&[source.name()]).inc();
        metrics
            .revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        // Changes that come by gossip are the usual course and are only counted.
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
