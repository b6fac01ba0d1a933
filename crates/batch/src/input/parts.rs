//! Parts of an uploaded file in the object store, and reads across them.

use bytes::{Bytes, BytesMut};
use dappleyard_store::{ObjectStore, StoreError};
use dappleyard_wire::keys;

/// Maximum number of names in one listing.
const LIST_LIMIT: usize = 1_000;

/// One part of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Object name.
    pub object: String,
    /// Offset in the file.
    pub offset: u64,
    /// Size, bytes.
    pub size: u64,
}

/// Contiguous parts of a file, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartIndex {
    parts: Vec<Part>,
}

impl PartIndex {
    /// Lists the parts of a file up to the first gap.
    pub async fn list(
        objects: &dyn ObjectStore,
        tenant: &str,
        file: &str,
    ) -> Result<PartIndex, StoreError> {
        let prefix = format!("{}/", keys::file_object(tenant, file));
        let mut index = PartIndex::default();
        let mut after = String::new();
        loop {
            let page = objects.list(&prefix, &after, LIST_LIMIT).await?;
            let full = page.len() == LIST_LIMIT;
            for (name, size) in page {
                after.clone_from(&name);
                index.push(&prefix, name, size);
            }
            if !full {
                return Ok(index);
            }
        }
    }

    fn push(&mut self, prefix: &str, name: String, size: u64) {
        let offset = name.strip_prefix(prefix).and_then(|text| text.parse().ok());
        if offset == Some(self.size()) {
            self.parts.push(Part {
                object: name,
                offset: self.size(),
                size,
            });
        }
    }

    /// Total size of the contiguous parts, bytes.
    pub fn size(&self) -> u64 {
        self.parts.last().map_or(0, |part| part.offset + part.size)
    }

    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Reads up to `limit` bytes at `offset`. A read stops at the end of a part; it is empty at the
    /// end of the file.
    pub async fn read(
        &self,
        objects: &dyn ObjectStore,
        offset: u64,
        limit: u64,
    ) -> Result<Bytes, StoreError> {
        let next = self.parts.partition_point(|part| part.offset <= offset);
        let Some(part) = next.checked_sub(1).and_then(|index| self.parts.get(index)) else {
            return Ok(Bytes::new());
        };
        let part_offset = offset - part.offset;
        if part_offset >= part.size {
            return Ok(Bytes::new());
        }
        let data = objects.read(&part.object, part_offset, limit).await?;
        let data = data.ok_or_else(|| StoreError::Invalid {
            reason: format!("part {} is gone", part.object),
        })?;
        Ok(data.bytes)
    }

    /// Reads the range `start..end`.
    pub async fn read_range(
        &self,
        objects: &dyn ObjectStore,
        start: u64,
        end: u64,
    ) -> Result<Bytes, StoreError> {
        let mut buffer = BytesMut::new();
        let mut offset = start;
        while offset < end {
            let bytes = self.read(objects, offset, end - offset).await?;
            if bytes.is_empty() {
                return Err(StoreError::Invalid {
                    reason: format!("the input ends at {offset}, before {end}"),
                });
            }
            offset += bytes.len() as u64;
            buffer.extend_from_slice(&bytes);
        }
        Ok(buffer.freeze())
    }
}
