//! Port of the object store.

use async_trait::async_trait;
use bytes::Bytes;

use crate::tables::StoreError;

/// A part of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObjectData {
    /// Bytes from the offset asked for.
    pub bytes: Bytes,
    /// Size of the whole object, bytes.
    pub size: u64,
}

/// The platform's object store.
#[async_trait(?Send)]
pub trait ObjectStore {
    /// Creates an object; [`StoreError::Conflict`] when the name exists already.
    async fn create(&self, name: &str, bytes: Bytes) -> Result<(), StoreError>;

    /// Reads up to `limit` bytes from `offset`; `None` when there is no such object.
    async fn read(
        &self,
        name: &str,
        offset: u64,
        limit: u64,
    ) -> Result<Option<ObjectData>, StoreError>;

    /// Removes an object; no error when it is absent.
    async fn delete(&self, name: &str) -> Result<(), StoreError>;

    /// Names that start with `prefix` and are greater than `after`, in order, with their sizes.
    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(String, u64)>, StoreError>;
}
