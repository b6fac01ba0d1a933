//! Admits requests through the gate of the process, and tells callers of a stop.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_web::ResponseError;
use actix_web::body::{BodySize, BoxBody, MessageBody};
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::ConnectionType;
use actix_web::middleware::Next;
use actix_web::web::{Bytes, Data};
use dappleyard_transport::RequestGuard;
use dappleyard_wire::{ErrorKind, Failure};

use crate::error::ApiError;
use crate::worker::Worker;

/// Retry-after hint of a request that came after the last one served: the time of a restart.
const STOPPING_RETRY_AFTER_MS: u32 = 1_000;

/// Middleware: serves a request, or refuses it once the process closes. While the process stops, each
/// answer ends its connection.
pub async fn admit(
    worker: Data<Rc<Worker>>,
    request: ServiceRequest,
    next: Next<BoxBody>,
) -> actix_web::Result<ServiceResponse> {
    let gate = &worker.shared.gate;
    let mut response = match gate.enter() {
        Some(guard) => {
            let response = next.call(request).await?;
            response.map_body(|_, body| AnswerBody { body, guard }.boxed())
        }
        None => request.into_response(stopping().error_response()),
    };
    if gate.is_draining() {
        let head = response.response_mut().head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    Ok(response)
}

fn stopping() -> ApiError {
    let message = "this sidecar stops; send the request again once it is back";
    Failure::not_run(ErrorKind::NotReady, message)
        .retry_after(STOPPING_RETRY_AFTER_MS)
        .into()
}

/// Body of an answer, which is in progress until its last byte was taken.
struct AnswerBody {
    body: BoxBody,
    #[expect(dead_code, reason = "counts the answer while it lives")]
    guard: RequestGuard,
}

impl MessageBody for AnswerBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_next(context)
    }
}
