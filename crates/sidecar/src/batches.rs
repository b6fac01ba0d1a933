//! Handlers under `/v1/batches`.
//!
//! Creates are idempotent: the client key is taken from the `Idempotency-Key` header, else from the
//! metadata, else generated once and reused by all attempts of the call.

use std::rc::Rc;

use actix_web::web::{self, Data, Path, Payload, Query, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use dappleyard_wire::hash::hash_bytes;
use dappleyard_wire::ids::RequestId;
use dappleyard_wire::messages::{JobCancel, JobGet, JobList, JobState, JobSubmit, call, reply};
use serde::Deserialize;

use crate::api::batches::{BatchBody, BatchCreateBody, CLIENT_KEY, ListBody};
use crate::calls::{call, unexpected_reply};
use crate::error::ApiError;
use crate::headers::{CallerHeaders, MAXIMUM_NAME_BYTES, is_valid_name};
use crate::request_body::{parse_json, read_body};
use crate::worker::Worker;

/// Default page size.
const DEFAULT_LIMIT: u32 = 20;
/// Maximum page size.
const MAXIMUM_LIMIT: u32 = 100;
/// Endpoints supported in batches.
const ENDPOINTS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];
/// Maximum number of metadata entries.
const MAXIMUM_METADATA: usize = 16;

pub fn routes(config: &mut ServiceConfig) {
    config
        .route("/batches", web::post().to(create))
        .route("/batches", web::get().to(list))
        .route("/batches/{id}", web::get().to(get))
        .route("/batches/{id}/cancel", web::post().to(cancel));
}

async fn create(
    worker: Data<Rc<Worker>>,
    request: HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, ApiError> {
    let headers = CallerHeaders::read(request.headers(), worker.settings())?;
    let _slot = worker.acquire_request_slot()?;
    let body = read_body(&request, payload, worker.settings()).await?;
    let body: BatchCreateBody = parse_json(&body)?;
    validate(&body)?;
    let client_key = client_key(&body, &headers)?;
    let key = hash_bytes(client_key.as_bytes());
    let submit = JobSubmit {
        tenant: headers.tenant.clone(),
        client_key,
        completion_window_s: body.window_seconds()?,
        input_file_id: body.input_file_id,
        endpoint: body.endpoint,
        repeat: headers.repeat as i32,
        metadata: body.metadata.unwrap_or_default().into_iter().collect(),
    };
    let method = call::Method::JobSubmit(submit);
    let job = expect_job(call(&worker, method, key, headers.deadline()).await?)?;
    Ok(HttpResponse::Ok().json(BatchBody::from(job)))
}

fn validate(body: &BatchCreateBody) -> Result<(), ApiError> {
    if !ENDPOINTS.contains(&body.endpoint.as_str()) {
        return Err(ApiError::invalid(
            "endpoint",
            format!("endpoint must be one of {}", ENDPOINTS.join(", ")),
        ));
    }
    if !is_valid_name(&body.input_file_id) {
        return Err(ApiError::invalid(
            "input_file_id",
            "input_file_id must be the id of an uploaded file",
        ));
    }
    if body
        .metadata
        .as_ref()
        .is_some_and(|m| m.len() > MAXIMUM_METADATA)
    {
        return Err(ApiError::invalid(
            "metadata",
            format!("metadata may have at most {MAXIMUM_METADATA} entries"),
        ));
    }
    Ok(())
}

fn client_key(body: &BatchCreateBody, headers: &CallerHeaders) -> Result<String, ApiError> {
    if !headers.idempotency_key.is_empty() {
        return Ok(headers.idempotency_key.clone());
    }
    match body.metadata.as_ref().and_then(|m| m.get(CLIENT_KEY)) {
        None => Ok(RequestId::random().to_string()),
        Some(key) if is_valid_name(key) => Ok(key.clone()),
        Some(_) => Err(ApiError::invalid(
            format!("metadata.{CLIENT_KEY}"),
            format!("metadata.{CLIENT_KEY} must be 1 to {MAXIMUM_NAME_BYTES} letters or digits"),
        )),
    }
}

async fn get(
    worker: Data<Rc<Worker>>,
    request: HttpRequest,
    id: Path<String>,
) -> Result<HttpResponse, ApiError> {
    let headers = CallerHeaders::read(request.headers(), worker.settings())?;
    let (deadline, key) = (headers.deadline(), hash_bytes(id.as_bytes()));
    let method = call::Method::JobGet(JobGet {
        tenant: headers.tenant,
        job_id: id.into_inner(),
    });
    let job = expect_job(call(&worker, method, key, deadline).await?)?;
    Ok(HttpResponse::Ok().json(BatchBody::from(job)))
}

async fn cancel(
    worker: Data<Rc<Worker>>,
    request: HttpRequest,
    id: Path<String>,
) -> Result<HttpResponse, ApiError> {
    let headers = CallerHeaders::read(request.headers(), worker.settings())?;
    let (deadline, key) = (headers.deadline(), hash_bytes(id.as_bytes()));
    let method = call::Method::JobCancel(JobCancel {
        tenant: headers.tenant,
        job_id: id.into_inner(),
    });
    let job = expect_job(call(&worker, method, key, deadline).await?)?;
    Ok(HttpResponse::Ok().json(BatchBody::from(job)))
}

/// Query parameters of `GET /v1/batches`.
#[derive(Debug, Deserialize)]
struct ListQuery {
    after: Option<String>,
    limit: Option<u32>,
}

async fn list(
    worker: Data<Rc<Worker>>,
    request: HttpRequest,
    query: Query<ListQuery>,
) -> Result<HttpResponse, ApiError> {
    let headers = CallerHeaders::read(request.headers(), worker.settings())?;
    let deadline = headers.deadline();
    let query = query.into_inner();
    let method = call::Method::JobList(JobList {
        tenant: headers.tenant,
        after: query.after.unwrap_or_default(),
        limit: query.limit.unwrap_or(DEFAULT_LIMIT).clamp(1, MAXIMUM_LIMIT),
    });
    let reply::Result::Jobs(found) = call(&worker, method, 0, deadline).await? else {
        return Err(unexpected_reply().into());
    };
    let data: Vec<BatchBody> = found.jobs.into_iter().map(BatchBody::from).collect();
    Ok(HttpResponse::Ok().json(ListBody {
        object: "list",
        first_id: data.first().map(|batch| batch.id().to_owned()),
        last_id: data.last().map(|batch| batch.id().to_owned()),
        has_more: found.more,
        data,
    }))
}

fn expect_job(reply: reply::Result) -> Result<JobState, ApiError> {
    match reply {
        reply::Result::Job(job) => Ok(job),
        _ => Err(unexpected_reply().into()),
    }
}
