//! Client of a node's admin API: intents, plans and confirmations.

use std::time::Duration;

use awc::Client;
use derive_more::{Display, Error};
use serde_json::{Value, json};

/// Operator name sent with each plan.
const OPERATOR: &str = "experiment";
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Failure of an admin call.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum AdminError {
    /// No valid response.
    #[display("no answer from {address}: {cause}")]
    Unreached { address: String, cause: String },
    /// Error response.
    #[display("{address} answered {status}: {body}")]
    Refused {
        address: String,
        status: u16,
        body: String,
    },
}

impl AdminError {
    /// Whether the call may be retried: it may succeed later or have succeeded already.
    pub fn is_retryable(&self) -> bool {
        match self {
            AdminError::Unreached { .. } => true,
            AdminError::Refused { status, .. } => *status >= 500,
        }
    }
}

/// Admin client of one node.
pub struct Operator {
    http: Client,
    address: String,
}

impl Operator {
    /// Creates a client for an admin address, `host:port`.
    pub fn new(address: impl Into<String>) -> Operator {
        Operator {
            http: Client::builder().timeout(ANSWER_TIMEOUT).finish(),
            address: address.into(),
        }
    }

    /// Requests a plan and returns its id.
    pub async fn plan(&self, intent: &Value) -> Result<String, AdminError> {
        let body = json!({"intent": intent, "operator": OPERATOR});
        let answer = self.post("/admin/v1/plans", &body).await?;
        let id = answer["id"].as_str();
        id.map(str::to_owned).ok_or_else(|| AdminError::Refused {
            address: self.address.clone(),
            status: 200,
            body: format!("plan response has no id: {answer}"),
        })
    }

    /// Confirms a plan. The plan id is the idempotency token, so a retry gets the same response.
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

pub fn tenant_intent(tenant: &str, batch_weight: u32) -> Value {
    json!({"intent": "tenant", "tenant": tenant, "batch_weight": batch_weight})
}

pub fn drain_intent(server: &str) -> Value {
    json!({"intent": "drain", "kind": "server", "name": server})
}

pub fn undrain_intent(server: &str) -> Value {
    json!({"intent": "undrain", "kind": "server", "name": server})
}
