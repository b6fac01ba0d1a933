//! Concurrent requests to the admin API of the other nodes, each with a timeout.

use std::sync::Arc;
use std::time::Duration;

use dappleyard_tables::NodeTables;
use dappleyard_wire::messages::MemberState;
use futures::StreamExt;
use serde::de::DeserializeOwned;

const CONCURRENCY: usize = 32;
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Client for the admin API of the other nodes.
#[derive(Clone)]
pub struct Peers {
    tables: Arc<NodeTables>,
    client: awc::Client,
}

/// Responses of the peers, and the peers that failed.
#[derive(Debug, Clone)]
pub struct PeerResponses<T> {
    pub responses: Vec<T>,
    /// Node and error of each failed request.
    pub failed: Vec<(String, String)>,
}

impl Peers {
    /// Creates a client with a timeout per request.
    pub fn new(tables: Arc<NodeTables>, timeout_ms: u64) -> Peers {
        let timeout = Duration::from_millis(timeout_ms.max(1));
        Peers {
            tables,
            client: awc::Client::builder().timeout(timeout).finish(),
        }
    }

    /// Sends `GET path` to every alive or suspect peer.
    pub async fn query<T: DeserializeOwned>(&self, path: &str) -> PeerResponses<T> {
        self.query_where(path, |_| true).await
    }

    /// Sends `GET path` to the alive or suspect peers that `include` selects.
    pub async fn query_where<T: DeserializeOwned>(
        &self,
        path: &str,
        include: impl Fn(&str) -> bool,
    ) -> PeerResponses<T> {
        let addresses = self.addresses().into_iter();
        let requests =
            addresses
                .filter(|(node, _)| include(node))
                .map(|(node, address)| async move {
                    let answer = self
                        .query_one::<T>(&format!("http://{address}{path}"))
                        .await;
                    (node, answer)
                });
        let mut results = futures::stream::iter(requests).buffer_unordered(CONCURRENCY);
        let mut collected = PeerResponses {
            responses: Vec::new(),
            failed: Vec::new(),
        };
        while let Some((node, answer)) = results.next().await {
            match answer {
                Ok(answer) => collected.responses.push(answer),
                Err(cause) => collected.failed.push((node, cause)),
            }
        }
        collected.failed.sort();
        collected
    }

    async fn query_one<T: DeserializeOwned>(&self, url: &str) -> Result<T, String> {
        let mut response = self
            .client
            .get(url)
            .send()
            .await
            .map_err(|error| error.to_string())?;
        if !response.status().is_success() {
            return Err(format!("answered {}", response.status()));
        }
        let answer = response.json().limit(MAX_RESPONSE_BYTES).await;
        answer.map_err(|error| error.to_string())
    }

    fn addresses(&self) -> Vec<(String, String)> {
        let own_node = self.tables.identity.node.as_str();
        let members = self.tables.members.all();
        members
            .into_iter()
            .filter(|member| member.node != own_node && !member.admin_address.is_empty())
            .filter(|member| {
                matches!(
                    member.state(),
                    MemberState::MemberAlive | MemberState::MemberSuspect
                )
            })
            .map(|member| (member.node, member.admin_address))
            .collect()
    }
}
