//! The object store behind the gate.

use std::rc::Rc;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;

use super::class::CallClass;
use super::lane::Lane;
use crate::{ObjectData, ObjectStore, StoreError};

/// An object store whose calls go through a lane.
pub struct GatedObjects {
    inner: Rc<dyn ObjectStore>,
    lane: Arc<Lane>,
}

impl GatedObjects {
    /// Puts a store behind a lane.
    pub fn new(inner: Rc<dyn ObjectStore>, lane: Arc<Lane>) -> GatedObjects {
        GatedObjects { inner, lane }
    }
}

fn class_of(name: &str) -> CallClass {
    match name.starts_with("files/") || name.starts_with("results/") {
        true => CallClass::Promise,
        false => CallClass::of_key(name),
    }
}

#[async_trait(?Send)]
impl ObjectStore for GatedObjects {
    async fn create(&self, name: &str, bytes: Bytes) -> Result<(), StoreError> {
        let send = || self.inner.create(name, bytes.clone());
        self.lane.call(class_of(name), send).await
    }

    async fn read(
        &self,
        name: &str,
        offset: u64,
        limit: u64,
    ) -> Result<Option<ObjectData>, StoreError> {
        let send = || self.inner.read(name, offset, limit);
        self.lane.call(class_of(name), send).await
    }

    async fn delete(&self, name: &str) -> Result<(), StoreError> {
        let send = || self.inner.delete(name);
        self.lane.call(CallClass::Journal, send).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(String, u64)>, StoreError> {
        let send = || self.inner.list(prefix, after, limit);
        self.lane.call(class_of(prefix), send).await
    }
}
