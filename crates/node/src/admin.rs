//! The admin HTTP server: metrics, health checks and the operator API.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use actix_web::body::BoxBody;
use actix_web::dev::{Payload, ServerHandle, ServiceRequest, ServiceResponse};
use actix_web::error::{
    ErrorBadRequest, ErrorPayloadTooLarge, ErrorRequestTimeout, ErrorServiceUnavailable,
};
use actix_web::http::ConnectionType;
use actix_web::http::header::RETRY_AFTER;
use actix_web::middleware::{Next, from_fn};
use actix_web::{App, HttpMessage, HttpResponse, web};
use dappleyard_callers::{
    BodyError, BodyLimits, CallerConnection, ConnectionGate, ServerOptions, read_body, serve,
};
use dappleyard_operate::OperateApi;
use dappleyard_settings::OperateSettings;
use dappleyard_store::PlatformFactory;
use dappleyard_tables::{Lifecycle, NodeTables};
use dappleyard_transport::RequestGate;
use prometheus::TextEncoder;

/// Largest request body that the admin server accepts, bytes.
const MAXIMUM_BODY_BYTES: usize = 1_048_576;
const BODY_LIMITS: BodyLimits = BodyLimits {
    bytes: MAXIMUM_BODY_BYTES,
    stall: Duration::from_secs(10),
};
/// Retry-after hint of a request that came after the last one served, seconds.
const STOPPING_RETRY_AFTER_S: u32 = 1;

/// Starts the server on its own worker thread.
pub fn start(
    listener: TcpListener,
    connections: &Arc<ConnectionGate>,
    tables: Arc<NodeTables>,
    settings: OperateSettings,
    platform: PlatformFactory,
    gate: Arc<RequestGate>,
) -> std::io::Result<ServerHandle> {
    let shared_connections = connections.clone();
    let app = move || {
        let api = OperateApi::new(tables.clone(), settings.clone(), platform());
        App::new()
            .app_data(web::Data::from(tables.clone()))
            .app_data(web::Data::from(gate.clone()))
            .app_data(web::Data::from(shared_connections.clone()))
            .app_data(web::PayloadConfig::new(MAXIMUM_BODY_BYTES))
            .wrap(from_fn(admit))
            .route("/metrics", web::get().to(metrics))
            .route("/healthz", web::get().to(healthz))
            .route("/readyz", web::get().to(readyz))
            .configure(|config| dappleyard_operate::configure(config, api))
    };
    let options = ServerOptions::default();
    let server = serve(vec![listener], 1, options, connections, app)?;
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

/// Middleware: serves a request, or refuses it once the node closes. While the node stops, each answer
/// ends its connection.
async fn admit(
    gate: web::Data<RequestGate>,
    mut request: ServiceRequest,
    next: Next<BoxBody>,
) -> actix_web::Result<ServiceResponse> {
    let gate = gate.into_inner();
    buffer_body(&mut request).await?;
    let mut response = match gate.enter() {
        Some(_guard) => next.call(request).await?,
        None => request.into_response(
            HttpResponse::ServiceUnavailable()
                .insert_header((RETRY_AFTER, STOPPING_RETRY_AFTER_S))
                .body("the node stops; the request has not run\n"),
        ),
    };
    if gate.is_draining() {
        let head = response.response_mut().head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    Ok(response)
}

/// Reads the body of a request before its handler sees it, within the memory for callers.
async fn buffer_body(request: &mut ServiceRequest) -> actix_web::Result<()> {
    let connection: Option<Arc<CallerConnection>> = request.conn_data().cloned();
    let mut payload = request.take_payload();
    let headers = request.headers();
    let read = read_body(connection.as_deref(), headers, &mut payload, BODY_LIMITS).await;
    let body = read.map_err(|error| match error {
        BodyError::TooLong => ErrorPayloadTooLarge(error),
        BodyError::MemoryShort => ErrorServiceUnavailable(error),
        BodyError::Stalled => ErrorRequestTimeout(error),
        BodyError::Malformed => ErrorBadRequest(error),
    })?;
    request.set_payload(Payload::from(body));
    Ok(())
}

async fn metrics(
    tables: web::Data<NodeTables>,
    connections: web::Data<ConnectionGate>,
) -> HttpResponse {
    match TextEncoder::new().encode_to_string(&tables.metrics.gather()) {
        Ok(text) => HttpResponse::Ok()
            .content_type(prometheus::TEXT_FORMAT)
            .body(text + &connections.metrics_text("dappleyard_admin")),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

async fn healthz() -> &'static str {
    "ok\n"
}

/// Readiness check: succeeds while the node accepts new work.
async fn readyz(tables: web::Data<NodeTables>) -> HttpResponse {
    let lifecycle = *tables.lifecycle.borrow();
    let text = format!("{lifecycle:?}\n").to_lowercase();
    if lifecycle == Lifecycle::Ready {
        HttpResponse::Ok().body(text)
    } else {
        HttpResponse::ServiceUnavailable().body(text)
    }
}
