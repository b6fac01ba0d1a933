//! Handlers of `/metrics`, `/healthz` and `/readyz`.

use std::rc::Rc;

use actix_web::HttpResponse;
use actix_web::web::Data;
use prometheus::{Encoder, TextEncoder};

use crate::worker::Worker;

/// `GET /metrics`: Prometheus text format.
pub async fn metrics(worker: Data<Rc<Worker>>) -> HttpResponse {
    let mut body = Vec::new();
    let families = worker.metrics().registry.gather();
    match TextEncoder::new().encode(&families, &mut body) {
        Ok(()) => {
            let callers = &worker.shared.connections;
            body.extend_from_slice(callers.metrics_text("dappleyard_sidecar").as_bytes());
            HttpResponse::Ok()
                .content_type(prometheus::TEXT_FORMAT)
                .body(body)
        }
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

/// `GET /healthz`: liveness.
pub async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// `GET /readyz`: succeeds while a link to a node that accepts new requests is up and no stop has begun.
pub async fn readyz(worker: Data<Rc<Worker>>) -> HttpResponse {
    if worker.shared.gate.is_draining() {
        HttpResponse::ServiceUnavailable().body("stopping\n")
    } else if worker.links.is_ready() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("no node takes new work\n")
    }
}
