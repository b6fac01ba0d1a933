//! Writes generation responses: complete, or as server-sent events.

use std::time::{SystemTime, UNIX_EPOCH};

use actix_web::HttpResponse;
use actix_web::http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use actix_web::web::Bytes;
use dappleyard_wire::Failure;
use dappleyard_wire::messages::Finish;

use crate::api::responses::{
    CachedTokens, Choice, ChoiceContent, Delta, Endpoint, GenerationBody, Message, Usage,
};
use crate::error::{ApiError, REQUEST_ID_HEADER, VERSION_HEADER};
use crate::prepare::ResponseOptions;

/// Last event of a complete stream.
pub const DONE_EVENT: Bytes = Bytes::from_static(b"data: [DONE]\n\n");

/// Builds the body, or the events, of one response.
pub struct ResponseWriter {
    id: String,
    request_id: String,
    created: u64,
    options: ResponseOptions,
}

impl ResponseWriter {
    pub fn new(request_id: &str, options: ResponseOptions) -> ResponseWriter {
        let prefix = match options.endpoint {
            Endpoint::Chat => "chatcmpl",
            Endpoint::Completion => "cmpl",
        };
        ResponseWriter {
            id: format!("{prefix}-{request_id}"),
            request_id: request_id.to_owned(),
            created: unix_seconds(),
            options,
        }
    }

    /// Builds a complete response.
    pub fn complete_response(&self, text: &str, finish: &Finish) -> HttpResponse {
        let content = match self.options.endpoint {
            Endpoint::Chat => ChoiceContent::Message(Message {
                role: "assistant",
                content: text,
            }),
            Endpoint::Completion => ChoiceContent::Text(text),
        };
        let choice = choice(content, Some(&finish.reason));
        let body = self.body(false, &finish.version, vec![choice], Some(usage(finish)));
        let mut response = HttpResponse::Ok();
        for header in self.headers(&finish.version) {
            response.insert_header(header);
        }
        response.json(body)
    }

    /// Status and headers of a stream.
    pub fn stream_head(&self, version: &str) -> actix_web::HttpResponseBuilder {
        let mut response = HttpResponse::Ok();
        response.insert_header((CONTENT_TYPE, "text/event-stream; charset=utf-8"));
        response.insert_header((CACHE_CONTROL, "no-cache"));
        for header in self.headers(version) {
            response.insert_header(header);
        }
        response
    }

    /// Event that carries text; the first one also carries the role.
    pub fn text_event(&self, text: &str, version: &str, first: bool) -> Bytes {
        let content = match self.options.endpoint {
            Endpoint::Chat => ChoiceContent::Delta(Delta {
                role: first.then_some("assistant"),
                content: Some(text),
            }),
            Endpoint::Completion => ChoiceContent::Text(text),
        };
        self.event(version, vec![choice(content, None)], None)
    }

    /// Final events: the finish reason, the token counts if requested, and `[DONE]`.
    pub fn end_events(&self, finish: &Finish) -> Vec<Bytes> {
        let content = match self.options.endpoint {
            Endpoint::Chat => ChoiceContent::Delta(Delta {
                role: None,
                content: None,
            }),
            Endpoint::Completion => ChoiceContent::Text(""),
        };
        let last = vec![choice(content, Some(&finish.reason))];
        let mut events = vec![self.event(&finish.version, last, None)];
        if self.options.include_usage {
            events.push(self.event(&finish.version, Vec::new(), Some(usage(finish))));
        }
        events.push(DONE_EVENT);
        events
    }

    /// Event that ends a failed stream; no `[DONE]` follows.
    pub fn failure_event(&self, failure: Failure) -> Bytes {
        let error = ApiError::from(failure).with_request_id(&self.request_id);
        event_bytes(&error.body())
    }

    fn event(&self, version: &str, choices: Vec<Choice<'_>>, usage: Option<Usage>) -> Bytes {
        event_bytes(&self.body(true, version, choices, usage))
    }

    fn body<'a>(
        &'a self,
        event: bool,
        version: &'a str,
        choices: Vec<Choice<'a>>,
        usage: Option<Usage>,
    ) -> GenerationBody<'a> {
        let object = match (self.options.endpoint, event) {
            (Endpoint::Chat, true) => "chat.completion.chunk",
            (Endpoint::Chat, false) => "chat.completion",
            (Endpoint::Completion, _) => "text_completion",
        };
        GenerationBody {
            id: &self.id,
            object,
            created: self.created,
            model: &self.options.model,
            system_fingerprint: version,
            choices,
            usage,
        }
    }

    fn headers(&self, version: &str) -> Vec<(actix_web::http::header::HeaderName, HeaderValue)> {
        [
            (REQUEST_ID_HEADER, self.request_id.as_str()),
            (VERSION_HEADER, version),
        ]
        .into_iter()
        .filter_map(|(name, value)| Some((name, HeaderValue::from_str(value).ok()?)))
        .collect()
    }
}

fn choice<'a>(content: ChoiceContent<'a>, finish_reason: Option<&'a str>) -> Choice<'a> {
    Choice {
        index: 0,
        content,
        finish_reason,
        logprobs: None,
    }
}

fn usage(finish: &Finish) -> Usage {
    Usage {
        prompt_tokens: finish.prompt_tokens,
        completion_tokens: finish.total_tokens,
        total_tokens: finish.prompt_tokens.saturating_add(finish.total_tokens),
        prompt_tokens_details: CachedTokens {
            cached_tokens: finish.cached_tokens,
        },
    }
}

fn event_bytes(body: &impl serde::Serialize) -> Bytes {
    let mut bytes = b"data: ".to_vec();
    if serde_json::to_writer(&mut bytes, body).is_err() {
        return Bytes::new();
    }
    bytes.extend_from_slice(b"\n\n");
    Bytes::from(bytes)
}

/// Current Unix time, seconds.
pub fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
