//! Online callers: streamed chat requests whose responses are checked byte for byte.

use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use dappleyard_wire::hash::hash_bytes;
use futures::StreamExt;
use serde_json::json;

use super::client::{self, error_object, refusal};
use super::expected::{ExpectedResponse, canonical_prompt};
use super::plan::{OnceArrival, OnlineArrival};
use super::sse::{EventReader, StreamEvent};
use crate::recorder::{OnlineEnd, OnlineRecord, Recorder};

/// Time after the deadline of a request at which the caller gives up.
const DEADLINE_GRACE: Duration = Duration::from_secs(10);

/// State shared by the online callers of one thread.
pub struct OnlineCallers {
    pub http: Client,
    pub recorder: Recorder,
    pub sidecars: Rc<Vec<String>>,
    pub service: String,
    /// Versions that may be loaded during the run.
    pub versions: Vec<String>,
    /// Part of the request ids.
    pub seed: u64,
}

/// The part of a response received so far.
#[derive(Default)]
struct PartialResponse {
    text: String,
    version: Option<String>,
    first_token: Option<Duration>,
    last_token: Option<Duration>,
    gaps_ms: Vec<f32>,
}

impl PartialResponse {
    fn add(&mut self, text: &str, now: Duration) {
        if let Some(last) = self.last_token {
            self.gaps_ms.push((now - last).as_secs_f32() * 1_000.0);
        }
        self.first_token.get_or_insert(now);
        self.last_token = Some(now);
        self.text.push_str(text);
    }
}

impl OnlineCallers {
    /// Sends a request, and its resend if it has one.
    pub async fn call(&self, arrival: &OnlineArrival, always_resend: bool) {
        let resend_after = arrival
            .once
            .as_ref()
            .and_then(|once| match once.resend_after {
                None if always_resend => Some(Duration::from_millis(50)),
                planned => planned,
            });
        let first = self.send(arrival, false);
        let Some(wait) = resend_after else {
            return first.await;
        };
        let second = async {
            tokio::time::sleep(wait).await;
            self.send(arrival, true).await;
        };
        futures::join!(first, second);
    }

    async fn send(&self, arrival: &OnlineArrival, resend: bool) {
        let request_id = request_id(self.seed, &arrival.name, resend);
        let sent = self.recorder.clock.now();
        let mut received = PartialResponse::default();
        let wait_limit = Duration::from_millis(u64::from(arrival.deadline_ms)) + DEADLINE_GRACE;
        let exchange = self.exchange(arrival, resend, &request_id, &mut received);
        let end = tokio::time::timeout(wait_limit, exchange)
            .await
            .unwrap_or_else(|_| {
                OnlineEnd::Broken("response did not end before the timeout".to_owned())
            });
        let record = OnlineRecord {
            name: arrival.name.clone(),
            request_id,
            tenant: arrival.tenant.clone(),
            sidecar: self.sidecar_index(arrival, resend),
            once_key: arrival.once.as_ref().map(|once| once.key.clone()),
            resend,
            sent,
            first_token: received.first_token,
            ended: self.recorder.clock.now(),
            text_bytes: received.text.len(),
            wrong_text: self.check_text(arrival, &received, &end),
            gaps_ms: received.gaps_ms,
            end,
        };
        self.recorder.add_online(record);
    }

    /// A resend uses another sidecar, like another process of the same client.
    fn sidecar_index(&self, arrival: &OnlineArrival, resend: bool) -> usize {
        (arrival.sidecar + usize::from(resend)) % self.sidecars.len()
    }

    fn check_text(
        &self,
        arrival: &OnlineArrival,
        received: &PartialResponse,
        end: &OnlineEnd,
    ) -> Option<String> {
        let expected = ExpectedResponse {
            versions: match &received.version {
                Some(version) => vec![version.clone()],
                None => self.versions.clone(),
            },
            prompt: canonical_prompt(&arrival.system, &arrival.user),
            max_tokens: arrival.max_tokens,
        };
        match end {
            OnlineEnd::Whole => expected.check_complete(&received.text),
            _ => expected.check_prefix(&received.text),
        }
    }

    async fn exchange(
        &self,
        arrival: &OnlineArrival,
        resend: bool,
        request_id: &str,
        received: &mut PartialResponse,
    ) -> OnlineEnd {
        let base = &self.sidecars[self.sidecar_index(arrival, resend)];
        let mut request = self
            .http
            .post(format!("{base}/v1/chat/completions"))
            .insert_header((client::TENANT, arrival.tenant.as_str()))
            .insert_header((client::SESSION, arrival.session.as_str()))
            .insert_header((client::DEADLINE, arrival.deadline_ms.to_string()))
            .insert_header((client::REQUEST_ID, request_id));
        if let Some(OnceArrival { key, .. }) = &arrival.once {
            request = request
                .insert_header((client::REPEAT, "never"))
                .insert_header((client::IDEMPOTENCY_KEY, key.as_str()));
        }
        let body = json!({
            "model": self.service,
            "stream": true,
            "max_tokens": arrival.max_tokens,
            "messages": [
                {"role": "system", "content": arrival.system},
                {"role": "user", "content": arrival.user},
            ],
        });
        let mut response = match request.send_json(&body).await {
            Ok(response) => response,
            Err(error) => return OnlineEnd::Broken(error.to_string()),
        };
        let status = response.status().as_u16();
        if status != 200 {
            return match response.body().await {
                Ok(body) => OnlineEnd::Refused(refusal(status, &body)),
                Err(error) => OnlineEnd::Broken(error.to_string()),
            };
        }
        let version = response.headers().get(client::VERSION);
        received.version = version
            .and_then(|version| version.to_str().ok())
            .filter(|version| !version.is_empty())
            .map(str::to_owned);
        let mut reader = EventReader::default();
        let mut finished = false;
        while let Some(part) = response.next().await {
            let part = match part {
                Ok(part) => part,
                Err(error) => return OnlineEnd::Broken(error.to_string()),
            };
            let now = self.recorder.clock.now();
            for event in reader.push(&part) {
                match event {
                    StreamEvent::Text(text) => received.add(&text, now),
                    StreamEvent::Finish(_) => finished = true,
                    StreamEvent::Error(error) => {
                        return OnlineEnd::Refused(error_object(0, &error));
                    }
                    StreamEvent::Done if finished => return OnlineEnd::Whole,
                    StreamEvent::Done => {
                        return OnlineEnd::Broken(
                            "stream ended without a finish reason".to_owned(),
                        );
                    }
                }
            }
        }
        OnlineEnd::Broken("connection closed before the response was complete".to_owned())
    }
}

/// Request id of 32 hexadecimal digits, the same in each run of a seed.
fn request_id(seed: u64, name: &str, resend: bool) -> String {
    let low = hash_bytes(format!("{seed}/{name}/{resend}").as_bytes());
    let high = hash_bytes(format!("{resend}/{name}/{seed}").as_bytes());
    format!("{high:016x}{low:016x}")
}
