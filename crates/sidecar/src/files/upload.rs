//! Uploads a file from multipart form data to a node, in parts.

use std::rc::Rc;
use std::time::Duration;

use actix_multipart::{Field, Multipart};
use actix_web::web::{Bytes, BytesMut, Data};
use actix_web::{HttpRequest, HttpResponse};
use dappleyard_callers::connection_of;
use dappleyard_wire::messages::{FileAppend, FileCreate, FileSeal, FileState, call};
use futures::StreamExt;
use rand::Rng;

use super::expect_file;
use crate::api::batches::FileBody;
use crate::calls::call;
use crate::error::ApiError;
use crate::headers::CallerHeaders;
use crate::request_body::{body_timeout, body_too_large};
use crate::worker::Worker;

/// Size of the parts sent to a node.
const PART_BYTES: usize = 524_288;
/// The only supported purpose.
const PURPOSE: &str = "batch";
/// Maximum size of form fields other than the file.
const MAXIMUM_VALUE_BYTES: usize = 1_024;
/// Maximum length of a file name, characters; longer names are truncated.
const MAXIMUM_FILENAME: usize = 256;

/// `POST /v1/files`.
pub async fn upload(
    worker: Data<Rc<Worker>>,
    request: HttpRequest,
    mut form: Multipart,
) -> Result<HttpResponse, ApiError> {
    let headers = CallerHeaders::read(request.headers(), worker.settings())?;
    let _slot = worker.acquire_upload_slot()?;
    if let Some(connection) = connection_of(&request) {
        connection.allow_body(worker.settings().maximum_file_bytes as usize);
    }
    let mut purpose = None;
    let mut uploaded = None;
    while let Some(mut field) = next_with_timeout(&worker, form.next()).await? {
        match field.name().unwrap_or_default() {
            "purpose" => purpose = Some(read_purpose(&worker, &mut field).await?),
            "file" if uploaded.is_none() => {
                let upload = Upload::create(&worker, &headers, &field).await?;
                uploaded = Some(upload.send(&mut field).await?);
            }
            _ => discard_field(&worker, &mut field).await?,
        }
    }
    if purpose.is_none() {
        return Err(ApiError::invalid(
            "purpose",
            "the form has no purpose; it must be \"batch\"",
        ));
    }
    let Some(upload) = uploaded else {
        return Err(ApiError::invalid("file", "the form has no file"));
    };
    let file = upload.seal().await?;
    Ok(HttpResponse::Ok().json(FileBody::from(file)))
}

/// An upload in progress. Unsealed files are not visible, and the node removes them.
struct Upload<'a> {
    worker: &'a Worker,
    headers: &'a CallerHeaders,
    file_id: String,
    /// Node selection key: all parts go to the same node while it is available.
    key: u64,
    size: u64,
}

impl<'a> Upload<'a> {
    async fn create(
        worker: &'a Worker,
        headers: &'a CallerHeaders,
        field: &Field,
    ) -> Result<Upload<'a>, ApiError> {
        let name = field
            .content_disposition()
            .and_then(|disposition| disposition.get_filename())
            .unwrap_or("upload.jsonl");
        let method = call::Method::FileCreate(FileCreate {
            tenant: headers.tenant.clone(),
            filename: name.chars().take(MAXIMUM_FILENAME).collect(),
            purpose: PURPOSE.to_owned(),
        });
        let key = rand::rng().random();
        let state = expect_file(call(worker, method, key, headers.deadline()).await?)?;
        Ok(Upload {
            worker,
            headers,
            file_id: state.file_id,
            key,
            size: 0,
        })
    }

    async fn send(mut self, field: &mut Field) -> Result<Upload<'a>, ApiError> {
        let mut part = BytesMut::with_capacity(PART_BYTES);
        while let Some(bytes) = next_with_timeout(self.worker, field.next()).await? {
            self.check_size(part.len() + bytes.len())?;
            let mut rest: Bytes = bytes;
            while !rest.is_empty() {
                let room = PART_BYTES - part.len();
                part.extend_from_slice(&rest.split_to(room.min(rest.len())));
                if part.len() == PART_BYTES {
                    self.append(part.split()).await?;
                    part.reserve(PART_BYTES);
                }
            }
        }
        if !part.is_empty() {
            self.append(part).await?;
        }
        Ok(self)
    }

    fn check_size(&self, more: usize) -> Result<(), ApiError> {
        let limit = self.worker.settings().maximum_file_bytes;
        if self.size + more as u64 > limit {
            return Err(body_too_large(limit));
        }
        Ok(())
    }

    async fn append(&mut self, part: BytesMut) -> Result<(), ApiError> {
        let size = part.len() as u64;
        let method = call::Method::FileAppend(FileAppend {
            file_id: self.file_id.clone(),
            offset: self.size,
            data: part.to_vec(),
            tenant: self.headers.tenant.clone(),
        });
        expect_file(self.call(method).await?)?;
        self.size += size;
        Ok(())
    }

    async fn seal(self) -> Result<FileState, ApiError> {
        let method = call::Method::FileSeal(FileSeal {
            file_id: self.file_id.clone(),
            size: self.size,
            tenant: self.headers.tenant.clone(),
        });
        expect_file(self.call(method).await?)
    }

    async fn call(
        &self,
        method: call::Method,
    ) -> Result<dappleyard_wire::messages::reply::Result, ApiError> {
        Ok(call(self.worker, method, self.key, self.headers.deadline()).await?)
    }
}

/// Waits for the next part of the form; the timeout applies to each part.
async fn next_with_timeout<T>(
    worker: &Worker,
    next: impl Future<Output = Option<Result<T, actix_multipart::MultipartError>>>,
) -> Result<Option<T>, ApiError> {
    let timeout_ms = worker.settings().body_timeout_ms;
    match tokio::time::timeout(Duration::from_millis(timeout_ms), next).await {
        Ok(part) => part
            .transpose()
            .map_err(|error| ApiError::invalid("", format!("the form could not be read: {error}"))),
        Err(_) => Err(body_timeout(timeout_ms)),
    }
}

async fn read_purpose(worker: &Worker, field: &mut Field) -> Result<(), ApiError> {
    let mut value = Vec::new();
    while let Some(bytes) = next_with_timeout(worker, field.next()).await? {
        value.extend_from_slice(&bytes);
        if value.len() > MAXIMUM_VALUE_BYTES {
            break;
        }
    }
    if value == PURPOSE.as_bytes() {
        return Ok(());
    }
    Err(ApiError::invalid("purpose", "purpose must be \"batch\""))
}

/// Consumes an unused field, which must be read before the next one.
async fn discard_field(worker: &Worker, field: &mut Field) -> Result<(), ApiError> {
    let mut size = 0;
    while let Some(bytes) = next_with_timeout(worker, field.next()).await? {
        size += bytes.len();
        if size > MAXIMUM_VALUE_BYTES {
            return Err(ApiError::invalid(
                field.name().unwrap_or_default(),
                "the form has an unknown field that is too long",
            ));
        }
    }
    Ok(())
}
