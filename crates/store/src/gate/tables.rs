//! The table service behind the gate.

use std::rc::Rc;
use std::sync::Arc;

use async_trait::async_trait;

use super::class::CallClass;
use super::group::GroupCommit;
use super::lane::Lane;
use crate::{Changes, Row, StoreError, TableStore, Transaction};

/// A table service whose reads go through a lane and whose writes are joined before they do.
pub struct GatedTables {
    inner: Rc<dyn TableStore>,
    writes: Rc<GroupCommit>,
    lane: Arc<Lane>,
}

impl GatedTables {
    /// Puts a table service behind a lane.
    pub fn new(writes: Rc<GroupCommit>, lane: Arc<Lane>) -> GatedTables {
        GatedTables {
            inner: writes.inner(),
            writes,
            lane,
        }
    }
}

#[async_trait(?Send)]
impl TableStore for GatedTables {
    async fn transact(&self, transaction: Transaction) -> Result<u64, StoreError> {
        self.writes.transact(transaction).await
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let send = || self.inner.get(key);
        self.lane.call(CallClass::of_key(key), send).await
    }

    async fn range(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        let send = || self.inner.range(prefix, after, limit);
        self.lane.call(CallClass::of_key(prefix), send).await
    }

    async fn changes(&self, prefix: &str, after: u64, wait_ms: u32) -> Result<Changes, StoreError> {
        // A call that waits for changes would keep the breaker open for as long as it waits.
        let send = || {
            let wait_ms = if self.lane.answers() { wait_ms } else { 0 };
            self.inner.changes(prefix, after, wait_ms)
        };
        self.lane.call(CallClass::of_key(prefix), send).await
    }
}
