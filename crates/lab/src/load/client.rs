//! HTTP client for the sidecar API.

use std::time::Duration;

use awc::Client;
use awc::error::{PayloadError, SendRequestError};
use bytes::Bytes;
use futures::StreamExt;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::recorder::Refusal;

/// Request header: tenant.
pub const TENANT: &str = "dappleyard-tenant";
/// Request header: session.
pub const SESSION: &str = "dappleyard-session";
/// Request header: deadline in milliseconds.
pub const DEADLINE: &str = "dappleyard-deadline-ms";
/// Request header: request id.
pub const REQUEST_ID: &str = "dappleyard-request-id";
/// Request header: whether the request may be retried.
pub const REPEAT: &str = "dappleyard-repeat";
/// Request header: idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Response header: model version.
pub const VERSION: &str = "x-dappleyard-version";

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the response headers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a response body, bytes.
const BODY_LIMIT: usize = 512 << 20;
/// Boundary of multipart bodies; never occurs in generated text.
const BOUNDARY: &str = "dappleyard-lab-boundary";

/// Failure of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// Error response.
    Refused(Refusal),
    /// No response, or an incomplete or invalid one.
    Broken(String),
}

impl CallError {
    /// Converts the error to a refusal; after a broken call the request may have run.
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

/// Creates an HTTP client without a connection limit.
pub fn client() -> Client {
    let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
    Client::builder()
        .connector(connector)
        .timeout(ANSWER_TIMEOUT)
        .finish()
}

/// Parses an error response.
pub fn refusal(status: u16, body: &[u8]) -> Refusal {
    let parsed: Value = serde_json::from_slice(body).unwrap_or_default();
    error_object(status, &parsed["error"])
}

/// Parses an error object.
pub fn error_object(status: u16, error: &Value) -> Refusal {
    let text = |key: &str| error[key].as_str().unwrap_or_default().to_owned();
    Refusal {
        status,
        kind: text("kind"),
        ran: text("ran"),
        message: text("message"),
    }
}

/// A caller that uses one sidecar as one tenant.
#[derive(Clone)]
pub struct Caller {
    pub http: Client,
    pub base: String,
    pub tenant: String,
}

impl Caller {
    /// `GET path` with a JSON response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        parse(&self.get_bytes(path).await?)
    }

    /// `GET path` with a binary response.
    pub async fn get_bytes(&self, path: &str) -> Result<Bytes, CallError> {
        let request = self
            .http
            .get(format!("{}{path}", self.base))
            .insert_header((TENANT, self.tenant.as_str()));
        read_response(request.send().await).await
    }

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

    /// Uploads a batch input file and returns its id.
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
        id.map(str::to_owned)
            .ok_or_else(|| CallError::Broken(format!("upload response has no id: {answer}")))
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
            return Err(CallError::Broken(
                "response body exceeds the size limit".to_owned(),
            ));
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
        .map_err(|error| CallError::Broken(format!("invalid response body: {error}")))
}
