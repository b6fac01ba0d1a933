//! HTTP server: workers, routes, startup and shutdown.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::http::Method;
use actix_web::middleware::from_fn;
use actix_web::web::{self, Data, QueryConfig, ServiceConfig};
use actix_web::{App, HttpResponse};
use dappleyard_callers::{ServerOptions, listen, serve};
use dappleyard_settings::SidecarSettings;
use dappleyard_transport::policy::SharedPolicy;
use dappleyard_wire::{ErrorKind, Failure};
use derive_more::{Display, Error};

use crate::admission::admit;
use crate::error::ApiError;
use crate::links::Links;
use crate::metrics::Metrics;
use crate::worker::{Shared, Worker};
use crate::{batches, files, generations, health, models};

/// Time in which callers are told of a planned stop while their requests are served.
const STOP_NOTICE: Duration = Duration::from_millis(300);
/// Time in which late requests are refused before their connections are closed.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// A short stop bound is divided into notice, refusals, and time for the answers.
const PHASES: u32 = 3;
/// Idle timeout of HTTP connections.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Minimum timeout for request headers. The HTTP server's clock has a resolution of 500 ms, so a
/// shorter timeout could expire immediately.
const MINIMUM_HEADER_TIMEOUT: Duration = Duration::from_secs(1);

/// Startup error.
#[derive(Debug, Display, Error)]
pub enum SidecarError {
    #[display("cannot listen on {address}: {reason}")]
    Listen { address: String, reason: String },
    #[display("metrics: {reason}")]
    Metrics { reason: String },
}

pub struct SidecarHandle {
    address: SocketAddr,
    server: ServerHandle,
    shared: Arc<Shared>,
}

impl SidecarHandle {
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops gracefully: tells callers to leave, then refuses requests, then closes the listener and
    /// the connections at rest, and ends when all answers are written. Returns `false` when the stop
    /// bound was reached before.
    pub async fn stop(self) -> bool {
        let gate = &self.shared.gate;
        let bound = Duration::from_millis(self.shared.settings.stop_bound_ms);
        let deadline = tokio::time::Instant::now() + bound;
        gate.drain();
        tracing::info!(requests = gate.in_progress(), "planned stop began");
        tokio::time::sleep(STOP_NOTICE.min(bound / PHASES)).await;
        gate.close();
        let closed = async {
            tokio::time::sleep(REFUSAL_TIME.min(bound / PHASES)).await;
            // Connections at rest end now, the others once their answers are written.
            self.shared.connections.close();
            self.server.stop(true).await;
        };
        let finished = tokio::time::timeout_at(deadline, closed).await.is_ok();
        let requests = gate.in_progress();
        if !finished {
            tracing::warn!(requests, "stop bound reached; unfinished answers were cut");
        }
        finished
    }
}

/// Starts a sidecar. Must be called in a running actix system.
pub fn start(
    settings: SidecarSettings,
    policy: SharedPolicy,
) -> Result<SidecarHandle, SidecarError> {
    let metrics = Metrics::new().map_err(|error| SidecarError::Metrics {
        reason: error.to_string(),
    })?;
    let cannot_listen = |error: std::io::Error| SidecarError::Listen {
        address: settings.listen.clone(),
        reason: error.to_string(),
    };
    let shared = Shared::new(settings.clone(), metrics);
    let handle_shared = shared.clone();
    let header_timeout =
        Duration::from_millis(settings.body_timeout_ms).max(MINIMUM_HEADER_TIMEOUT);
    let app = move || {
        let worker = Rc::new(Worker {
            links: Links::start(shared.clone(), policy.clone()),
            shared: shared.clone(),
        });
        App::new()
            .app_data(Data::new(worker))
            .wrap(from_fn(admit))
            .configure(routes)
    };
    let options = ServerOptions {
        keep_alive: KEEP_ALIVE,
        head: header_timeout,
        disconnect: header_timeout,
        stop_s: settings.stop_bound_ms.div_ceil(1_000),
    };
    let connections = &handle_shared.connections;
    let unparsed = |_| std::io::ErrorKind::InvalidInput.into();
    let address = settings.listen.parse().map_err(unparsed);
    let listener = address.and_then(|address| listen(address, connections.limits()));
    let listener = listener.map_err(cannot_listen)?;
    let address = listener.local_addr().map_err(cannot_listen)?;
    let workers = settings.workers;
    let running =
        serve(vec![listener], workers, options, connections, app).map_err(cannot_listen)?;
    let handle = running.handle();
    actix_rt::spawn(running);
    Ok(SidecarHandle {
        address,
        server: handle,
        shared: handle_shared,
    })
}

fn routes(config: &mut ServiceConfig) {
    config
        .app_data(QueryConfig::default().error_handler(|error, _| {
            ApiError::invalid("", format!("the query is not valid: {error}")).into()
        }))
        .route("/metrics", web::get().to(health::metrics))
        .route("/healthz", web::get().to(health::healthz))
        .route("/readyz", web::get().to(health::readyz))
        .service(
            web::scope("/v1")
                .route("/chat/completions", web::post().to(generations::chat))
                .route("/completions", web::post().to(generations::completion))
                .route("/models", web::get().to(models::list))
                .route("/models/{id}", web::get().to(models::get))
                .configure(files::routes)
                .configure(batches::routes),
        )
        .default_service(web::to(unknown_route));
}

async fn unknown_route(method: Method, request: actix_web::HttpRequest) -> HttpResponse {
    let message = format!("there is no {method} {}", request.path());
    let error = ApiError::from(Failure::not_run(ErrorKind::NotFound, message));
    actix_web::ResponseError::error_response(&error)
}
