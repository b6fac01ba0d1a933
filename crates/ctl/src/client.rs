//! HTTP client of the operators' interface: several addresses, tried in turn.

use std::time::Duration;

use awc::http::Method;
use dappleyard_operate::api::bodies::{ErrorBody, ErrorDetail};
use derive_more::{Display, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest answer read, bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Why a command did not succeed. Each says what to do next.
#[derive(Debug, Display, Error)]
pub enum CtlError {
    /// The arguments make no sense together.
    #[display("{message}; see `dappleyard ctl --help`")]
    Usage {
        /// What is wrong.
        message: String,
    },
    /// No node answered.
    #[display(
        "no node answered:\n{}\nName a node's admin address with --admin HOST:PORT, or see whether the nodes run.",
        attempts.join("\n")
    )]
    Unreachable {
        /// Address and cause, one line each.
        attempts: Vec<String>,
    },
    /// A node answered something that is not understood.
    #[display(
        "{address} gave an answer that is not understood: {cause}. Use a ctl of the fleet's version."
    )]
    InvalidResponse {
        /// Address.
        address: String,
        /// Cause.
        cause: String,
    },
    /// A node refused.
    #[display("refused ({}): {}", detail.code, detail.message)]
    Refused {
        /// What the node said.
        #[error(not(source))]
        detail: Box<ErrorDetail>,
    },
    /// The plan that was followed did not succeed.
    #[display("plan {plan} is {phase}: {message}. `dappleyard ctl explain plan {plan}` says more.")]
    PlanNotDone {
        /// Plan id.
        plan: String,
        /// Its phase.
        phase: String,
        /// What happened to it last.
        message: String,
    },
}

/// Client of the operators' interface.
pub struct Client {
    addresses: Vec<String>,
    http: awc::Client,
}

impl Client {
    /// A client that tries the addresses in turn.
    pub fn new(addresses: Vec<String>, timeout_ms: u64) -> Client {
        Client {
            addresses,
            http: awc::Client::builder()
                .timeout(Duration::from_millis(timeout_ms))
                .finish(),
        }
    }

    /// `GET path`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        self.call(Method::GET, path, None::<&()>).await
    }

    /// `POST path` with a JSON body. The call may be repeated at another node, so that its body must
    /// mean the same there.
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
