//! Uploaded files. Each part is written to the object store as it arrives; the file's row is
//! written when the file is sealed.

use std::cell::RefCell;
use std::collections::VecDeque;

use bytes::Bytes;
use dappleyard_store::tables::Expect;
use dappleyard_store::{StoreError, Transaction};
use dappleyard_wire::messages::{
    FileAppend, FileCreate, FileData, FileRead, FileRow, FileSeal, FileStat, FileState,
};
use dappleyard_wire::{ErrorKind, Failure, keys};
use prost::Message;
use xxhash_rust::xxh3::Xxh3;

use super::{JobsApi, check_name};
use crate::input::PartIndex;
use crate::store::{self, WriteOutcome};

const FILE_ID_PREFIX: &str = "file-";
/// Size of a read when a file is hashed from its parts, bytes.
const HASH_READ_BYTES: u64 = 1024 * 1024;
/// Maximum number of uploads whose incremental hash is kept; the oldest is dropped.
const MAXIMUM_UPLOADS: usize = 64;

/// Incremental hashes of files whose parts arrive at this worker in order.
#[derive(Default)]
pub struct UploadHashes {
    open: RefCell<VecDeque<UploadHash>>,
}

struct UploadHash {
    file: String,
    size: u64,
    hash: Xxh3,
}

impl UploadHashes {
    fn begin(&self, file: &str) {
        let mut open = self.open.borrow_mut();
        if open.len() == MAXIMUM_UPLOADS {
            open.pop_front();
        }
        open.push_back(UploadHash {
            file: file.to_owned(),
            size: 0,
            hash: Xxh3::new(),
        });
    }

    fn extend(&self, file: &str, offset: u64, bytes: &[u8]) {
        let mut open = self.open.borrow_mut();
        let upload = open.iter_mut().find(|upload| upload.file == file);
        if let Some(upload) = upload.filter(|upload| upload.size == offset) {
            upload.hash.update(bytes);
            upload.size += bytes.len() as u64;
        }
    }

    fn take(&self, file: &str) -> Option<UploadHash> {
        let mut open = self.open.borrow_mut();
        let index = open.iter().position(|upload| upload.file == file)?;
        open.remove(index)
    }
}

/// Object that holds the name and purpose of a file. Its name is not an offset, so [`PartIndex`]
/// does not take it for a part.
fn metadata_object(tenant: &str, file: &str) -> String {
    format!("{}/head", keys::file_object(tenant, file))
}

impl JobsApi {
    pub(super) async fn create_file(&self, call: FileCreate) -> Result<FileState, Failure> {
        check_name("the tenant", &call.tenant)?;
        let file_id = format!("{FILE_ID_PREFIX}{}", uuid::Uuid::now_v7().simple());
        let name = metadata_object(&call.tenant, &file_id);
        self.create_object(&name, call.encode_to_vec().into())
            .await?;
        self.upload_hashes.begin(&file_id);
        Ok(FileState {
            file_id,
            filename: call.filename,
            purpose: call.purpose,
            created_unix_s: self.now_unix_s(),
            ..FileState::default()
        })
    }

    pub(super) async fn append_file(&self, call: FileAppend) -> Result<FileState, Failure> {
        check_name("the tenant", &call.tenant)?;
        check_name("the file", &call.file_id)?;
        if call.data.len() > self.maximum_part_bytes {
            let message = format!("a part has at most {} bytes", self.maximum_part_bytes);
            return Err(Failure::not_run(ErrorKind::TooLarge, message));
        }
        let name = keys::file_part(&call.tenant, &call.file_id, call.offset);
        let bytes = Bytes::from(call.data);
        self.create_object(&name, bytes.clone()).await?;
        self.upload_hashes
            .extend(&call.file_id, call.offset, &bytes);
        Ok(FileState {
            file_id: call.file_id,
            size: call.offset + bytes.len() as u64,
            ..FileState::default()
        })
    }

    /// Creates an object. An existing object with the same content counts as success, since an
    /// earlier attempt may have written it.
    async fn create_object(&self, name: &str, bytes: Bytes) -> Result<(), Failure> {
        let objects = &self.platform.objects;
        match objects.create(name, bytes.clone()).await {
            Ok(()) => Ok(()),
            Err(StoreError::Conflict { .. } | StoreError::Ambiguous { .. }) => {
                let stored = objects.read(name, 0, bytes.len() as u64 + 1).await;
                match stored.map_err(|error| store::failure(&error))? {
                    Some(data) if data.bytes == bytes => Ok(()),
                    Some(_) => Err(Failure::not_run(
                        ErrorKind::Conflict,
                        format!("part {name} exists with other content"),
                    )),
                    None => Err(store::failure(&StoreError::Unavailable {
                        reason: format!("part {name} was not stored"),
                    })),
                }
            }
            Err(error) => Err(store::failure(&error)),
        }
    }

