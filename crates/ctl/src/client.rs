//! HTTP client of the admin API that tries several addresses in turn.

use std::time::Duration;

use awc::http::Method;
use dappleyard_operate::api::bodies::{ErrorBody, ErrorDetail};
use derive_more::{Display, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Errors of commands. Most messages suggest what to do next.
#[derive(Debug, Display, Error)]
pub enum CtlError {
    /// Invalid arguments.
    #[display("{message}; see `dappleyard ctl --help`")]
    Usage { message: String },
    /// No node could be reached.
    #[display(
        "no node answered:\n{}\nPass a node's admin address with --admin HOST:PORT, or check that the nodes are running.",
        attempts.join("\n")
    )]
    Unreachable {
        /// One line per attempt, with address and error.
        attempts: Vec<String>,
    },
    /// The response could not be decoded.
    #[display(
        "{address} sent a response that cannot be decoded: {cause}. Use a ctl of the fleet's version."
    )]
    InvalidResponse { address: String, cause: String },
    /// The node returned an error response.
    #[display("refused ({}): {}", detail.code, detail.message)]
    Refused {
        #[error(not(source))]
        detail: Box<ErrorDetail>,
    },
    /// The followed plan did not succeed.
    #[display(
        "plan {plan} is {phase}: {message}. `dappleyard ctl explain plan {plan}` shows details."
    )]
    PlanNotDone {
        plan: String,
        phase: String,
        /// Description of its last state change.
        message: String,
    },
}

pub struct Client {
    addresses: Vec<String>,
    http: awc::Client,
}

impl Client {
    pub fn new(addresses: Vec<String>, timeout_ms: u64) -> Client {
        Client {
            addresses,
            http: awc::Client::builder()
                .timeout(Duration::from_millis(timeout_ms))
                .finish(),
        }
    }

    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        self.call(Method::GET, path, None::<&()>).await
    }

    /// `POST path` with a JSON body. The request may be repeated at another node, so it must be
    /// valid at any node.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CtlError> {
        self.call(Method::POST, path, Some(body)).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, CtlError> {
        let mut attempts = Vec::new();
        for address in &self.addresses {
            let request = self
                .http
                .request(method.clone(), format!("http://{address}{path}"));
            let sent = match body {
                Some(body) => request.send_json(body).await,
                None => request.send().await,
            };
            match sent {
                Err(error) => attempts.push(format!("  {address}: {error}")),
                Ok(mut response) => {
                    let success = response.status().is_success();
                    let bytes = response.body().limit(MAX_RESPONSE_BYTES).await;
                    let bytes = bytes.map_err(|error| invalid_response(address, &error))?;
                    return if success {
                        serde_json::from_slice(&bytes)
                            .map_err(|error| invalid_response(address, &error))
                    } else {
                        Err(refusal(address, &bytes))
                    };
                }
            }
        }
        Err(CtlError::Unreachable { attempts })
    }
}

fn invalid_response(address: &str, cause: &impl ToString) -> CtlError {
    CtlError::InvalidResponse {
        address: address.to_owned(),
        cause: cause.to_string(),
    }
}

fn refusal(address: &str, bytes: &[u8]) -> CtlError {
    match serde_json::from_slice::<ErrorBody>(bytes) {
        Ok(body) => CtlError::Refused {
            detail: Box::new(body.error),
        },
        Err(error) => invalid_response(address, &error),
    }
}
