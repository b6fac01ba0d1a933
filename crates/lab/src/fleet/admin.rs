//! What operators do: intents, plans and confirmations over a node's admin interface.

use std::time::Duration;

use awc::Client;
use derive_more::{Display, Error};
use serde_json::{Value, json};

/// Name that the experiment's operators give.
const OPERATOR: &str = "experiment";
/// Longest time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Why an operator's call did not succeed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum AdminError {
    /// No answer.
    #[display("no answer from {address}: {cause}")]
    Unreached {
        /// Admin address.
        address: String,
        /// What was seen.
        cause: String,
    },
    /// The answer is an error.
    #[display("{address} answered {status}: {body}")]
    Refused {
        /// Admin address.
        address: String,
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: String,
    },
}

impl AdminError {
    /// Whether the same call may succeed later, or may have succeeded already.
    pub fn may_repeat(&self) -> bool {
        match self {
            AdminError::Unreached { .. } => true,
            AdminError::Refused { status, .. } => *status >= 500,
        }
    }
}

/// An operator who speaks to one node.
pub struct Operator {
    http: Client,
    address: String,
}

impl Operator {
    /// An operator at a node's admin address, `host:port`.
    pub fn new(address: impl Into<String>) -> Operator {
        Operator {
            http: Client::builder().timeout(ANSWER_TIMEOUT).finish(),
            address: address.into(),
        }
    }

    /// Asks for a plan and returns its id.
    pub async fn plan(&self, intent: &Value) -> Result<String, AdminError> {
        let body = json!({"intent": intent, "operator": OPERATOR});
        let answer = self.post("/admin/v1/plans", &body).await?;
        let id = answer["id"].as_str();
        id.map(str::to_owned).ok_or_else(|| AdminError::Refused {
            address: self.address.clone(),
            status: 200,
            body: format!("a plan without id: {answer}"),
        })
    }

    /// Confirms a plan. The plan's id is the token, so that a repeat gets the same answer.
    pub async fn confirm(&self, plan: &str) -> Result<Value, AdminError> {
        self.post(
            &format!("/admin/v1/plans/{plan}/confirm"),
            &json!({"token": plan}),
        )
        .await
    }

    async fn post(&self, path: &str, body: &Value) -> Result<Value, AdminError> {
        let unreached = |cause: String| AdminError::Unreached {
            address: self.address.clone(),
            cause,
        };
        let url = format!("http://{}{path}", self.address);
        let mut response = self
            .http
            .post(url)
            .send_json(body)
            .await
            .map_err(|error| unreached(error.to_string()))?;
        let bytes = response
            .body()
            .await
            .map_err(|error| unreached(error.to_string()))?;
        let status = response.status();
        if !status.is_success() {
            return Err(AdminError::Refused {
                address: self.address.clone(),
                status: status.as_u16(),
                body: String::from_utf8_lossy(&bytes).into_owned(),
            });
        }
        serde_json::from_slice(&bytes).map_err(|error| unreached(error.to_string()))
    }
}

/// The intent to change a tenant's limits.
pub fn tenant_intent(tenant: &str, batch_weight: u32) -> Value {
    json!({"intent": "tenant", "tenant": tenant, "batch_weight": batch_weight})
}

/// The intent to drain a server.
pub fn drain_intent(server: &str) -> Value {
    json!({"intent": "drain", "kind": "server", "name": server})
}

/// The intent to take a drained server back.
pub fn undrain_intent(server: &str) -> Value {
    json!({"intent": "undrain", "kind": "server", "name": server})
}
