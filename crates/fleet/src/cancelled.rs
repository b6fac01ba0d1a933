//! Cancelled jobs: from the table to gossip, and from gossip to the table.

use std::collections::BTreeMap;

use dappleyard_decide::broadcast::Broadcasts;
use dappleyard_decide::time::Millis;
use dappleyard_tables::NodeTables;

/// How long a cancelled job is remembered, milliseconds. The job row remembers it for good; gossip
/// only stops running items early.
const RETENTION_MS: u64 = 600_000;
/// How long an id is sent again and again. Each sending rides on a few datagrams to whoever is probed
/// or answered next, which may be the same node each time.
const REPEATED_FOR_MS: u64 = 60_000;
/// Time between two sendings.
const REPEAT_MS: u64 = 1_000;
/// Most cancelled jobs remembered; the oldest go first.
const MAXIMUM_JOBS: usize = 4096;
/// Bytes that the tag and length of one id take.
const OVERHEAD_BYTES: usize = 3;

/// Spread of cancelled job ids.
#[derive(Default)]
pub struct CancelledJobs {
    known: BTreeMap<String, Millis>,
    waiting: Broadcasts<String>,
    repeated: Millis,
}

impl CancelledJobs {
    /// Takes up ids that the batch path put into the table, and forgets old ones.
    pub fn collect(&mut self, tables: &NodeTables, now: Millis) {
        let mut jobs = tables.cancelled_jobs.lock();
        for job in jobs.iter() {
            if !self.known.contains_key(job) {
                self.known.insert(job.clone(), now);
                self.waiting
                    .push(job, job.clone(), job.len() + OVERHEAD_BYTES);
            }
        }
        self.repeat(now);
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

    /// Sends the ids of the last minute again, so that no node misses one for good.
    fn repeat(&mut self, now: Millis) {
        if now.since(self.repeated) < REPEAT_MS {
            return;
        }
        self.repeated = now;
        for (job, at) in &self.known {
            if now.since(*at) < REPEATED_FOR_MS {
                let bytes = job.len() + OVERHEAD_BYTES;
                self.waiting.push(job, job.clone(), bytes);
            }
        }
    }

    /// Takes ids that came by gossip; those that are new go on to others.
    pub fn learn(&mut self, ids: &[String], tables: &NodeTables, now: Millis) {
        for job in ids.iter().filter(|job| !job.is_empty()) {
            if !self.known.contains_key(job) {
                self.known.insert(job.clone(), now);
                self.waiting
                    .push(job, job.clone(), job.len() + OVERHEAD_BYTES);
                tables.cancelled_jobs.lock().insert(job.clone());
            }
        }
    }

    /// Ids for one datagram.
    pub fn take(&mut self, budget: usize, retransmits: u32) -> Vec<String> {
        self.waiting.take(budget, retransmits)
    }
}
