//! In-memory objects.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::objects::ObjectData;
use crate::tables::StoreError;

/// Objects by name.
#[derive(Debug, Default)]
pub struct Objects {
    objects: BTreeMap<String, Bytes>,
}

impl Objects {
    /// Creates an object; fails if the name exists.
    pub fn create(&mut self, name: &str, bytes: Bytes) -> Result<(), StoreError> {
        if self.objects.contains_key(name) {
            return Err(StoreError::Conflict {
                key: name.to_owned(),
                actual: None,
            });
        }
        self.objects.insert(name.to_owned(), bytes);
        Ok(())
    }

    /// Returns a whole object.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.objects.get(name)
    }

    /// Returns part of an object.
    pub fn read(&self, name: &str, offset: u64, limit: u64) -> Option<ObjectData> {
        let whole = self.objects.get(name)?;
        let size = whole.len() as u64;
        let start = offset.min(size);
        let end = start.saturating_add(limit).min(size);
        Some(ObjectData {
            bytes: whole.slice(start as usize..end as usize),
            size,
        })
    }

    pub fn delete(&mut self, name: &str) {
        self.objects.remove(name);
    }

    /// Lists names greater than `after` under a prefix, in order, with their sizes.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<(String, u64)> {
        let from = prefix.max(after).to_owned();
        let objects = self.objects.range(from..);
        objects
            .take_while(|(name, _)| name.starts_with(prefix))
            .filter(|(name, _)| after.is_empty() || name.as_str() > after)
            .take(limit)
            .map(|(name, bytes)| (name.clone(), bytes.len() as u64))
            .collect()
    }
}