    pub(super) async fn seal_file(&self, call: FileSeal) -> Result<FileState, Failure> {
        check_name("the tenant", &call.tenant)?;
        check_name("the file", &call.file_id)?;
        let parts = PartIndex::list(&*self.platform.objects, &call.tenant, &call.file_id).await;
        let parts = parts.map_err(|error| store::failure(&error))?;
        if parts.size() != call.size {
            return Err(Failure::not_run(
                ErrorKind::InvalidRequest,
                format!("{} of {} bytes are stored", parts.size(), call.size),
            ));
        }
        let upload = self.upload_hashes.take(&call.file_id);
        let known = upload.filter(|upload| upload.size == call.size);
        let content_hash = match known {
            Some(upload) => upload.hash.digest(),
            None => self.hash_content(&parts).await?,
        };
        let metadata = self.read_metadata(&call.tenant, &call.file_id).await?;
        let row = FileRow {
            state: Some(FileState {
                file_id: call.file_id,
                filename: metadata.filename,
                purpose: metadata.purpose,
                size: call.size,
                created_unix_s: self.now_unix_s(),
                sealed: true,
            }),
            tenant: call.tenant,
            content_hash,
        };
        self.write_file_row(row).await
    }

    /// Reads the name and purpose given when the upload was created, possibly on another node.
    async fn read_metadata(&self, tenant: &str, file: &str) -> Result<FileCreate, Failure> {
        let name = metadata_object(tenant, file);
        let read = self.platform.objects.read(&name, 0, HASH_READ_BYTES).await;
        let data = read.map_err(|error| store::failure(&error))?;
        let metadata = data.and_then(|data| FileCreate::decode(data.bytes).ok());
        Ok(metadata.unwrap_or_default())
    }

    async fn hash_content(&self, parts: &PartIndex) -> Result<u64, Failure> {
        let mut hash = Xxh3::new();
        let mut offset = 0;
        while offset < parts.size() {
            let bytes = parts
                .read(&*self.platform.objects, offset, HASH_READ_BYTES)
                .await
                .map_err(|error| store::failure(&error))?;
            hash.update(&bytes);
            offset += bytes.len() as u64;
        }
        Ok(hash.digest())
    }

    /// Writes the row of a sealed file. An existing row is kept and its state returned, so that
    /// sealing is idempotent.
    async fn write_file_row(&self, row: FileRow) -> Result<FileState, Failure> {
        let state = row.state.clone().unwrap_or_default();
        let key = keys::file(&row.tenant, &state.file_id);
        let transaction = Transaction::default()
            .expect(key.as_str(), Expect::Absent)
            .put(key.as_str(), row.encode_to_vec());
        let applied =
            store::transact_resolved(&*self.platform.tables, &transaction, &key, |_| true).await;
        match applied.map_err(|error| store::failure(&error))? {
            WriteOutcome::Written { .. } => Ok(state),
            WriteOutcome::Conflict => {
                let known = self.file_row(&row.tenant, &state.file_id).await?;
                Ok(known.state.unwrap_or_default())
            }
        }
    }

    pub(super) async fn file_row(&self, tenant: &str, file: &str) -> Result<FileRow, Failure> {
        let key = keys::file(tenant, file);
        let row = store::read_row::<FileRow>(&*self.platform.tables, &key).await;
        let row = row.map_err(|error| store::failure(&error))?;
        row.map(|read| read.row)
            .ok_or_else(|| Failure::not_run(ErrorKind::NotFound, format!("no file {file}")))
    }

    pub(super) async fn stat_file(&self, call: FileStat) -> Result<FileState, Failure> {
        if let Some(result) = self.stat_result(&call).await? {
            return Ok(result);
        }
        let row = self.file_row(&call.tenant, &call.file_id).await?;
        Ok(row.state.unwrap_or_default())
    }

    pub(super) async fn read_file(&self, call: FileRead) -> Result<FileData, Failure> {
        if let Some(data) = self.read_result(&call).await? {
            return Ok(data);
        }
        let row = self.file_row(&call.tenant, &call.file_id).await?;
        let size = row.state.map_or(0, |state| state.size);
        let objects = &*self.platform.objects;
        let parts = PartIndex::list(objects, &call.tenant, &call.file_id).await;
        let parts = parts.map_err(|error| store::failure(&error))?;
        let bytes = parts
            .read(objects, call.offset, u64::from(call.limit))
            .await;
        let bytes = bytes.map_err(|error| store::failure(&error))?;
        Ok(FileData {
            offset: call.offset,
            end: call.offset + bytes.len() as u64 >= size,
            data: bytes.to_vec(),
        })
    }
}
