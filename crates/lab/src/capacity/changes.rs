//! Configuration changes while the fleet runs, and when each is in force on each node.

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

/// When a revision was written or came into force.
#[derive(Debug, Clone, Copy)]
struct Moment {
    revision: u64,
    at: Instant,
}

/// Writes of the experiment, and what nodes saw of them.
#[derive(Debug, Clone, Default)]
pub struct Journal {
    writes: Arc<Mutex<Vec<Moment>>>,
    /// For each node by its number the revisions put in force, in order.
    seen: Arc<Mutex<BTreeMap<usize, Vec<Moment>>>>,
}

/// Times from a write until it was in force, milliseconds.
#[derive(Debug, Clone, Default)]
pub struct InForceTimes {
    /// On each node, for each write.
    pub on_a_node: Vec<f64>,
    /// On the last node, for each write.
    pub everywhere: Vec<f64>,
    /// Writes that were not in force everywhere when the experiment ended.
    pub missing: usize,
}

impl Journal {
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
        self.writes.lock().push(Moment { revision, at });
        Ok(())
    }

    /// Fills the configuration before the experiment; not part of the times.
    pub async fn fill(platform: &MemoryPlatform) -> Result<(), StoreError> {
        let unmeasured = Journal::default();
        for number in 0..TENANTS {
            unmeasured.write(platform, number).await?;
        }
        Ok(())
    }

    /// Notes each revision that comes into force on a node. Ends with the runtime.
    pub async fn watch(self, node: usize, tables: Arc<NodeTables>) {
        let mut configuration = tables.configuration.subscribe();
        loop {
            let revision = configuration.borrow_and_update().revision;
            let at = Instant::now();
            let moment = Moment { revision, at };
            self.seen.lock().entry(node).or_default().push(moment);
            if configuration.changed().await.is_err() {
                return;
            }
        }
    }

    /// Times of all writes over the nodes that were watched throughout.
    pub fn times(&self, nodes: &[usize]) -> InForceTimes {
        let seen = self.seen.lock();
        let mut times = InForceTimes::default();
        for write in self.writes.lock().iter() {
            let on_nodes: Vec<Option<Duration>> = nodes
                .iter()
                .map(|node| first_at_least(seen.get(node)?, write))
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
                    .everywhere
                    .push(known.iter().copied().fold(0.0, f64::max));
            }
            times.on_a_node.extend(known);
        }
        times
    }
}

fn first_at_least(moments: &[Moment], write: &Moment) -> Option<Duration> {
    let first = moments
        .iter()
        .find(|moment| moment.revision >= write.revision)?;
    Some(first.at.saturating_duration_since(write.at))
}
