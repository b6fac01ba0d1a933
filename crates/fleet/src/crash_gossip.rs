//! Gossip of crash records: features of requests during which engines crashed.

use dappleyard_crashes::CrashRecord;
use dappleyard_decide::broadcast::Broadcasts;
use dappleyard_decide::time::Millis;
use dappleyard_tables::NodeTables;
use prost::Message;

/// Encoded size of the tag and length of one record.
const OVERHEAD_BYTES: usize = 4;
/// Interval at which new and repeated records are collected from the table, milliseconds.
const COLLECT_INTERVAL_MS: u64 = 100;

#[derive(Default)]
pub struct CrashGossip {
    queue: Broadcasts<Vec<u8>>,
    collected_at: Millis,
    push_pending: bool,
}

impl CrashGossip {
    /// Queues new records of the table for gossip, and removes expired ones from the table.
    pub fn collect(&mut self, tables: &NodeTables, now: Millis) {
        if now.since(self.collected_at) < COLLECT_INTERVAL_MS {
            return;
        }
        self.collected_at = now;
        tables.crashes.sweep();
        for record in tables.crashes.news().records {
            let Some(feature) = record.feature() else {
                continue;
            };
            let bytes = record.encode_to_vec();
            let length = bytes.len() + OVERHEAD_BYTES;
            self.queue.push(&feature.to_string(), bytes, length);
            self.push_pending = true;
        }
    }

    /// Stores records received by gossip.
    pub fn merge_updates(&mut self, records: &[Vec<u8>], tables: &NodeTables) {
        let records = records.iter().map(Vec::as_slice);
        // A record that cannot be decoded may be from a later version of the program.
        let records = records.filter_map(|bytes| CrashRecord::decode(bytes).ok());
        records.for_each(|record| {
            tables.crashes.learn(record);
        });
    }

    /// Whether a record to be pushed at once has been queued since the last call.
    pub fn take_push_pending(&mut self) -> bool {
        std::mem::take(&mut self.push_pending)
    }

    /// The records to send in the next datagram, within `budget` bytes.
    pub fn next_updates(&mut self, budget: usize, retransmits: u32) -> Vec<Vec<u8>> {
        self.queue.take(budget, retransmits)
    }
}
