//! Trait of the object store.

use async_trait::async_trait;
use bytes::Bytes;

use crate::tables::StoreError;

/// Part of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObjectData {
    /// Bytes from the requested offset.
    pub bytes: Bytes,
    /// Size of the whole object, bytes.
    pub size: u64,
}

/// Object store of the platform.
#[async_trait(?Send)]
pub trait ObjectStore {
    /// Creates an object; [`StoreError::Conflict`] if the name exists.
    async fn create(&self, name: &str, bytes: Bytes) -> Result<(), StoreError>;

    /// Reads up to `limit` bytes from `offset`; `None` if the object does not exist.
    async fn read(
        &self,
        name: &str,
        offset: u64,
        limit: u64,
    ) -> Result<Option<ObjectData>, StoreError>;

    /// Removes an object; no error if it does not exist.
    async fn delete(&self, name: &str) -> Result<(), StoreError>;

    /// Lists names and sizes of objects whose names start with `prefix` and are greater than `after`, in order.
    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(String, u64)>, StoreError>;
}
