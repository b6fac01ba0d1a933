//! One attempt at one server.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dappleyard_model::{AnswerFacts, Homes, ServerRecord, ServerStamp, TenantStamp};
use dappleyard_upstream::{
    AnswerHead, BodyFraming, Connection, ExchangeError, IdleLimit, Pool, Stage, request_bytes,
};
use derive_more::{Display, Error};
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::cold;
use crate::holding::Allowance;
use crate::homes;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::patience::Patience;
use dappleyard_clock::Instant;

/// Answers to other requests that are passed over on one connection.
const FOREIGN_ANSWERS: usize = 2;
/// Longest answer to another request that is passed over, bytes.
pub(crate) const FOREIGN_BYTES: usize = 1024 * 1024;
/// Time for which a server that broke or fell silent is avoided.
pub(crate) const SUSPECT_TIME: Duration = Duration::from_millis(1_200);
/// Silence from which a server counts as away, and may have begun anew since: then nobody knows how cold it is.
const SILENT: Duration = Duration::from_millis(900);
/// How often the silence of a server is looked at.
const SILENCE_TICK: Duration = Duration::from_millis(100);
/// Resting connections kept to one server.
const RESTING: usize = 24;
/// How long a resting connection may be used again.
const IDLE: IdleLimit = IdleLimit {
    default: Duration::from_secs(10),
    margin: Duration::from_millis(700),
};

/// Whether a request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Ran {
    /// It certainly has not, and will not.
    #[display("no")]
    No,
    /// It may have.
    #[display("maybe")]
    Maybe,
    /// It has.
    #[display("yes")]
    Yes,
}

/// An attempt that brought no answer of use.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{reason}")]
pub struct AttemptError {
    /// Whether the request has run at this server.
    pub ran: Ran,
    /// What was seen.
    pub reason: String,
    /// The server itself was not reached or fell silent.
    pub unreachable: bool,
    /// The connection was closed or reset while the server was at work: the server may have ended.
    pub broken_off: bool,
}

impl AttemptError {
    /// An answer that broke off inside its body.
    pub fn inside_answer(error: &ExchangeError) -> Self {
        Self {
            ran: Ran::Yes,
            reason: error.to_string(),
            unreachable: false,
            broken_off: true,
        }
    }

    /// A run that ended for a reason of this node's own, or with an answer of no use.
    pub fn own(ran: Ran, reason: impl Into<String>) -> Self {
        Self {
            ran,
            reason: reason.into(),
            unreachable: false,
            broken_off: false,
        }
    }
}

/// What is sent to a server.
pub struct Attempt<'a> {
    /// Method.
    pub method: &'a Method,
    /// Path and query.
    pub target: &'a str,
    /// The caller's headers.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a Bytes,
    /// Identifier of the request.
    pub id: &'a str,
    /// Time that is left.
    pub remaining_ms: Option<u64>,
    /// Event after which the server should go on.
    pub last_event_id: Option<u64>,
    /// Whose request it is.
    pub tenant: TenantStamp<'a>,
    /// Regions in which it may be served.
    pub homes: &'a Homes,
    /// Silence of the server that is borne.
    pub patience: Patience,
}

/// An answer whose body is still to be read.
pub struct Exchange {
    /// Connection that it comes on.
    pub connection: Connection,
    /// Head of the answer.
    pub head: AnswerHead,
    /// What the head says.
    pub facts: AnswerFacts,
    /// The server.
    pub server: Arc<ServerRecord>,
}

impl Exchange {
    /// Whether the end of the body shows that it is whole.
    pub fn is_framed(&self) -> bool {
        self.head.framing != BodyFraming::UntilClose
    }
}

/// Connections to servers of one thread.
#[derive(Clone)]
pub struct Upstreams {
    pub(crate) node: Arc<Node>,
    pub(crate) pool: Rc<Pool>,
    allowance: Rc<Cell<Allowance>>,
}

impl Upstreams {
    /// No connection yet.
    pub fn new(node: Arc<Node>) -> Self {
        Self {
            node,
            pool: Rc::new(Pool::new(IDLE, RESTING)),
            allowance: Rc::default(),
        }
    }

    /// The node.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// How full servers may be for another request.
    pub(crate) fn allowance(&self) -> Allowance {
        self.allowance.get()
    }

    /// Gives a connection back for other requests.
    pub fn release(&self, exchange: Exchange) {
        self.pool.put(exchange.server.address, exchange.connection);
    }

    /// Closes resting connections that are no longer of use.
    pub fn sweep(&self) {
        self.pool.sweep();
    }

    /// Sends a request to a server and waits for the head of its answer.
    pub async fn attempt(
        &self,
        server: &Arc<ServerRecord>,
        attempt: &Attempt<'_>,
    ) -> Result<Exchange, AttemptError> {
        Metrics::count(&self.node.metrics.attempts);
        let request = self.request(server, attempt);
        let mut connection = self.connect(server).await?;
        // What is known of the server may have changed since it was chosen.
        let listed = self.node.view.exclusion(&server.id);
        let listed = listed.or_else(|| homes::refusal(&self.node, server, attempt.homes));
        if let Some(exclusion) = listed.or_else(|| cold::refusal(&self.node, server)) {
            self.pool.put(server.address, connection);
            return Err(AttemptError::own(Ran::No, format!("not sent: {exclusion}")));
        }
        let head = {
            let waiting = self.answer(&mut connection, &request, attempt.id);
            self.with_patience(server, attempt.patience, waiting).await
        };
        let (head, facts) = match head {
            Ok(answer) => answer,
            Err(error) => {
                self.pool.forget(server.address);
                self.note_outcome(server, false);
                return Err(error);
            }
        };
        self.node.loads.heard(&server.id);
        if let Some(load) = facts.load {
            self.note_told_pace(server, load);
            let mut allowance = self.allowance.get();
            allowance.note(load);
            self.allowance.set(allowance);
        }
        if !facts.not_run && (head.status / 100 == 2 || head.status >= 500) {
            self.note_outcome(server, head.status / 100 == 2);
        }
        if facts.not_run {
            let reason = format!("status {} not run", head.status);
            self.drain(connection, server.address).await;
            return Err(AttemptError {
                ran: Ran::No,
                reason,
                unreachable: head.status == 421,
                broken_off: false,
            });
        }
        Ok(Exchange {
            connection,
            head,
            facts,
            server: server.clone(),
        })
    }

