//! State of a node and of the servers it owns.

use dappleyard_tables::servers::OwnedServer;
use dappleyard_tables::{Lifecycle, NodeTables};
use serde::{Deserialize, Serialize};

/// Response of `GET /admin/v1/local`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LocalReport {
    pub node: String,
    pub zone: String,
    pub region: String,
    /// `starting`, `ready`, `withdrawn`, `draining` or `stopped`.
    pub lifecycle: String,
    pub configuration_revision: u64,
    /// Servers owned by the node.
    pub servers: Vec<LocalServer>,
}

impl LocalReport {
    /// Number of sequences in flight from this node.
    pub fn busy(&self) -> usize {
        let servers = self.servers.iter();
        servers.map(|server| server.online + server.batch).sum()
    }
}

/// State of a server as observed by its owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LocalServer {
    pub server: String,
    /// Loaded version; empty if none.
    pub version: String,
    /// Version being loaded; empty if none.
    pub loading: String,
    /// Error of the last load; empty if none.
    pub load_failure: String,
    /// Reason for not sending new work; `None` if the server is in use.
    pub withdrawn: Option<String>,
    /// Online sequences in flight from the owner.
    pub online: usize,
    /// Batch sequences in flight from the owner.
    pub batch: usize,
    /// Current limit on batch sequences.
    pub batch_width: u32,
    /// Step time reported by the engine.
    pub step_ms: f64,
    /// Consecutive failed calls to the engine.
    pub failures: u32,
    /// Age of the engine's last report; `None` before the first.
    pub report_age_ms: Option<u64>,
}

pub const fn lifecycle_name(lifecycle: Lifecycle) -> &'static str {
    match lifecycle {
        Lifecycle::Starting => "starting",
        Lifecycle::Ready => "ready",
        Lifecycle::Withdrawn => "withdrawn",
        Lifecycle::Draining => "draining",
        Lifecycle::Stopped => "stopped",
    }
}

pub fn local_report(tables: &NodeTables) -> LocalReport {
    let now = tables.clock.now();
    let servers = tables.servers.all();
    LocalReport {
        node: tables.identity.node.to_string(),
        zone: tables.identity.zone.to_string(),
        region: tables.identity.region.to_string(),
        lifecycle: lifecycle_name(*tables.lifecycle.borrow()).to_owned(),
        configuration_revision: tables.configuration.revision(),
        servers: servers
            .iter()
            .map(|server| local_server(server, now))
            .collect(),
    }
}

fn local_server(server: &OwnedServer, now: dappleyard_decide::time::Millis) -> LocalServer {
    let report = server.report.as_ref();
    let text = |read: fn(&dappleyard_engine::EngineReport) -> &str| {
        report.map_or_else(String::new, |(report, _)| read(report).to_owned())
    };
    LocalServer {
        server: server.entry.server.to_string(),
        version: server.version().unwrap_or_default().to_owned(),
        loading: text(|report| &report.loading),
        load_failure: text(|report| &report.load_failure),
        withdrawn: server.withdrawn.as_ref().map(|(reason, _)| reason.clone()),
        online: server.online.len(),
        batch: server.batch.len(),
        batch_width: server.batch_width,
        step_ms: report.map_or(0.0, |(report, _)| report.step_ms),
        failures: server.failures,
        report_age_ms: report.map(|(report, at)| now.since(*at) + u64::from(report.age_ms)),
    }
}
