//! The routes `/v1/chat/completions` and `/v1/completions`: the filters in order.

use std::rc::Rc;

use actix_web::web::{Bytes, Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use dappleyard_clock::Instant;
use dappleyard_wire::Failure;
use futures::Stream;

use crate::accept::{parse_json, read_body};
use crate::answer::AnswerWriter;
use crate::api::answers::Form;
use crate::api::generation::{ChatBody, CommonBody, CompletionBody};
use crate::error::ApiError;
use crate::forward::Forward;
use crate::headers::CallerHeaders;
use crate::stamp::{Stamped, stamp_chat, stamp_completion};
use crate::worker::{OpenRequest, Worker};

/// `POST /v1/chat/completions`.
pub async fn chat(
    worker: Data<Rc<Worker>>,
    head: HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, ApiError> {
    serve(&worker, &head, payload, Form::Chat).await
}

/// `POST /v1/completions`.
pub async fn completion(
    worker: Data<Rc<Worker>>,
    head: HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, ApiError> {
    serve(&worker, &head, payload, Form::Completion).await
}

async fn serve(
    worker: &Rc<Worker>,
    head: &HttpRequest,
    payload: Payload,
    form: Form,
) -> Result<HttpResponse, ApiError> {
    let started = Instant::now();
    let headers = CallerHeaders::read(head.headers(), worker.settings())
        .inspect_err(|error| count_end(worker, form, started, error.failure.kind.answer().code))?;
    let request_id = headers.request_id.clone();
    let result = answer(worker, headers, payload, form).await;
    result.map_err(|error| {
        count_end(worker, form, started, error.failure.kind.answer().code);
        error.of_request(&request_id)
    })
}

async fn answer(
    worker: &Rc<Worker>,
    headers: CallerHeaders,
    payload: Payload,
    form: Form,
) -> Result<HttpResponse, ApiError> {
    let place = worker.enter()?;
    let body = read_body(payload, worker.settings()).await?;
    let stamped = parse(&body, headers, worker, form)?;
    drop(body);
    let forward = Forward::new(worker.clone(), &stamped);
    if stamped.style.stream {
        answer_in_events(worker.clone(), forward, stamped, place).await
    } else {
        answer_whole(worker, forward, stamped).await
    }
}

fn parse(
    body: &Bytes,
    headers: CallerHeaders,
    worker: &Worker,
    form: Form,
) -> Result<Stamped, ApiError> {
    let settings = worker.settings();
    match form {
        Form::Chat => {
            let chat: ChatBody = parse_json(body)?;
            let common: CommonBody = parse_json(body)?;
            stamp_chat(&chat, &common, headers, settings)
        }
        Form::Completion => {
            let completion: CompletionBody = parse_json(body)?;
            let common: CommonBody = parse_json(body)?;
            stamp_completion(&completion, &common, headers, settings)
        }
    }
}

async fn answer_whole(
    worker: &Worker,
    mut forward: Forward,
    stamped: Stamped,
) -> Result<HttpResponse, ApiError> {
    let finish = forward.complete().await?;
    count_end(worker, stamped.style.form, stamped.accepted_at, "ok");
    let writer = AnswerWriter::new(&stamped.request.request_id, stamped.style);
    Ok(writer.whole(&forward.text(), &finish))
}

/// Waits for the first text, so that an early failure still has its HTTP status, then streams.
async fn answer_in_events(
    worker: Rc<Worker>,
    mut forward: Forward,
    stamped: Stamped,
    place: OpenRequest,
) -> Result<HttpResponse, ApiError> {
    let first = forward.next_text().await?;
    let waited = stamped.accepted_at.elapsed();
    worker
        .metrics()
        .first_piece_seconds
        .observe(waited.as_secs_f64());
    let writer = AnswerWriter::new(&stamped.request.request_id, stamped.style.clone());
    let mut head = writer.stream_head(forward.version());
    let events = events(worker, forward, stamped, writer, first, place);
    Ok(head.streaming(Box::pin(events)))
}

fn events(
    worker: Rc<Worker>,
    mut forward: Forward,
    stamped: Stamped,
    writer: AnswerWriter,
    first: Option<String>,
    place: OpenRequest,
) -> impl Stream<Item = Result<Bytes, ApiError>> {
    async_stream::stream! {
        let _place = place;
        let form = stamped.style.form;
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
        count_end(&worker, form, stamped.accepted_at, code);
    }
}

fn count_end(worker: &Worker, form: Form, started: Instant, code: &str) {
    let route = match form {
        Form::Chat => "chat",
        Form::Completion => "completion",
    };
    let metrics = worker.metrics();
    metrics.answers.with_label_values(&[route, code]).inc();
    let seconds = started.elapsed().as_secs_f64();
    metrics.seconds.with_label_values(&[route]).observe(seconds);
}
