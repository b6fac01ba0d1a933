//! Gossip of cancelled job ids.

use std::collections::BTreeMap;

use dappleyard_decide::broadcast::Broadcasts;
use dappleyard_decide::time::Millis;
use dappleyard_tables::NodeTables;

/// Time for which a cancelled job is kept, milliseconds. The job's row keeps the cancellation
/// permanently; gossip only stops running items earlier.
const RETENTION_MS: u64 = 600_000;
/// Time for which an id is queued repeatedly, milliseconds. Each time it goes out with a few datagrams
/// to the next probed or answered nodes, which may all be the same node.
const RESEND_WINDOW_MS: u64 = 60_000;
/// Interval at which ids are queued again, milliseconds.
const RESEND_INTERVAL_MS: u64 = 1_000;
/// Most cancelled jobs kept; the oldest are dropped first.
const MAXIMUM_JOBS: usize = 4096;
/// Encoded size of the tag and length of one id.
const OVERHEAD_BYTES: usize = 3;

#[derive(Default)]
pub struct CancelledJobGossip {
    known: BTreeMap<String, Millis>,
    queue: Broadcasts<String>,
    resent_at: Millis,
}

impl CancelledJobGossip {
    /// Queues new ids of the table for gossip, and removes expired ones.
    pub fn collect(&mut self, tables: &NodeTables, now: Millis) {
        let mut jobs = tables.cancelled_jobs.lock();
        for job in jobs.iter() {
            if !self.known.contains_key(job) {
                self.known.insert(job.clone(), now);
                self.queue
                    .push(job, job.clone(), job.len() + OVERHEAD_BYTES);
            }
        }
        self.resend(now);
        self.known.retain(|job, at| {
            let kept = now.since(*at) < RETENTION_MS;
            if !kept {
                jobs.remove(job);
            }
            kept
        });
        while self.known.len() > MAXIMUM_JOBS {
            let oldest = self.known.iter().min_by_key(|(_, at)| **at);
            let Some(job) = oldest.map(|(job, _)| job.clone()) else {
                break;
            };
            self.known.remove(&job);
            jobs.remove(&job);
        }
    }

    /// Queues recent ids again, so that every node receives them.
    fn resend(&mut self, now: Millis) {
        if now.since(self.resent_at) < RESEND_INTERVAL_MS {
            return;
        }
        self.resent_at = now;
        for (job, at) in &self.known {
            if now.since(*at) < RESEND_WINDOW_MS {
                let bytes = job.len() + OVERHEAD_BYTES;
                self.queue.push(job, job.clone(), bytes);
            }
        }
    }

    /// Stores ids received by gossip, and forwards new ones.
    pub fn merge_updates(&mut self, ids: &[String], tables: &NodeTables, now: Millis) {
        for job in ids.iter().filter(|job| !job.is_empty()) {
            if !self.known.contains_key(job) {
                self.known.insert(job.clone(), now);
                self.queue
                    .push(job, job.clone(), job.len() + OVERHEAD_BYTES);
                tables.cancelled_jobs.lock().insert(job.clone());
            }
        }
    }

    /// The ids to send in the next datagram, within `budget` bytes.
    pub fn next_updates(&mut self, budget: usize, retransmits: u32) -> Vec<String> {
        self.queue.take(budget, retransmits)
    }
}
