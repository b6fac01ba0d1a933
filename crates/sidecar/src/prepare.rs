//! Stamps a parsed request: id, class, tenant, session, deadline, repeat rule and canonical prompt.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_settings::SidecarSettings;
use dappleyard_wire::messages::GenerateRequest;
use dappleyard_wire::{ErrorKind, Failure, Repeat};

use crate::api::generation::{ChatBody, CommonBody, CompletionBody};
use crate::api::responses::Endpoint;
use crate::error::ApiError;
use crate::headers::{CallerHeaders, MAXIMUM_NAME_BYTES};
use crate::prompt::{CanonicalPrompt, canonical, canonical_completion};

/// A request that is ready to be forwarded.
#[derive(Debug, Clone)]
pub struct PreparedRequest {
    /// The request as nodes see it.
    pub request: GenerateRequest,
    /// When the whole answer must be there.
    pub deadline: Instant,
    /// When it was accepted.
    pub accepted_at: Instant,
    /// How the answer is to be written.
    pub options: ResponseOptions,
}

/// How an answer is to be written.
#[derive(Debug, Clone)]
pub struct ResponseOptions {
    /// Which endpoint was asked for.
    pub endpoint: Endpoint,
    /// Model as the caller named it.
    pub model: String,
    /// Whether server-sent events are wanted.
    pub stream: bool,
    /// Whether a last event carries the token counts.
    pub include_usage: bool,
}

/// Stamps a chat.
pub fn prepare_chat(
    body: &ChatBody,
    common: &CommonBody,
    headers: CallerHeaders,
    settings: &SidecarSettings,
) -> Result<PreparedRequest, ApiError> {
    let prompt = canonical(&body.prompt_messages()?, &headers.session);
    let max_tokens = body.max_completion_tokens.or(common.max_tokens);
    let input = Input {
        endpoint: Endpoint::Chat,
        model: &body.model,
        prompt,
        max_tokens,
        common,
    };
    prepare(input, headers, settings)
}

/// Stamps a completion.
pub fn prepare_completion(
    body: &CompletionBody,
    common: &CommonBody,
    headers: CallerHeaders,
    settings: &SidecarSettings,
) -> Result<PreparedRequest, ApiError> {
    let prompt = canonical_completion(body.prompt.text()?, &headers.session);
    let input = Input {
        endpoint: Endpoint::Completion,
        model: &body.model,
        prompt,
        max_tokens: common.max_tokens,
        common,
    };
    prepare(input, headers, settings)
}

struct Input<'a> {
    endpoint: Endpoint,
    model: &'a str,
    prompt: CanonicalPrompt,
    max_tokens: Option<u32>,
    common: &'a CommonBody,
}

fn prepare(
    input: Input<'_>,
    headers: CallerHeaders,
    settings: &SidecarSettings,
) -> Result<PreparedRequest, ApiError> {
    input.common.check()?;
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
            stream: input.common.streams(),
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
