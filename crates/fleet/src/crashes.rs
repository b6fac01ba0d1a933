//! Requests under which engines ended: from the table to gossip, and from gossip to the table.

use dappleyard_crashes::{CrashRecord, Fingerprint};
use dappleyard_decide::broadcast::Broadcasts;
use dappleyard_decide::time::Millis;
use dappleyard_tables::NodeTables;
use prost::Message;

/// Bytes that the tag and length of one record take.
const OVERHEAD_BYTES: usize = 4;
/// Time between two looks at what is new, and to be told again.
const LOOK_MS: u64 = 100;

/// Spread of such requests.
#[derive(Default)]
pub struct CrashSpread {
    waiting: Broadcasts<Vec<u8>>,
    looked: Millis,
    fresh: bool,
}

impl CrashSpread {
    /// Takes up what the request paths put into the table, and forgets what is too old.
    pub fn collect(&mut self, tables: &NodeTables, now: Millis) {
        if now.since(self.looked) < LOOK_MS {
            return;
        }
        self.looked = now;
        tables.crashes.sweep();
        for record in tables.crashes.news().records {
            let Some(request) = Fingerprint::from_bytes(&record.fingerprint) else {
                continue;
            };
            let bytes = record.encode_to_vec();
            let length = bytes.len() + OVERHEAD_BYTES;
            self.waiting.push(&request.to_string(), bytes, length);
            self.fresh = true;
        }
    }

    /// Takes records that came by gossip.
    pub fn learn(&mut self, records: &[Vec<u8>], tables: &NodeTables) {
        let records = records.iter().map(Vec::as_slice);
        // A record that cannot be read is of a later version of the program.
        let records = records.filter_map(|bytes| CrashRecord::decode(bytes).ok());
        records.for_each(|record| {
            tables.crashes.learn(record);
        });
    }

    /// Whether something new is to be pushed at once.
    pub fn take_fresh(&mut self) -> bool {
        std::mem::take(&mut self.fresh)
    }

    /// Records for one datagram.
    pub fn take(&mut self, budget: usize, retransmits: u32) -> Vec<Vec<u8>> {
        self.waiting.take(budget, retransmits)
    }
}
