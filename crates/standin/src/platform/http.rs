//! HTTP interface of the platform's services.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{HttpResponse, web};
use bytes::Bytes;
use dappleyard_store::StoreError;
use dappleyard_store::client::protocol::{
    ChangesBody, ChangesQuery, CommittedBody, ConflictBody, OBJECT_SIZE_HEADER, ObjectBody,
    ObjectPartQuery, ObjectQuery, RangeQuery, RateLimitedBody, RowBody, RowQuery, RowsBody,
    TransactionBody,
};
use derive_more::{Display, Error};

use super::faults::{Action, Service};
use super::host::State;

/// Largest body of a transaction as JSON, bytes.
const MAXIMUM_TRANSACTION_BYTES: usize = 256 * 1024 * 1024;

type Shared = web::Data<Arc<State>>;

/// Error of a response body; closes the connection without a complete response.
#[derive(Debug, Display, Error)]
#[display("response dropped by an injected fault")]
struct ResponseDropped;

/// Registers the routes.
pub(super) fn configure(config: &mut web::ServiceConfig, maximum_object_bytes: usize) {
    let json = web::JsonConfig::default()
        .limit(MAXIMUM_TRANSACTION_BYTES)
        .content_type_required(false);
    let payload = web::PayloadConfig::new(maximum_object_bytes.saturating_add(1));
    config
        .app_data(json)
        .app_data(payload)
        .route("/tables/transact", web::post().to(transact))
        .route("/tables/row", web::get().to(row))
        .route("/tables/range", web::get().to(range))
        .route("/tables/changes", web::get().to(changes))
        .route("/objects/object", web::put().to(create))
        .route("/objects/object", web::get().to(read))
        .route("/objects/object", web::delete().to(delete))
        .route("/objects/list", web::get().to(list))
        .route("/machines", web::get().to(machines));
}

/// Handles a call subject to the rate limit, latency and faults of the service.
async fn with_faults<F>(state: &State, service: Service, handle: impl FnOnce() -> F) -> HttpResponse
where
    F: Future<Output = HttpResponse>,
{
    let (delay, drop_response) = match state.faults.next_action(service) {
        Action::Refuse => return HttpResponse::ServiceUnavailable().body("the service is down"),
        Action::Abort => return aborted_response(),
        Action::Handle {
            delay,
            drop_response,
        } => (delay, drop_response),
    };
    tokio::time::sleep(delay + state.latency(service)).await;
    if let Err(retry_after_ms) = state.admit(service) {
        return HttpResponse::TooManyRequests().json(RateLimitedBody { retry_after_ms });
    }
    let answer = handle().await;
    if drop_response {
        aborted_response()
    } else {
        answer
    }
}

fn aborted_response() -> HttpResponse {
    let lost = futures::stream::iter([Err::<Bytes, ResponseDropped>(ResponseDropped)]);
    HttpResponse::Ok().streaming(lost)
}

fn error_response(error: StoreError) -> HttpResponse {
    match error {
        StoreError::Conflict { key, actual } => {
            HttpResponse::Conflict().json(ConflictBody { key, actual })
        }
        StoreError::Invalid { reason } => HttpResponse::BadRequest().body(reason),
        StoreError::RateLimited { retry_after_ms } => {
            HttpResponse::TooManyRequests().json(RateLimitedBody { retry_after_ms })
        }
        other => HttpResponse::ServiceUnavailable().body(other.to_string()),
    }
}

async fn transact(state: Shared, body: web::Json<TransactionBody>) -> HttpResponse {
    with_faults(&state, Service::Tables, || async {
        match state.transact(body.into_inner().into()) {
            Ok(revision) => HttpResponse::Ok().json(CommittedBody { revision }),
            Err(error) => error_response(error),
        }
    })
    .await
}

async fn row(state: Shared, query: web::Query<RowQuery>) -> HttpResponse {
    with_faults(&state, Service::Tables, || async {
        let row = state.tables.lock().get(&query.key);
        let rows = row.into_iter().map(RowBody::from).collect();
        HttpResponse::Ok().json(RowsBody { rows })
    })
    .await
}

async fn range(state: Shared, query: web::Query<RangeQuery>) -> HttpResponse {
    with_faults(&state, Service::Tables, || async {
        let mut tables = state.tables.lock();
        let rows = tables.range(&query.prefix, &query.after, query.limit);
        drop(tables);
        let rows = rows.into_iter().map(RowBody::from).collect();
        HttpResponse::Ok().json(RowsBody { rows })
    })
    .await
}

async fn changes(state: Shared, query: web::Query<ChangesQuery>) -> HttpResponse {
    with_faults(&state, Service::Tables, || async {
        let wait = Duration::from_millis(query.wait_ms.into());
        let changes = state.changes(&query.prefix, query.after, wait).await;
        HttpResponse::Ok().json(ChangesBody::from(changes))
    })
    .await
}

async fn create(state: Shared, query: web::Query<ObjectQuery>, body: Bytes) -> HttpResponse {
    with_faults(&state, Service::Objects, || async {
        match state.objects.lock().create(&query.name, body) {
            Ok(()) => HttpResponse::Created().finish(),
            Err(error) => error_response(error),
        }
    })
    .await
}

async fn read(state: Shared, query: web::Query<ObjectPartQuery>) -> HttpResponse {
    with_faults(&state, Service::Objects, || async {
        let mut objects = state.objects.lock();
        let part = objects.read(&query.name, query.offset, query.limit);
        drop(objects);
        match part {
            Some(part) => HttpResponse::Ok()
                .insert_header((OBJECT_SIZE_HEADER, part.size.to_string()))
                .body(part.bytes),
            None => HttpResponse::Ok().finish(),
        }
    })
    .await
}

async fn delete(state: Shared, query: web::Query<ObjectQuery>) -> HttpResponse {
    with_faults(&state, Service::Objects, || async {
        state.objects.lock().delete(&query.name);
        HttpResponse::Ok().finish()
    })
    .await
}

async fn list(state: Shared, query: web::Query<RangeQuery>) -> HttpResponse {
    with_faults(&state, Service::Objects, || async {
        let objects = state.objects.lock();
        let listed = objects.list(&query.prefix, &query.after, query.limit);
        drop(objects);
        let listed = listed.into_iter();
        let bodies: Vec<_> = listed
            .map(|(name, size)| ObjectBody { name, size })
            .collect();
        HttpResponse::Ok().json(bodies)
    })
    .await
}

async fn machines(state: Shared) -> HttpResponse {
    with_faults(&state, Service::Machines, || async {
        HttpResponse::Ok().json(state.visible_machines())
    })
    .await
}
