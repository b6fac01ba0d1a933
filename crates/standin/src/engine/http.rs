//! HTTP interface of the engines under `/engines/{server}/v1/`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, web};
use bytes::Bytes;
use dappleyard_engine::{EngineEvent, EngineOrder, GenerateCall, KvExportRequest, KvState};
use derive_more::{Display, Error};
use parking_lot::RwLock;
use serde::Deserialize;

use super::model::{Output, stream_name};
use super::slot::{CallError, Delivery, Reader, Slot};

/// Maximum size of a request body, bytes.
pub(super) const MAXIMUM_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Poll interval of calls that wait for a hanging engine.
const HANG_POLL: Duration = Duration::from_millis(10);
/// Upper bound on the tokens counted in the transfer time of imported KV state.
const MAXIMUM_TRANSFERRED_TOKENS: u32 = 1_000_000;
/// Time without an event after which a blank line is sent, so that clients can tell a silent stream
/// from a lost engine.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Engines by server id.
pub(super) type SlotsByName = Arc<RwLock<HashMap<String, Arc<Slot>>>>;

/// Error of a response body; closes the connection without a complete response.
#[derive(Debug, Display, Error)]
#[display("engine was killed")]
struct EngineLost;

#[derive(Deserialize)]
struct CacheEventsQuery {
    #[serde(default)]
    after: u64,
}

/// Registers the routes.
pub(super) fn configure(config: &mut web::ServiceConfig) {
    let json = web::JsonConfig::default()
        .limit(MAXIMUM_BODY_BYTES)
        .content_type_required(false);
    config.service(
        web::scope("/engines/{server}/v1")
            .app_data(json)
            .route("/generate", web::post().to(generate))
            .route("/streams/{stream}/cancel", web::post().to(cancel))
            .route("/cancel", web::post().to(cancel_all))
            .route("/report", web::get().to(report))
            .route("/status", web::get().to(status))
            .route("/cache-events", web::get().to(cache_events))
            .route("/orders", web::post().to(order))
            .route("/kv/export", web::post().to(export_kv))
            .route("/kv/import", web::post().to(import_kv)),
    );
}

fn find(slots: &SlotsByName, server: &str) -> Result<Arc<Slot>, CallError> {
    let found = slots.read().get(server).cloned();
    found.ok_or(CallError::NoSuchEngine)
}

/// Calls an engine. A call to a hanging engine waits and is executed when the engine resumes, as
/// with a stopped process, even if the client has timed out by then.
async fn call_engine<T>(
    slots: &SlotsByName,
    server: &str,
    call: impl Fn(&Arc<Slot>) -> Result<T, CallError>,
) -> Result<T, CallError> {
    loop {
        match find(slots, server).and_then(|slot| call(&slot)) {
            Err(CallError::Hung) => tokio::time::sleep(HANG_POLL).await,
            other => return other,
        }
    }
}

async fn generate(
    slots: web::Data<SlotsByName>,
    server: web::Path<String>,
    call: web::Json<GenerateCall>,
) -> HttpResponse {
    match call_engine(&slots, &server, |slot| slot.generate(&call)).await {
        Ok(reader) => HttpResponse::Ok()
            .content_type("application/x-ndjson")
            .streaming(lines(reader)),
        Err(error) => error_response(error),
    }
}

async fn cancel(slots: web::Data<SlotsByName>, path: web::Path<(String, String)>) -> HttpResponse {
    let (server, stream) = path.into_inner();
    match call_engine(&slots, &server, |slot| slot.cancel(&stream)).await {
        Ok(true) => HttpResponse::Ok().finish(),
        Ok(false) => HttpResponse::NotFound().body("no such stream"),
        Err(error) => error_response(error),
    }
}

async fn cancel_all(
    slots: web::Data<SlotsByName>,
    server: web::Path<String>,
    streams: web::Json<Vec<String>>,
) -> HttpResponse {
    answer(&slots, &server, |slot| slot.cancel_all(&streams)).await
}

async fn report(slots: web::Data<SlotsByName>, server: web::Path<String>) -> HttpResponse {
    answer(&slots, &server, Slot::report).await
}

async fn status(slots: web::Data<SlotsByName>, server: web::Path<String>) -> HttpResponse {
    answer(&slots, &server, Slot::status).await
}