    /// Waits for something of a server. Once the server has been silent for as long as is borne, on all
    /// connections of all nodes, it is doubted, and the attempt is given up where it may be.
    pub async fn with_patience<T>(
        &self,
        server: &ServerRecord,
        patience: Patience,
        waiting: impl Future<Output = Result<T, AttemptError>>,
    ) -> Result<T, AttemptError> {
        tokio::pin!(waiting);
        let started = Instant::now();
        let mut pause = patience.first_look();
        let mut next_notice = patience.notice;
        loop {
            match tokio::time::timeout(pause, &mut waiting).await {
                Ok(done) => return done,
                Err(_) => {
                    let own = started.elapsed();
                    let unheard = self.node.loads.silence(&server.id).unwrap_or(own);
                    let silence = unheard.min(own);
                    let slow = || patience.notice_at(self.node.loads.pace(&server.id), SILENT);
                    if silence >= next_notice && unheard >= slow() {
                        next_notice += SUSPECT_TIME / 2;
                        match silence >= SILENT {
                            true => self.node.loads.suspect(&server.id, SUSPECT_TIME),
                            false => self.node.loads.doubt(&server.id, SUSPECT_TIME),
                        }
                    }
                    if patience.leave.is_some_and(|leave| silence >= leave) {
                        return Err(AttemptError {
                            ran: Ran::Maybe,
                            reason: format!("silent for {} ms", silence.as_millis()),
                            unreachable: silence >= SILENT,
                            broken_off: false,
                        });
                    }
                    pause = SILENCE_TICK;
                }
            }
        }
    }

    fn note_outcome(&self, server: &ServerRecord, served: bool) {
        if self.node.loads.note_outcome(&server.id, served) {
            self.node.log.write(
                "server_ejected",
                || serde_json::json!({"server": server.id, "cause": "at least half of its answers are failures"}),
            );
        }
    }

    async fn answer(
        &self,
        connection: &mut Connection,
        request: &[u8],
        id: &str,
    ) -> Result<(AnswerHead, AnswerFacts), AttemptError> {
        let mut head = connection.send(request).await.map_err(broken)?;
        for _ in 0..FOREIGN_ANSWERS {
            let facts = self.node.dialect.answer_facts(head.status, &head.headers);
            match &facts.request_id {
                Some(answered) if answered != id => {
                    self.node.log.write("answer_of_another_request", || {
                        serde_json::json!({"request": id, "answers": answered, "status": head.status})
                    });
                    connection.whole_body(FOREIGN_BYTES).await.map_err(broken)?;
                    head = connection.next_head().await.map_err(broken)?;
                }
                None if head.status / 100 == 2 => {
                    return Err(garbled("answer without identifier"));
                }
                _ if head.status / 100 == 2 && !facts.sealed => {
                    return Err(garbled("success without signature"));
                }
                _ => return Ok((head, facts)),
            }
        }
        Err(garbled("answers of other requests"))
    }

    async fn drain(&self, mut connection: Connection, address: SocketAddr) {
        let reading = connection.whole_body(FOREIGN_BYTES);
        let read = tokio::time::timeout(SILENCE_TICK, reading).await;
        if matches!(read, Ok(Ok(_))) {
            self.pool.put(address, connection);
        }
    }

    fn request(&self, server: &ServerRecord, attempt: &Attempt<'_>) -> Vec<u8> {
        let dialect = &self.node.dialect;
        let stamp = ServerStamp {
            remaining_ms: attempt.remaining_ms,
            expect_instance: &server.instance,
            last_event_id: attempt.last_event_id,
            tenant: attempt.tenant,
        };
        let stamped = dialect.stamp(&stamp);
        let own = stamped.iter().map(|(name, value)| (name, value));
        let passed = attempt
            .headers
            .iter()
            .filter(|(name, _)| is_end_to_end(name, attempt.headers))
            .filter(|(name, _)| !dialect.is_stamped(name, &stamp));
        request_bytes(
            attempt.method,
            attempt.target,
            passed.chain(own),
            attempt.body,
        )
        .to_vec()
    }
}

fn broken(error: ExchangeError) -> AttemptError {
    AttemptError {
        ran: match error.stage {
            Stage::Connect => Ran::No,
            _ => Ran::Maybe,
        },
        reason: error.to_string(),
        unreachable: false,
        broken_off: error.stage > Stage::Connect,
    }
}

fn garbled(reason: &str) -> AttemptError {
    AttemptError::own(Ran::Maybe, reason)
}

/// Whether a header concerns more than one connection.
pub(crate) fn is_end_to_end(name: &HeaderName, headers: &HeaderMap) -> bool {
    let single_hop = [
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    if single_hop.contains(name) || name.as_str() == "keep-alive" {
        return false;
    }
    *name == HOST || !names_connection_header(name, headers.get_all(CONNECTION).iter())
}

fn names_connection_header<'a>(
    name: &HeaderName,
    values: impl Iterator<Item = &'a HeaderValue>,
) -> bool {
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case(name.as_str()))
}
