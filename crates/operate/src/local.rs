//! What one node knows first-hand: itself and the servers that it owns.

use dappleyard_tables::servers::OwnedServer;
use dappleyard_tables::{Lifecycle, NodeTables};
use serde::{Deserialize, Serialize};

/// A node's first-hand report, the answer of `GET /admin/v1/local`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LocalReport {
    /// Node id.
    pub node: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Where the node is in its life: `starting`, `ready`, `withdrawn`, `draining` or `stopped`.
    pub lifecycle: String,
    /// Configuration revision in force on it.
    pub configuration_revision: u64,
    /// Servers that it owns.
    pub servers: Vec<LocalServer>,
}

impl LocalReport {
    /// Sequences in flight from this node.
    pub fn busy(&self) -> usize {
        let servers = self.servers.iter();
        servers.map(|server| server.online + server.batch).sum()
    }
}

/// A server as its owner sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LocalServer {
    /// Server id.
    pub server: String,
    /// Version loaded; empty for none.
    pub version: String,
    /// Version being loaded; empty for none.
    pub loading: String,
    /// What failed at the last load; empty for nothing.
    pub load_failure: String,
    /// Why it takes no new work; `None` while it does.
    pub withdrawn: Option<String>,
    /// Online sequences in flight from the owner.
    pub online: usize,
    /// Batch sequences in flight from the owner.
    pub batch: usize,
    /// Most batch sequences at present.
    pub batch_width: u32,
    /// Step time by the engine's report, milliseconds.
    pub step_ms: f64,
    /// Calls to the engine that failed in a row.
    pub failures: u32,
    /// Age of the engine's last report, milliseconds; `None` before the first.
    pub report_age_ms: Option<u64>,
}

/// Name of a life cycle state in answers.
pub const fn lifecycle_name(lifecycle: Lifecycle) -> &'static str {
    match lifecycle {
        Lifecycle::Starting => "starting",
        Lifecycle::Ready => "ready",
        Lifecycle::Withdrawn => "withdrawn",
        Lifecycle::Draining => "draining",
        Lifecycle::Stopped => "stopped",
    }
}

/// Reports on this node.
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
