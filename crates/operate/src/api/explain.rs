//! Handlers for explanations and decision records.

use actix_web::web::{Data, Json, Path, Query};
use dappleyard_tables::decisions::Decision;
use serde::Deserialize;

use crate::api::OperateApi;
use crate::api::bodies::{Refused, invalid};
use crate::explain::{Explanation, SubjectRef};

/// Query of `GET /admin/v1/decisions`.
#[derive(Debug, Clone, Deserialize)]
pub struct Limit {
    #[serde(default = "default_limit")]
    limit: usize,
}

fn default_limit() -> usize {
    100
}

/// `GET /admin/v1/decisions?limit=N`: the latest records of this node.
pub async fn recent(api: Data<OperateApi>, limit: Query<Limit>) -> Json<Vec<Decision>> {
    Json(api.tables.decisions.recent(limit.limit))
}

/// `GET /admin/v1/decisions/{kind}/{id}`: records of this node about a subject.
pub async fn local(
    api: Data<OperateApi>,
    path: Path<(String, String)>,
) -> Result<Json<Vec<Decision>>, Refused> {
    let subject_ref = subject_ref(path.into_inner())?;
    Ok(Json(api.tables.decisions.about(&subject_ref.subject())))
}

/// `GET /admin/v1/explain/{kind}/{id}`: records of the whole fleet about a subject, as text.
pub async fn explain(
    api: Data<OperateApi>,
    path: Path<(String, String)>,
) -> Result<Json<Explanation>, Refused> {
    let subject_ref = subject_ref(path.into_inner())?;
    let explanation = crate::explain::explain(&api.tables, &api.platform, &api.peers, &subject_ref);
    Ok(Json(explanation.await))
}

fn subject_ref((kind, id): (String, String)) -> Result<SubjectRef, Refused> {
    SubjectRef::parse(&kind, &id).ok_or_else(|| {
        invalid(format!(
            "{kind} cannot be explained; ask for a request, job, server, service, node or plan"
        ))
    })
}
