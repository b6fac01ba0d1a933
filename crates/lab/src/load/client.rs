//! The HTTP calls of a caller to its sidecar.

use std::time::Duration;

use awc::Client;
use awc::error::{PayloadError, SendRequestError};
use bytes::Bytes;
use futures::StreamExt;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::recorder::Refusal;

/// Header that names the tenant.
pub const TENANT: &str = "dappleyard-tenant";
/// Header that names the conversation.
pub const SESSION: &str = "dappleyard-session";
/// Header with the deadline, milliseconds.
pub const DEADLINE: &str = "dappleyard-deadline-ms";
/// Header with the request id.
pub const REQUEST_ID: &str = "dappleyard-request-id";
/// Header with the repeat rule.
pub const REPEAT: &str = "dappleyard-repeat";
/// Header with the caller's key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header of the answer with the model version.
pub const VERSION: &str = "x-dappleyard-version";

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for the head of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest body of an answer that is read as a whole, bytes.
const BODY_LIMIT: usize = 512 << 20;
/// Boundary of multipart bodies; stands in no generated text.
const BOUNDARY: &str = "dappleyard-lab-boundary";

/// Why a call did not give its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The answer is an error.
    Refused(Refusal),
    /// No answer, or not a whole one.
    Broken(String),
}

impl CallError {
    /// The error as a refusal; of a broken call nothing is known.
    pub fn into_refusal(self) -> Refusal {
        match self {
            CallError::Refused(refusal) => refusal,
            CallError::Broken(message) => Refusal {
                status: 0,
                kind: "broken".to_owned(),
                ran: "maybe".to_owned(),
                message,
            },
        }
    }
}

/// A client for callers.
pub fn client() -> Client {
    let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
    Client::builder()
        .connector(connector)
        .timeout(ANSWER_TIMEOUT)
        .finish()
}

/// Reads an error answer.
pub fn refusal(status: u16, body: &[u8]) -> Refusal {
    let parsed: Value = serde_json::from_slice(body).unwrap_or_default();
    error_object(status, &parsed["error"])
}

/// Reads an error object.
pub fn error_object(status: u16, error: &Value) -> Refusal {
    let text = |key: &str| error[key].as_str().unwrap_or_default().to_owned();
    Refusal {
        status,
        kind: text("kind"),
        ran: text("ran"),
        message: text("message"),
    }
}

/// One caller beside one sidecar, as one tenant.
#[derive(Clone)]
pub struct Caller {
    /// HTTP client of this thread.
    pub http: Client,
    /// Base URL of the sidecar.
    pub base: String,
    pub tenant: String,
}

impl Caller {
    /// `GET path`, the body as JSON.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        parse(&self.get_bytes(path).await?)
    }

    /// `GET path`, the body as bytes.
    pub async fn get_bytes(&self, path: &str) -> Result<Bytes, CallError> {
        let request = self
            .http
            .get(format!("{}{path}", self.base))
            .insert_header((TENANT, self.tenant.as_str()));
        read_response(request.send().await).await
    }

    /// `POST path` with a JSON body.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        key: Option<&str>,
        body: &Value,
    ) -> Result<T, CallError> {
        let mut request = self
            .http
            .post(format!("{}{path}", self.base))
            .insert_header((TENANT, self.tenant.as_str()));
        if let Some(key) = key {
            request = request.insert_header((IDEMPOTENCY_KEY, key));
        }
        parse(&read_response(request.send_json(body).await).await?)
    }

    /// Uploads a file for batch work and returns its id.
    pub async fn upload(&self, filename: &str, content: &[u8]) -> Result<String, CallError> {
        let request = self
            .http
            .post(format!("{}/v1/files", self.base))
            .insert_header((TENANT, self.tenant.as_str()))
            .insert_header((
                "content-type",
                format!("multipart/form-data; boundary={BOUNDARY}"),
            ));
        let body = multipart(filename, content);
        let answer: Value = parse(&read_response(request.send_body(body).await).await?)?;
        let id = answer["id"].as_str();
        id.map(str::to_owned).ok_or_else(|| {
            CallError::Broken(format!("an upload was answered without id: {answer}"))
        })
    }
}

fn multipart(filename: &str, content: &[u8]) -> Vec<u8> {
    let mut body = format!(
        "--{BOUNDARY}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --{BOUNDARY}\r\nContent-Disposition: form-data; name=\"file\"; filename=\"{filename}\"\r\n\
         Content-Type: application/jsonl\r\n\r\n"
    )
    .into_bytes();
    body.extend_from_slice(content);
    body.extend_from_slice(format!("\r\n--{BOUNDARY}--\r\n").as_bytes());
    body
}

async fn read_response<S>(
    sent: Result<awc::ClientResponse<S>, SendRequestError>,
) -> Result<Bytes, CallError>
where
    S: futures::Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut response = sent.map_err(|error| CallError::Broken(error.to_string()))?;
    let status = response.status().as_u16();
    let mut body = Vec::new();
    while let Some(part) = response.next().await {
        let part = part.map_err(|error| CallError::Broken(error.to_string()))?;
        body.extend_from_slice(&part);
        if body.len() > BODY_LIMIT {
            return Err(CallError::Broken("the answer is too long".to_owned()));
        }
    }
    if (200..300).contains(&status) {
        Ok(Bytes::from(body))
    } else {
        Err(CallError::Refused(refusal(status, &body)))
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body)
        .map_err(|error| CallError::Broken(format!("the answer does not parse: {error}")))
}