async fn cache_events(
    slots: web::Data<SlotsByName>,
    server: web::Path<String>,
    query: web::Query<CacheEventsQuery>,
) -> HttpResponse {
    answer(&slots, &server, |slot| slot.cache_events(query.after)).await
}

async fn order(
    slots: web::Data<SlotsByName>,
    server: web::Path<String>,
    order: web::Json<EngineOrder>,
) -> HttpResponse {
    answer(&slots, &server, |slot| slot.order(&order)).await
}

async fn export_kv(
    slots: web::Data<SlotsByName>,
    server: web::Path<String>,
    query: web::Json<KvExportRequest>,
) -> HttpResponse {
    let exported = call_engine(&slots, &server, |slot| {
        let state = slot.export_kv(&query)?;
        Ok((slot.clone(), state))
    });
    match exported.await {
        Ok((slot, state)) => {
            let tokens = state.prefix_tokens.saturating_add(state.tokens);
            tokio::time::sleep(slot.transfer_time(tokens)).await;
            HttpResponse::Ok().json(state)
        }
        Err(error) => error_response(error),
    }
}

async fn import_kv(
    slots: web::Data<SlotsByName>,
    server: web::Path<String>,
    state: web::Json<KvState>,
) -> HttpResponse {
    if let Ok(slot) = find(&slots, &server) {
        let tokens = state.prefix_tokens.saturating_add(state.tokens);
        tokio::time::sleep(slot.transfer_time(tokens.min(MAXIMUM_TRANSFERRED_TOKENS))).await;
    }
    answer(&slots, &server, |slot| slot.import_kv(&state)).await
}

async fn answer<T: serde::Serialize>(
    slots: &SlotsByName,
    server: &str,
    call: impl Fn(&Slot) -> Result<T, CallError>,
) -> HttpResponse {
    match call_engine(slots, server, |slot| call(slot)).await {
        Ok(body) => HttpResponse::Ok().json(body),
        Err(error) => error_response(error),
    }
}

fn error_response(error: CallError) -> HttpResponse {
    match error {
        CallError::NoSuchEngine => HttpResponse::NotFound().body("no such engine"),
        CallError::Refused(refusal) => {
            let status = StatusCode::from_u16(refusal.status);
            HttpResponse::build(status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE))
                .body(refusal.reason)
        }
        // The body fails before its first byte, which closes the connection without a response.
        CallError::Killed | CallError::Hung => HttpResponse::Ok().streaming(futures::stream::iter(
            [Err::<Bytes, EngineLost>(EngineLost)],
        )),
    }
}

/// Response body of a stream: one JSON event per line.
fn lines(reader: Reader) -> impl futures::Stream<Item = Result<Bytes, EngineLost>> {
    async_stream::stream! {
        let mut reader = reader;
        yield Ok(line(&EngineEvent::Accepted {
            stream: stream_name(reader.started.stream),
            version: reader.started.version.to_string(),
        }));
        loop {
            let next = tokio::time::timeout(KEEP_ALIVE, reader.deliveries.recv()).await;
            match next {
                Err(_) if reader.slot.is_hung() => {}
                Err(_) => yield Ok(Bytes::from_static(b"\n")),
                Ok(Some(Delivery::Output(output))) => {
                    let ends = matches!(output, Output::Finished { .. });
                    yield Ok(line(&event(&reader, output)));
                    if ends {
                        return;
                    }
                }
                Ok(Some(Delivery::EngineLost) | None) => {
                    yield Err(EngineLost);
                    return;
                }
            }
        }
    }
}

fn event(reader: &Reader, output: Output) -> EngineEvent {
    match output {
        Output::Tokens { from, to } => EngineEvent::Tokens {
            offset: from,
            pieces: reader.started.text.pieces(from, to),
        },
        Output::Finished {
            reason,
            total,
            cached,
            ran,
        } => EngineEvent::Finished {
            reason: reason.to_owned(),
            total_tokens: total,
            cached_tokens: cached,
            ran,
        },
    }
}

fn line(event: &EngineEvent) -> Bytes {
    // Events consist of strings and numbers, so serialization cannot fail.
    let mut line = serde_json::to_vec(event).unwrap_or_default();
    line.push(b'\n');
    Bytes::from(line)
}
