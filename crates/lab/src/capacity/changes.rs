//! Writes configuration changes and measures how long each takes to reach every node.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dappleyard_store::memory::MemoryPlatform;
use dappleyard_store::{StoreError, TableStore, Transaction};
use dappleyard_tables::NodeTables;
use dappleyard_wire::keys;
use dappleyard_wire::messages::TenantRow;
use parking_lot::Mutex;
use prost::Message;

/// Tenants whose limits are in the configuration.
const TENANTS: u64 = 200;

/// When a revision was written or applied.
#[derive(Debug, Clone, Copy)]
struct RevisionTime {
    revision: u64,
    at: Instant,
}

/// Configuration writes and when each node applied them.
#[derive(Debug, Clone, Default)]
pub struct ChangeTracker {
    writes: Arc<Mutex<Vec<RevisionTime>>>,
    /// Applied revisions by node index, in order.
    applied: Arc<Mutex<BTreeMap<usize, Vec<RevisionTime>>>>,
}

/// Delays from a write until it was applied, milliseconds.
#[derive(Debug, Clone, Default)]
pub struct PropagationTimes {
    /// One value for each write and node.
    pub per_node: Vec<f64>,
    /// One value for each write: the delay of the last node.
    pub all_nodes: Vec<f64>,
    /// Writes that some node had not applied when the experiment ended.
    pub missing: usize,
}

impl ChangeTracker {
    /// Writes the limits of one tenant.
    pub async fn write(&self, platform: &MemoryPlatform, number: u64) -> Result<(), StoreError> {
        let name = format!("tenant-{:03}", number % TENANTS);
        let row = TenantRow {
            name: name.clone(),
            requests_per_s: number as f64,
            requests_burst: 200.0,
            concurrent_tokens: 100_000,
            batch_weight: 1,
            standing_batch_items: 1_000,
        };
        let transaction = Transaction::default().put(keys::tenant(&name), row.encode_to_vec());
        let at = Instant::now();
        let revision = platform.transact(transaction).await?;
        self.writes.lock().push(RevisionTime { revision, at });
        Ok(())
    }

    /// Writes the initial rows without recording them.
    pub async fn prepopulate(platform: &MemoryPlatform) -> Result<(), StoreError> {
        let unmeasured = ChangeTracker::default();
        for number in 0..TENANTS {
            unmeasured.write(platform, number).await?;
        }
        Ok(())
    }

    /// Records each revision that a node applies, until the runtime stops.
    pub async fn watch(self, node: usize, tables: Arc<NodeTables>) {
        let mut configuration = tables.configuration.subscribe();
        loop {
            let revision = configuration.borrow_and_update().revision;
            let at = Instant::now();
            let revision_time = RevisionTime { revision, at };
            self.applied
                .lock()
                .entry(node)
                .or_default()
                .push(revision_time);
            if configuration.changed().await.is_err() {
                return;
            }
        }
    }

    /// Propagation delays of all writes to the given nodes.
    pub fn times(&self, nodes: &[usize]) -> PropagationTimes {
        let applied = self.applied.lock();
        let mut times = PropagationTimes::default();
        for write in self.writes.lock().iter() {
            let on_nodes: Vec<Option<Duration>> = nodes
                .iter()
                .map(|node| propagation_delay(applied.get(node)?, write))
                .collect();
            let known: Vec<f64> = on_nodes
                .iter()
                .flatten()
                .map(|time| time.as_secs_f64() * 1000.0)
                .collect();
            if known.len() < nodes.len() {
                times.missing += 1;
            } else {
                times
                    .all_nodes
                    .push(known.iter().copied().fold(0.0, f64::max));
            }
            times.per_node.extend(known);
        }
        times
    }
}

fn propagation_delay(revision_times: &[RevisionTime], write: &RevisionTime) -> Option<Duration> {
    let first = revision_times
        .iter()
        .find(|revision_time| revision_time.revision >= write.revision)?;
    Some(first.at.saturating_duration_since(write.at))
}
