//! Table service behind the gate.

use std::rc::Rc;
use std::sync::Arc;

use async_trait::async_trait;

use super::caller::StoreCaller;
use super::class::CallClass;
use super::group::GroupCommit;
use crate::{Changes, Row, StoreError, TableStore, Transaction};

/// [`TableStore`] whose calls go through the gate and whose writes are merged before.
pub struct GatedTables {
    inner: Rc<dyn TableStore>,
    writes: Rc<GroupCommit>,
    caller: Arc<StoreCaller>,
}

impl GatedTables {
    pub fn new(writes: Rc<GroupCommit>, caller: Arc<StoreCaller>) -> GatedTables {
        GatedTables {
            inner: writes.inner(),
            writes,
            caller,
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
        self.caller.call(CallClass::of_key(key), send).await
    }

    async fn range(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        let send = || self.inner.range(prefix, after, limit);
        self.caller.call(CallClass::of_key(prefix), send).await
    }

    async fn changes(&self, prefix: &str, after: u64, wait_ms: u32) -> Result<Changes, StoreError> {
        // A long poll as a probe would keep the breaker open until it returns.
        let send = || {
            let wait_ms = if self.caller.is_available() {
                wait_ms
            } else {
                0
            };
            self.inner.changes(prefix, after, wait_ms)
        };
        self.caller.call(CallClass::of_key(prefix), send).await
    }
}
