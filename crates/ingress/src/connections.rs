//! Opens connections to servers and checks their health.

use std::time::Duration;

use bytes::Bytes;
use dappleyard_model::{ResponseMetadata, ServerRecord};
use dappleyard_upstream::{Connection, ConnectionPermit, RequestKey, Wanted, request_bytes};
use http::header::HOST;
use http::{HeaderValue, Method};

use crate::attempt::{AttemptError, Ran, SUSPECT_DURATION, Upstreams};
use crate::metrics::Metrics;
use crate::response_matching::MAX_STRAY_RESPONSE_BYTES;
use dappleyard_clock::Instant;

/// Allows for the path to another zone and for the wait for a slot.
pub(crate) const HEALTH_TIMEOUT: Duration = Duration::from_millis(400);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

impl Upstreams {
    /// Returns an idle connection to a server that has not carried the request, or opens a new one.
    pub(crate) async fn connect(
        &self,
        server: &ServerRecord,
        request: RequestKey,
    ) -> Result<Connection, AttemptError> {
        let address = server.address;
        if self.node.loads.is_unconfirmed(&server.id) {
            // A request sent on a stale connection counts as possibly run. A failed connect does
            // not, so a new connection is safer.
            self.pool.forget(address);
        }
        // A server that was unreachable may have lost its connections, and a request sent on one of
        // them would count as possibly run.
        let wanted = Wanted {
            used_since: self.node.loads.returned_at(&server.id),
            request: Some(request),
        };
        let mut connection = match self.pool.take_for(address, &wanted) {
            Some(connection) => connection,
            None => self.open(server).await?,
        };
        connection.note_carried(request);
        Ok(connection)
    }

    /// A permit for a connection to a server. Idle connections are closed for it.
    fn permit(&self) -> Result<ConnectionPermit, AttemptError> {
        loop {
            if let Some(permit) = self.node.server_connections.acquire() {
                return Ok(permit);
            }
            if !self.pool.close_oldest() {
                Metrics::count(&self.node.metrics.server_connections_refused);
                let reason = "too many connections to servers";
                return Err(AttemptError::local(Ran::No, reason));
            }
        }
    }

    /// Opens a connection for a request.
    async fn open(&self, server: &ServerRecord) -> Result<Connection, AttemptError> {
        let permit = self.permit()?;
        self.open_with(server, Some(permit)).await
    }

    /// Opens a connection for a check. It does not count toward the limit, since a server must not be taken for lost
    /// because the node has too many connections.
    async fn open_check(&self, server: &ServerRecord) -> Result<Connection, AttemptError> {
        self.open_with(server, None).await
    }

    async fn open_with(
        &self,
        server: &ServerRecord,
        permit: Option<ConnectionPermit>,
    ) -> Result<Connection, AttemptError> {
        Metrics::count(&self.node.metrics.connections);
        let started = Instant::now();
        let opened = Connection::open_with(server.address, CONNECT_TIMEOUT, permit).await;
        if opened.is_ok() {
            let zone_distances = self.node.view.zone_distances();
            zone_distances.note_connect_time(&server.zone, started.elapsed());
        }
        opened.map_err(|error| AttemptError {
            ran: Ran::No,
            reason: error.to_string(),
            unreachable: true,
            broken_off: false,
            invalid: None,
        })
    }

    /// Whether a server is up, judged by its health endpoint, since a hung process still accepts
    /// connections. A service without one is judged by a connection, which is then kept in the
    /// pool.
    pub(crate) async fn is_up(&self, server: &ServerRecord) -> bool {
        let is_up = match self.health_path(server) {
            Some(path) => self
                .request_health(server, &path, HEALTH_TIMEOUT)
                .await
                .is_some(),
            None => self.can_connect(server).await,
        };
        match is_up {
            true => self.node.loads.note_received(&server.id),
            false => self.node.loads.mark_suspect(&server.id, SUSPECT_DURATION),
        }
        is_up
    }

    fn health_path(&self, server: &ServerRecord) -> Option<String> {
        let configuration = self.node.view.configuration()?;
        let path = configuration.service(&server.service)?.health_path.clone();
        (!path.is_empty()).then_some(path)
    }

    async fn can_connect(&self, server: &ServerRecord) -> bool {
        let Ok(connection) = self.open_check(server).await else {
            return false;
        };
        // Older connections may be dead, so only the new one is kept.
        self.pool.forget(server.address);
        self.pool.put(server.address, connection);
        true
    }

    /// Requests a server's health. Returns the status and the facts of the headers, or `None` if it
    /// does not respond in time.
    pub(crate) async fn request_health(
        &self,
        server: &ServerRecord,
        path: &str,
        limit: Duration,
    ) -> Option<(u16, ResponseMetadata)> {
        let host = HeaderValue::from_str(&server.address.to_string()).ok()?;
        let headers = [(&HOST, &host)].into_iter();
        let request = request_bytes(&Method::GET, path, headers, &Bytes::new());
        let exchange = async {
            // Idle connections may be stale.
            let mut connection = self.open_check(server).await.ok()?;
            let head = connection.send(&request).await.ok()?;
            let facts = self
                .node
                .dialect
                .response_metadata(head.status, &head.headers);
            if let Some(load) = facts.load {
                self.record_reported_slowdown(server, load);
            }
            connection
                .discard_body(MAX_STRAY_RESPONSE_BYTES)
                .await
                .ok()?;
            self.pool.forget(server.address);
            self.pool.put(server.address, connection);
            Some((head.status, facts))
        };
        tokio::time::timeout(limit, exchange).await.ok()?
    }
}
