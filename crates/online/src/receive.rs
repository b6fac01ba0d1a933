//! Validates a submission and converts it to [`Incoming`].

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_wire::ids::RequestId;
use dappleyard_wire::messages::{GenerateRequest, Stage, Submit};
use dappleyard_wire::{ErrorKind, Failure, Ran, Repeat};

/// Maximum length of a request id or idempotency key, bytes.
const MAXIMUM_KEY_BYTES: usize = 256;

/// Attempt numbers reserved at each stage for one attempt of the preceding stage.
pub(crate) const ATTEMPTS_PER_STAGE: u32 = 64;

/// A validated submission.
#[derive(Debug, Clone)]
pub(crate) struct Incoming {
    pub request: GenerateRequest,
    pub id: RequestId,
    pub attempt: u32,
    /// Stage that this node executes.
    pub stage: Stage,
    pub received: Instant,
    pub deadline: Instant,
    /// Whether an earlier attempt ran.
    pub ran_before: Ran,
    /// Tokens received by earlier attempts.
    pub pieces: Vec<String>,
    pub earlier: EarlierRun,
}

/// Where an earlier attempt of a request ran. Unknown fields are empty.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct EarlierRun {
    /// Model version that produced the received tokens.
    pub version: String,
    /// Engine stream that may still be running.
    pub engine_stream: String,
    /// Server of the stream.
    pub server: String,
}

impl EarlierRun {
    /// Whether there is a stream to attach to.
    pub fn has_stream(&self) -> bool {
        !self.engine_stream.is_empty() && !self.server.is_empty()
    }
}

impl Incoming {
    pub fn read(submit: Submit) -> Result<Incoming, Failure> {
        let stage = submit.stage();
        let ran_before = Ran::try_from(submit.ran_before).unwrap_or(Ran::Maybe);
        let request = submit
            .request
            .ok_or_else(|| invalid("the submission holds no request"))?;
        check(&request).map_err(|failure| failure.after(ran_before))?;
        if submit.resume_offset as usize != submit.resumed_pieces.len() {
            let failure = invalid("the tokens to resume after do not match the offset");
            return Err(failure.after(ran_before));
        }
        let received = Instant::now();
        Ok(Incoming {
            id: RequestId::from(&request.request_id),
            request,
            attempt: submit.attempt.max(1),
            stage,
            received,
            deadline: received + Duration::from_millis(u64::from(submit.budget_ms)),
            ran_before,
            pieces: submit.resumed_pieces,
            earlier: EarlierRun {
                version: submit.version,
                engine_stream: submit.engine_stream,
                server: submit.server,
            },
        })
    }

    /// Whether the request must run at most once.
    pub fn is_at_most_once(&self) -> bool {
        self.request.repeat() == Repeat::Never
    }

    /// Maximum number of KV tokens that the request can hold.
    pub fn tokens(&self) -> u32 {
        let request = &self.request;
        request.prompt_tokens.saturating_add(request.max_tokens)
    }

    /// Time until the deadline, milliseconds.
    pub fn remaining_ms(&self) -> u32 {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX)
    }
}

fn check(request: &GenerateRequest) -> Result<(), Failure> {
    if request.request_id.is_empty() || request.request_id.len() > MAXIMUM_KEY_BYTES {
        return Err(invalid("the request id is empty or too long"));
    }
    if request.service.is_empty() {
        return Err(invalid("the request names no model service"));
    }
    if request.max_tokens == 0 {
        return Err(invalid("the request allows no output token"));
    }
    let key = &request.idempotency_key;
    if request.repeat() == Repeat::Never && (key.is_empty() || key.len() > MAXIMUM_KEY_BYTES) {
        return Err(invalid(
            "a request that must not be repeated needs an idempotency key of at most 256 bytes",
        ));
    }
    Ok(())
}

fn invalid(message: &str) -> Failure {
    Failure::not_run(ErrorKind::InvalidRequest, message)
}
