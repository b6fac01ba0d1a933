//! Handlers of `/v1/chat/completions` and `/v1/completions`.

use std::rc::Rc;

use actix_web::web::{Bytes, Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use dappleyard_clock::Instant;
use dappleyard_wire::Failure;
use futures::Stream;

use crate::api::generation::{ChatBody, CommonBody, CompletionBody};
use crate::api::responses::Endpoint;
use crate::error::ApiError;
use crate::forward::ForwardedRequest;
use crate::headers::CallerHeaders;
use crate::prepare::{PreparedRequest, prepare_chat, prepare_completion};
use crate::request_body::{parse_json, read_body};
use crate::response::ResponseWriter;
use crate::worker::{RequestSlot, Worker};

/// `POST /v1/chat/completions`.
pub async fn chat(
    worker: Data<Rc<Worker>>,
    http_request: HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, ApiError> {
    serve(&worker, &http_request, payload, Endpoint::Chat).await
}

/// `POST /v1/completions`.
pub async fn completion(
    worker: Data<Rc<Worker>>,
    http_request: HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, ApiError> {
    serve(&worker, &http_request, payload, Endpoint::Completion).await
}

async fn serve(
    worker: &Rc<Worker>,
    http_request: &HttpRequest,
    payload: Payload,
    endpoint: Endpoint,
) -> Result<HttpResponse, ApiError> {
    let started = Instant::now();
    let headers =
        CallerHeaders::read(http_request.headers(), worker.settings()).inspect_err(|error| {
            record_response(worker, endpoint, started, error.failure.kind.answer().code)
        })?;
    let request_id = headers.request_id.clone();
    let result = respond(worker, headers, http_request, payload, endpoint).await;
    result.map_err(|error| {
        record_response(worker, endpoint, started, error.failure.kind.answer().code);
        error.with_request_id(&request_id)
    })
}

async fn respond(
    worker: &Rc<Worker>,
    headers: CallerHeaders,
    http_request: &HttpRequest,
    payload: Payload,
    endpoint: Endpoint,
) -> Result<HttpResponse, ApiError> {
    let slot = worker.acquire_request_slot()?;
    let body = read_body(http_request, payload, worker.settings()).await?;
    let prepared = parse(&body, headers, worker, endpoint)?;
    drop(body);
    let forward = ForwardedRequest::new(worker.clone(), &prepared);
    if prepared.options.stream {
        respond_streaming(worker.clone(), forward, prepared, slot).await
    } else {
        respond_complete(worker, forward, prepared).await
    }
}

fn parse(
    body: &Bytes,
    headers: CallerHeaders,
    worker: &Worker,
    endpoint: Endpoint,
) -> Result<PreparedRequest, ApiError> {
    let settings = worker.settings();
    match endpoint {
        Endpoint::Chat => {
            let chat: ChatBody = parse_json(body)?;
            let common: CommonBody = parse_json(body)?;
            prepare_chat(&chat, &common, headers, settings)
        }
        Endpoint::Completion => {
            let completion: CompletionBody = parse_json(body)?;
            let common: CommonBody = parse_json(body)?;
            prepare_completion(&completion, &common, headers, settings)
        }
    }
}

async fn respond_complete(
    worker: &Worker,
    mut forward: ForwardedRequest,
    prepared: PreparedRequest,
) -> Result<HttpResponse, ApiError> {
    let finish = forward.complete().await?;
    record_response(
        worker,
        prepared.options.endpoint,
        prepared.accepted_at,
        "ok",
    );
    let writer = ResponseWriter::new(&prepared.request.request_id, prepared.options);
    Ok(writer.complete_response(&forward.text(), &finish))
}

/// Waits for the first text before sending the status, so that earlier failures have their HTTP
/// status; then streams.
async fn respond_streaming(
    worker: Rc<Worker>,
    mut forward: ForwardedRequest,
    prepared: PreparedRequest,
    slot: RequestSlot,
) -> Result<HttpResponse, ApiError> {
    let first = forward.next_text().await?;
    let waited = prepared.accepted_at.elapsed();
    worker
        .metrics()
        .first_piece_seconds
        .observe(waited.as_secs_f64());
    let writer = ResponseWriter::new(&prepared.request.request_id, prepared.options.clone());
    let mut head = writer.stream_head(forward.version());
    let events = events(worker, forward, prepared, writer, first, slot);
    Ok(head.streaming(Box::pin(events)))
}

fn events(
    worker: Rc<Worker>,
    mut forward: ForwardedRequest,
    prepared: PreparedRequest,
    writer: ResponseWriter,
    first: Option<String>,
    slot: RequestSlot,
) -> impl Stream<Item = Result<Bytes, ApiError>> {
    async_stream::stream! {
        let _slot = slot;
        let endpoint = prepared.options.endpoint;
        let mut next: Result<Option<String>, Failure> = Ok(first);
        let mut is_first = true;
        let code = loop {
            match next {
                Ok(Some(text)) => {
                    yield Ok(writer.text_event(&text, forward.version(), is_first));
                    is_first = false;
                }
                Ok(None) => {
                    let finish = forward.completed().unwrap_or_default();
                    for event in writer.end_events(&finish) {
                        yield Ok(event);
                    }
                    break "ok";
                }
                Err(failure) => {
                    let code = failure.kind.answer().code;
                    yield Ok(writer.failure_event(failure));
                    break code;
                }
            }
            next = forward.next_text().await;
        };
        record_response(&worker, endpoint, prepared.accepted_at, code);
    }
}

fn record_response(worker: &Worker, endpoint: Endpoint, started: Instant, code: &str) {
    let route = match endpoint {
        Endpoint::Chat => "chat",
        Endpoint::Completion => "completion",
    };
    let metrics = worker.metrics();
    metrics.responses.with_label_values(&[route, code]).inc();
    let seconds = started.elapsed().as_secs_f64();
    metrics
        .response_seconds
        .with_label_values(&[route])
        .observe(seconds);
}
