//! Object store behind the gate.

use std::rc::Rc;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;

use super::caller::StoreCaller;
use super::class::CallClass;
use crate::{ObjectData, ObjectStore, StoreError};

/// [`ObjectStore`] whose calls go through the gate.
pub struct GatedObjects {
    inner: Rc<dyn ObjectStore>,
    caller: Arc<StoreCaller>,
}

impl GatedObjects {
    pub fn new(inner: Rc<dyn ObjectStore>, caller: Arc<StoreCaller>) -> GatedObjects {
        GatedObjects { inner, caller }
    }
}

fn class_of(name: &str) -> CallClass {
    match name.starts_with("files/") || name.starts_with("results/") {
        true => CallClass::Critical,
        false => CallClass::of_key(name),
    }
}

#[async_trait(?Send)]
impl ObjectStore for GatedObjects {
    async fn create(&self, name: &str, bytes: Bytes) -> Result<(), StoreError> {
        let send = || self.inner.create(name, bytes.clone());
        self.caller.call(class_of(name), send).await
    }

    async fn read(
        &self,
        name: &str,
        offset: u64,
        limit: u64,
    ) -> Result<Option<ObjectData>, StoreError> {
        let send = || self.inner.read(name, offset, limit);
        self.caller.call(class_of(name), send).await
    }

    async fn delete(&self, name: &str) -> Result<(), StoreError> {
        let send = || self.inner.delete(name);
        self.caller.call(CallClass::Journal, send).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(String, u64)>, StoreError> {
        let send = || self.inner.list(prefix, after, limit);
        self.caller.call(class_of(prefix), send).await
    }
}
