//! Connections to servers, and the question that is no request.

use std::time::Duration;

use bytes::Bytes;
use dappleyard_model::{AnswerFacts, ServerRecord};
use dappleyard_upstream::{Connection, request_bytes};
use http::header::HOST;
use http::{HeaderValue, Method};

use crate::attempt::{AttemptError, FOREIGN_BYTES, Ran, SUSPECT_TIME, Upstreams};
use crate::metrics::Metrics;
use dappleyard_clock::Instant;

/// Longest wait for the answer to a health question: the way to another zone, and a slot.
pub(crate) const HEALTH_LIMIT: Duration = Duration::from_millis(400);
/// Time for a connection to come up.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

impl Upstreams {
    /// A connection to a server: one that rests, or a new one.
    pub(crate) async fn connect(&self, server: &ServerRecord) -> Result<Connection, AttemptError> {
        let address = server.address;
        if self.node.loads.is_doubted(&server.id) {
            // What is sent on a connection of a lost server may have run for all that is known; a connection
            // that does not come up costs nothing.
            self.pool.forget(address);
        }
        // A server that was away has forgotten its connections; a request on one of them would count as run.
        let back = self.node.loads.back(&server.id);
        if let Some(connection) = self.pool.take_after(address, back) {
            return Ok(connection);
        }
        self.open(server).await
    }

    async fn open(&self, server: &ServerRecord) -> Result<Connection, AttemptError> {
        Metrics::count(&self.node.metrics.connections);
        let started = Instant::now();
        let opened = Connection::open(server.address, CONNECT_LIMIT).await;
        if opened.is_ok() {
            let ways = self.node.view.ways();
            ways.note(&server.zone, started.elapsed());
        }
        opened.map_err(|error| AttemptError {
            ran: Ran::No,
            reason: error.to_string(),
            unreachable: true,
            broken_off: false,
        })
    }

    /// Whether a server answers. It is asked for its health: the connections of one that hangs come up all the
    /// same. Where its service has no such question, a connection has to do; it is kept for requests.
    pub(crate) async fn answers(&self, server: &ServerRecord) -> bool {
        let answers = match self.health_path(server) {
            Some(path) => self.ask_health(server, &path, HEALTH_LIMIT).await.is_some(),
            None => self.reaches(server).await,
        };
        match answers {
            true => self.node.loads.heard(&server.id),
            false => self.node.loads.suspect(&server.id, SUSPECT_TIME),
        }
        answers
    }

    /// Where the servers of a service are asked for their health.
    fn health_path(&self, server: &ServerRecord) -> Option<String> {
        let configuration = self.node.view.configuration()?;
        let path = configuration.service(&server.service)?.health_path.clone();
        (!path.is_empty()).then_some(path)
    }

    async fn reaches(&self, server: &ServerRecord) -> bool {
        let Ok(connection) = self.open(server).await else {
            return false;
        };
        self.pool.forget(server.address);
        self.pool.put(server.address, connection);
        true
    }

    /// Asks a server for its health: the status and what the head says, or `None` without an answer in time.
    pub(crate) async fn ask_health(
        &self,
        server: &ServerRecord,
        path: &str,
        limit: Duration,
    ) -> Option<(u16, AnswerFacts)> {
        let host = HeaderValue::from_str(&server.address.to_string()).ok()?;
        let headers = [(&HOST, &host)].into_iter();
        let request = request_bytes(&Method::GET, path, headers, &Bytes::new());
        let asking = async {
            // What rests may be dead: the server was out of sight.
            let mut connection = self.open(server).await.ok()?;
            let head = connection.send(&request).await.ok()?;
            let facts = self.node.dialect.answer_facts(head.status, &head.headers);
            if let Some(load) = facts.load {
                self.note_told_pace(server, load);
            }
            connection.whole_body(FOREIGN_BYTES).await.ok()?;
            self.pool.forget(server.address);
            self.pool.put(server.address, connection);
            Some((head.status, facts))
        };
        tokio::time::timeout(limit, asking).await.ok()?
    }
}
