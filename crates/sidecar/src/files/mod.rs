//! Handlers under `/v1/files`.
//!
//! Files are streamed in both directions: an [`upload`] buffers at most one part, and a download
//! reads the next chunk only when the client has consumed the previous one.

mod upload;

use std::rc::Rc;

use actix_web::web::{self, Bytes, Data, Path, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use dappleyard_clock::Instant;
use dappleyard_wire::hash::hash_bytes;
use dappleyard_wire::messages::{FileData, FileRead, FileStat, FileState, call, reply};
use futures::Stream;

use crate::api::batches::FileBody;
use crate::calls::{call, unexpected_reply};
use crate::error::ApiError;
use crate::headers::CallerHeaders;
use crate::worker::Worker;

/// Read size of a download.
const READ_BYTES: u32 = 262_144;

pub fn routes(config: &mut ServiceConfig) {
    config
        .route("/files", web::post().to(upload::upload))
        .route("/files/{id}", web::get().to(get))
        .route("/files/{id}/content", web::get().to(content));
}

async fn get(
    worker: Data<Rc<Worker>>,
    request: HttpRequest,
    id: Path<String>,
) -> Result<HttpResponse, ApiError> {
    let headers = CallerHeaders::read(request.headers(), worker.settings())?;
    let (deadline, key) = (headers.deadline(), hash_bytes(id.as_bytes()));
    let method = call::Method::FileStat(FileStat {
        file_id: id.into_inner(),
        tenant: headers.tenant,
    });
    let file = expect_file(call(&worker, method, key, deadline).await?)?;
    Ok(HttpResponse::Ok().json(FileBody::from(file)))
}

struct Download {
    worker: Rc<Worker>,
    file_id: String,
    tenant: String,
    deadline_ms: u32,
}

impl Download {
    async fn read(&self, offset: u64) -> Result<FileData, ApiError> {
        let method = call::Method::FileRead(FileRead {
            file_id: self.file_id.clone(),
            offset,
            limit: READ_BYTES,
            tenant: self.tenant.clone(),
        });
        let bound = std::time::Duration::from_millis(u64::from(self.deadline_ms));
        let key = hash_bytes(self.file_id.as_bytes());
        match call(&self.worker, method, key, Instant::now() + bound).await? {
            reply::Result::Data(data) if data.offset == offset => Ok(data),
            _ => Err(unexpected_reply().into()),
        }
    }

    /// Records that the caller's connection ends after `sent_bytes` of the file.
    fn record_cut(&self, sent_bytes: u64, error: &ApiError) {
        self.worker.shared.metrics.downloads_cut.inc();
        tracing::warn!(file = self.file_id, sent_bytes, %error, "download cut in the middle");
    }

    /// Streams the file from its first chunk on.
    fn chunks(self, first: FileData) -> impl Stream<Item = Result<Bytes, ApiError>> {
        async_stream::try_stream! {
            let mut chunk = first;
            loop {
                let next = chunk.offset + chunk.data.len() as u64;
                let last = chunk.end || chunk.data.is_empty();
                yield Bytes::from(std::mem::take(&mut chunk.data));
                if last {
                    break;
                }
                chunk = self.read(next).await.inspect_err(|error| self.record_cut(next, error))?;
            }
        }
    }
}

async fn content(
    worker: Data<Rc<Worker>>,
    request: HttpRequest,
    id: Path<String>,
) -> Result<HttpResponse, ApiError> {
    let headers = CallerHeaders::read(request.headers(), worker.settings())?;
    let download = Download {
        worker: (**worker).clone(),
        file_id: id.into_inner(),
        tenant: headers.tenant,
        deadline_ms: headers.deadline_ms,
    };
    let first = download.read(0).await?;
    Ok(HttpResponse::Ok()
        .content_type("application/octet-stream")
        .streaming(Box::pin(download.chunks(first))))
}

fn expect_file(reply: reply::Result) -> Result<FileState, ApiError> {
    match reply {
        reply::Result::File(file) => Ok(file),
        _ => Err(unexpected_reply().into()),
    }
}
