//! State of the object store.

use std::collections::BTreeMap;

use bytes::Bytes;
use dappleyard_platform::{ObjectData, StoreError};

/// State of the object store.
#[derive(Debug)]
pub struct ObjectState {
    objects: BTreeMap<String, Bytes>,
    maximum_bytes: usize,
    written: u64,
    read: u64,
}

impl ObjectState {
    /// No objects.
    pub fn new(maximum_bytes: usize) -> ObjectState {
        ObjectState {
            objects: BTreeMap::new(),
            maximum_bytes,
            written: 0,
            read: 0,
        }
    }

    /// Creates an object unless the name exists.
    pub fn create(&mut self, name: &str, bytes: Bytes) -> Result<(), StoreError> {
        if name.is_empty() || bytes.len() > self.maximum_bytes {
            return Err(StoreError::Invalid {
                reason: format!("{name}: {} bytes", bytes.len()),
            });
        }
        if self.objects.contains_key(name) {
            return Err(StoreError::Conflict {
                key: name.to_owned(),
                actual: None,
            });
        }
        self.written += 1;
        self.objects.insert(name.to_owned(), bytes);
        Ok(())
    }

    /// Reads a part of an object.
    pub fn read(&mut self, name: &str, offset: u64, limit: u64) -> Option<ObjectData> {
        self.read += 1;
        let whole = self.objects.get(name)?;
        let size = whole.len() as u64;
        let start = offset.min(size);
        let end = start.saturating_add(limit).min(size);
        Some(ObjectData {
            bytes: whole.slice(start as usize..end as usize),
            size,
        })
    }

    /// Reads a whole object without counting the read.
    pub fn peek(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }

    /// Removes an object.
    pub fn delete(&mut self, name: &str) {
        self.objects.remove(name);
    }

    /// Names under a prefix after a name, with sizes.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<(String, u64)> {
        let from = prefix.max(after);
        let objects = self.objects.range(from.to_owned()..);
        objects
            .take_while(|(name, _)| name.starts_with(prefix))
            .filter(|(name, _)| after.is_empty() || name.as_str() > after)
            .take(limit)
            .map(|(name, bytes)| (name.clone(), bytes.len() as u64))
            .collect()
    }

    /// Objects created and parts read.
    pub fn counts(&self) -> (u64, u64) {
        (self.written, self.read)
    }
}
