//! Configuration distribution under loss, reordering, duplication and restarts.

use std::collections::BTreeMap;

use dappleyard_decide::broadcast::{Broadcasts, retransmits};
use dappleyard_decide::configuration::{
    Applied, ConfigurationState, FeedRow, MAXIMUM_DELETIONS, PendingChanges, changes_from_feed,
};
use dappleyard_wire::messages::ConfigurationEntry;
use googletest::prelude::*;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

type Rows = BTreeMap<String, Vec<u8>>;

/// Change feed of the store, and the rows at each revision.
#[derive(Default)]
struct Store {
    feed: Vec<FeedRow>,
    at: BTreeMap<u64, Rows>,
    revision: u64,
}

impl Store {
    /// Writes or deletes one to three rows in a transaction. Revisions have gaps, as if other rows
    /// of the store had changed.
    fn write(&mut self, random: &mut ChaCha8Rng) {
        self.revision += random.random_range(1..4);
        let mut rows = self.at.values().next_back().cloned().unwrap_or_default();
        let first = random.random_range(0..10);
        for key in first..first + random.random_range(1..4) {
            let key = format!("config/tenant/{key}");
            let value = (!random.random_bool(0.2)).then(|| self.revision.to_be_bytes().to_vec());
            match &value {
                Some(value) => rows.insert(key.clone(), value.clone()),
                None => rows.remove(&key),
            };
            self.feed.push(FeedRow {
                key,
                revision: self.revision,
                value,
            });
        }
        self.at.insert(self.revision, rows);
    }

    fn after(&self, revision: u64) -> Vec<FeedRow> {
        let rows = self.feed.iter().filter(|row| row.revision > revision);
        rows.cloned().collect()
    }
}

#[derive(Default)]
struct Node {
    state: ConfigurationState,
    pending: PendingChanges,
    waiting: Broadcasts<Vec<ConfigurationEntry>>,
}

impl Node {
    fn offer(&mut self, entries: &[ConfigurationEntry]) {
        for entry in entries {
            self.pending.offer(entry.clone());
        }
        while let Some(change) = self.pending.take_next(self.state.revision) {
            assert_eq!(self.state.apply(&change), Applied::Yes);
            let key = change[0].revision.to_string();
            self.waiting.push(&key, change, 100);
        }
    }

    fn rows(&self) -> Rows {
        let entries = self
            .state
            .entries
            .iter()
            .filter(|(_, entry)| !entry.deleted);
        entries
            .map(|(key, entry)| (key.clone(), entry.value.clone()))
            .collect()
    }
}

/// One round: node 0 reads the feed, and each node gossips to a random other and may sync from it.
fn round(nodes: &mut [Node], store: &Store, loss: f64, random: &mut ChaCha8Rng) {
    let changes = changes_from_feed(
        &store.after(nodes[0].state.revision),
        nodes[0].state.revision,
    );
    for change in changes {
        nodes[0].offer(&change);
    }
    let limit = retransmits(nodes.len());
    let mut order: Vec<usize> = (0..nodes.len()).collect();
    order.shuffle(random);
    for from in order {
        let to = random.random_range(0..nodes.len());
        let mut entries = nodes[from].waiting.take(1_000, limit).concat();
        entries.shuffle(random);
        if !random.random_bool(loss) {
            nodes[to].offer(&entries);
        }
        if random.random_bool(0.2) && !random.random_bool(loss) {
            sync(nodes, from, to);
        }
    }
}

fn sync(nodes: &mut [Node], of: usize, by: usize) {
    let after = nodes[of].state.revision;
    let up_to = nodes[by].state.revision;
    match nodes[by].state.entries_after(after) {
        Some(entries) => nodes[of].state.merge(after, &entries, up_to),
        None => {
            let snapshot = nodes[by].state.clone();
            nodes[of].state.replace(snapshot)
        }
    };
    nodes[of].offer(&[]);
}

#[gtest]
fn nodes_hold_complete_and_monotonic_revisions() {
    for seed in 0..10 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut store = Store::default();
        let mut nodes: Vec<Node> = (0..20).map(|_| Node::default()).collect();
        let mut last = vec![0; nodes.len()];
        for step in 0..200 {
            if step < 150 && random.random_bool(0.5) {
                store.write(&mut random);
            }
            if step < 150 && random.random_bool(0.05) {
                let restarted = random.random_range(1..nodes.len());
                nodes[restarted] = Node::default();
                last[restarted] = 0;
            }
            round(&mut nodes, &store, 0.3, &mut random);
            for (node, last) in nodes.iter().zip(&mut last) {
                let revision = node.state.revision;
                assert!(revision >= *last, "the revision went back");
                *last = revision;
                let expected = store.at.get(&revision).cloned().unwrap_or_default();
                assert_eq!(node.rows(), expected, "revision {revision}, seed {seed}");
            }
        }
        let behind = nodes
            .iter()
            .filter(|node| node.state.revision != store.revision);
        expect_that!(behind.count(), eq(0), "seed {seed}");
    }
}

#[gtest]
fn snapshot_is_required_after_deletions_are_removed() {
    let mut state = ConfigurationState::default();
    let rows: Vec<FeedRow> = (1..=MAXIMUM_DELETIONS as u64 + 10)
        .map(|revision| FeedRow {
            key: format!("config/tenant/{revision}"),
            revision,
            value: None,
        })
        .collect();
    for change in changes_from_feed(&rows, 0) {
        expect_that!(state.apply(&change), eq(Applied::Yes));
    }
    expect_that!(state.entries.len(), le(MAXIMUM_DELETIONS));
    expect_that!(state.entries_after(0), none());
    expect_that!(state.entries_after(state.revision - 5), some(len(eq(5))));
}

#[gtest]
fn merge_with_missing_revisions_is_rejected() {
    let mut state = ConfigurationState::default();
    expect_that!(state.merge(5, &[], 9), eq(Applied::Gap));
    expect_that!(state.merge(0, &[], 9), eq(Applied::Yes));
    expect_that!(state.merge(0, &[], 7), eq(Applied::Old));
}

fn part(revision: u64, part: u32, key: &str) -> ConfigurationEntry {
    ConfigurationEntry {
        revision,
        previous: 0,
        key: key.to_owned(),
        value: b"value".to_vec(),
        deleted: false,
        part,
        parts: 2,
    }
}

#[gtest]
fn duplicate_row_does_not_complete_a_change() {
    let mut state = ConfigurationState::default();
    let first = part(3, 0, "config/tenant/a");
    expect_that!(
        state.apply(&[first.clone(), first.clone()]),
        eq(Applied::Gap)
    );
    expect_that!(state.revision, eq(0));
    let second = part(3, 1, "config/tenant/b");
    expect_that!(state.apply(&[first, second]), eq(Applied::Yes));
}

#[gtest]
fn rows_of_two_revisions_are_not_one_change() {
    let mut state = ConfigurationState::default();
    let mixed = [part(3, 0, "config/tenant/a"), part(4, 1, "config/tenant/b")];
    expect_that!(state.apply(&mixed), eq(Applied::Gap));
    expect_that!(state.entries, is_empty());
}
