//! Memory of the items that a node keeps until their job has ended.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::messages::StoredItem;

/// Share of a machine's memory above which a node accepts no further job, as a divisor.
const MEMORY_DIVISOR: usize = 8;
const BYTES_PER_MB: usize = 1_000_000;
/// Memory of an item beside its body: its state, and the texts of its path and headers.
const ITEM_BYTES: usize = 2 * 1024;

/// Items of all jobs that a node keeps.
#[derive(Debug, Clone, Default)]
pub(crate) struct KeptItems(Arc<AtomicUsize>);

/// Items of one job. They count until this is dropped.
#[derive(Debug)]
pub(crate) struct KeptBytes {
    total: Arc<AtomicUsize>,
    bytes: usize,
}

impl KeptItems {
    /// Counts the items of a job.
    pub(crate) fn keep(&self, items: &[StoredItem]) -> KeptBytes {
        let bytes = items.iter().map(|item| item.body.len() + ITEM_BYTES).sum();
        self.0.fetch_add(bytes, Ordering::Relaxed);
        KeptBytes {
            total: self.0.clone(),
            bytes,
        }
    }

    /// Whether the items take more than a machine of this size may use for them.
    pub(crate) fn exceed(&self, memory_mb: u32) -> bool {
        let limit = memory_mb as usize * BYTES_PER_MB / MEMORY_DIVISOR;
        self.0.load(Ordering::Relaxed) > limit
    }
}

impl Drop for KeptBytes {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
