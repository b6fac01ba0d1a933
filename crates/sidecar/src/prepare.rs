//! Validates a parsed request and converts it to the [`GenerateRequest`] that is sent to nodes.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_settings::SidecarSettings;
use dappleyard_wire::messages::GenerateRequest;
use dappleyard_wire::{ErrorKind, Failure, Repeat};

use crate::api::generation::{ChatBody, CommonBody, CompletionBody};
use crate::api::responses::Endpoint;
use crate::error::ApiError;
use crate::headers::{CallerHeaders, MAXIMUM_NAME_BYTES};
use crate::prompt::{CanonicalPrompt, chat_prompt, completion_prompt};

/// A validated request, ready to forward.
#[derive(Debug, Clone)]
pub struct PreparedRequest {
    pub request: GenerateRequest,
    /// Deadline of the complete response.
    pub deadline: Instant,
    pub accepted_at: Instant,
    pub options: ResponseOptions,
}

/// How the response is written.
#[derive(Debug, Clone)]
pub struct ResponseOptions {
    pub endpoint: Endpoint,
    /// Model name from the request.
    pub model: String,
    /// Whether to respond with server-sent events.
    pub stream: bool,
    /// Whether the stream ends with an event that carries the token counts.
    pub include_usage: bool,
}

pub fn prepare_chat(
    body: &ChatBody,
    common: &CommonBody,
    headers: CallerHeaders,
    settings: &SidecarSettings,
) -> Result<PreparedRequest, ApiError> {
    let prompt = chat_prompt(&body.prompt_messages()?, &headers.session);
    let max_tokens = body.max_completion_tokens.or(common.max_tokens);
    let input = GenerationInput {
        endpoint: Endpoint::Chat,
        model: &body.model,
        prompt,
        max_tokens,
        common,
    };
    prepare(input, headers, settings)
}

pub fn prepare_completion(
    body: &CompletionBody,
    common: &CommonBody,
    headers: CallerHeaders,
    settings: &SidecarSettings,
) -> Result<PreparedRequest, ApiError> {
    let prompt = completion_prompt(body.prompt.text()?, &headers.session);
    let input = GenerationInput {
        endpoint: Endpoint::Completion,
        model: &body.model,
        prompt,
        max_tokens: common.max_tokens,
        common,
    };
    prepare(input, headers, settings)
}

struct GenerationInput<'a> {
    endpoint: Endpoint,
    model: &'a str,
    prompt: CanonicalPrompt,
    max_tokens: Option<u32>,
    common: &'a CommonBody,
}

fn prepare(
    input: GenerationInput<'_>,
    headers: CallerHeaders,
    settings: &SidecarSettings,
) -> Result<PreparedRequest, ApiError> {
    input.common.validate()?;
    check_prompt(&input.prompt, settings)?;
    let max_tokens = check_max_tokens(input.max_tokens, settings)?;
    let (service, adapter) = model_name(input.model)?;
    if headers.repeat == Repeat::Never && headers.idempotency_key.is_empty() {
        return Err(ApiError::invalid(
            "idempotency-key",
            "a request that must not repeat needs an Idempotency-Key header",
        ));
    }
    let accepted_at = Instant::now();
    let request = GenerateRequest {
        request_id: headers.request_id,
        tenant: headers.tenant,
        service,
        adapter,
        session: headers.session,
        class: headers.class as i32,
        repeat: headers.repeat as i32,
        idempotency_key: headers.idempotency_key,
        prompt: input.prompt.text,
        prompt_tokens: input.prompt.tokens,
        max_tokens,
        prefix_hash: input.prompt.prefix_hash,
        prefix_tokens: input.prompt.prefix_tokens,
    };
    Ok(PreparedRequest {
        request,
        deadline: accepted_at + Duration::from_millis(u64::from(headers.deadline_ms)),
        accepted_at,
        options: ResponseOptions {
            endpoint: input.endpoint,
            model: input.model.to_owned(),
            stream: input.common.is_streaming(),
            include_usage: input.common.includes_usage(),
        },
    })
}

fn check_prompt(prompt: &CanonicalPrompt, settings: &SidecarSettings) -> Result<(), ApiError> {
    if prompt.tokens <= settings.maximum_prompt_tokens {
        return Ok(());
    }
    let message = format!(
        "the prompt has {} tokens, more than {}; shorten it",
        prompt.tokens, settings.maximum_prompt_tokens
    );
    Err(Failure::not_run(ErrorKind::TooLarge, message).into())
}

fn check_max_tokens(asked: Option<u32>, settings: &SidecarSettings) -> Result<u32, ApiError> {
    match asked {
        None => Ok(settings.default_max_tokens),
        Some(tokens) if (1..=settings.maximum_output_tokens).contains(&tokens) => Ok(tokens),
        Some(_) => Err(ApiError::invalid(
            "max_tokens",
            format!("max_tokens must be 1 to {}", settings.maximum_output_tokens),
        )),
    }
}

/// Splits `service` or `service:adapter`.
fn model_name(model: &str) -> Result<(String, String), ApiError> {
    let (service, adapter) = model.split_once(':').unwrap_or((model, ""));
    let printable = model.chars().all(|c| !c.is_control());
    if service.is_empty() || model.len() > MAXIMUM_NAME_BYTES || !printable {
        return Err(ApiError::invalid("model", "model must name a service"));
    }
    Ok((service.to_owned(), adapter.to_owned()))
}
