//! Handlers under `/v1/models`.

use std::rc::Rc;

use actix_web::web::{Data, Path};
use actix_web::{HttpRequest, HttpResponse};
use dappleyard_wire::messages::{ListModels, ModelEntry, call, reply};
use dappleyard_wire::{ErrorKind, Failure};
use serde::Serialize;

use crate::calls::{call, unexpected_reply};
use crate::error::ApiError;
use crate::headers::CallerHeaders;
use crate::worker::Worker;

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ModelBody {
    /// Service, or `service:adapter`.
    pub id: String,
    pub object: &'static str,
    /// Always 0: the time is not known.
    pub created: u64,
    pub owned_by: &'static str,
    /// Active version.
    pub version: String,
}

#[derive(Debug, Serialize)]
pub struct ModelListBody {
    pub object: &'static str,
    pub data: Vec<ModelBody>,
}

/// `GET /v1/models`.
pub async fn list(
    worker: Data<Rc<Worker>>,
    request: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    let data = models(&worker, &request).await?;
    Ok(HttpResponse::Ok().json(ModelListBody {
        object: "list",
        data,
    }))
}

/// `GET /v1/models/{id}`.
pub async fn get(
    worker: Data<Rc<Worker>>,
    request: HttpRequest,
    id: Path<String>,
) -> Result<HttpResponse, ApiError> {
    let found = models(&worker, &request)
        .await?
        .into_iter()
        .find(|model| model.id == *id);
    match found {
        Some(model) => Ok(HttpResponse::Ok().json(model)),
        None => {
            let message = format!("no model {id:?}; GET /v1/models lists them");
            Err(Failure::not_run(ErrorKind::UnknownModel, message).into())
        }
    }
}

async fn models(worker: &Worker, request: &HttpRequest) -> Result<Vec<ModelBody>, ApiError> {
    let headers = CallerHeaders::read(request.headers(), worker.settings())?;
    let deadline = headers.deadline();
    let method = call::Method::ListModels(ListModels {
        tenant: headers.tenant,
    });
    match call(worker, method, 0, deadline).await? {
        reply::Result::Models(list) => Ok(list.models.iter().flat_map(bodies).collect()),
        _ => Err(unexpected_reply().into()),
    }
}

fn bodies(entry: &ModelEntry) -> Vec<ModelBody> {
    let names = std::iter::once(entry.service.clone()).chain(
        entry
            .adapters
            .iter()
            .map(|adapter| format!("{}:{adapter}", entry.service)),
    );
    names
        .map(|id| ModelBody {
            id,
            object: "model",
            created: 0,
            owned_by: "dappleyard",
            version: entry.version.clone(),
        })
        .collect()
}
