//! State of the object store: objects, size limit and call counts.

use bytes::Bytes;
use dappleyard_store::memory::objects::Objects;
use dappleyard_store::{ObjectData, StoreError};

/// State of the object store.
#[derive(Debug)]
pub struct ObjectState {
    objects: Objects,
    maximum_bytes: usize,
    written: u64,
    read: u64,
}

impl ObjectState {
    /// Creates an empty store.
    pub fn new(maximum_bytes: usize) -> ObjectState {
        ObjectState {
            objects: Objects::default(),
            maximum_bytes,
            written: 0,
            read: 0,
        }
    }

    /// Creates an object; fails with a conflict if the name exists.
    pub fn create(&mut self, name: &str, bytes: Bytes) -> Result<(), StoreError> {
        if name.is_empty() || bytes.len() > self.maximum_bytes {
            return Err(StoreError::Invalid {
                reason: format!("{name}: {} bytes", bytes.len()),
            });
        }
        self.objects.create(name, bytes)?;
        self.written += 1;
        Ok(())
    }

    /// Reads a part of an object.
    pub fn read(&mut self, name: &str, offset: u64, limit: u64) -> Option<ObjectData> {
        self.read += 1;
        self.objects.read(name, offset, limit)
    }

    /// Reads an object without counting the read.
    pub fn peek(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }

    pub fn delete(&mut self, name: &str) {
        self.objects.delete(name);
    }

    /// Names and sizes of objects under a prefix that sort after `after`.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<(String, u64)> {
        self.objects.list(prefix, after, limit)
    }

    /// Number of objects created and of reads.
    pub fn counts(&self) -> (u64, u64) {
        (self.written, self.read)
    }
}
