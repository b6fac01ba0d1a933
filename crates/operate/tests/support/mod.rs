//! In-memory fleet for tests: tables, platform and engines, without sockets.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use async_trait::async_trait;
use dappleyard_decide::fence::{OrderPosition, admits};
use dappleyard_engine::{
    CacheEvent, Engine, EngineError, EngineOrder, EngineReport, EventStream, GenerateCall,
    LoadedModel, OrderKind,
};
use dappleyard_operate::intent::{DrainKind, DrainTarget, Intent, Rollout};
use dappleyard_operate::plans::propose::{ProposalInputs, propose};
use dappleyard_operate::plans::store::StoredPlan;
use dappleyard_operate::status::{FleetStatus, ServerStatus};
use dappleyard_settings::OperateSettings;
use dappleyard_store::{MemoryPlatform, TableStore, Transaction};
use dappleyard_tables::directory::ServerEntry;
use dappleyard_tables::{Identity, NodeTables};
use dappleyard_wire::keys;
use dappleyard_wire::messages::ServiceRow;
use prost::Message;

pub const SERVICE: &str = "fittings-llm";
pub const NOW_MS: u64 = 1_700_000_000_000;

pub fn tables(node: &str, incarnation: u64) -> Arc<NodeTables> {
    NodeTables::new(Identity {
        node: node.into(),
        zone: "howrah".into(),
        region: "bengal".into(),
        incarnation,
    })
}

/// Server `s{n}`; even numbers are in zone `howrah`, odd ones in `haldia`.
pub fn entry(number: usize) -> ServerEntry {
    let zone = if number.is_multiple_of(2) {
        "howrah"
    } else {
        "haldia"
    };
    ServerEntry {
        server: format!("s{number}").into(),
        service: SERVICE.into(),
        region: "bengal".into(),
        zone: zone.into(),
        hall: format!("{zone}-hall"),
        base_url: format!("http://s{number}"),
        leaving: false,
        owner: Some("node-1".into()),
    }
}

pub fn status(servers: usize) -> FleetStatus {
    FleetStatus {
        servers: (0..servers).map(server_status).collect(),
        ..FleetStatus::default()
    }
}

fn server_status(number: usize) -> ServerStatus {
    let entry = entry(number);
    ServerStatus {
        server: entry.server.to_string(),
        service: entry.service.to_string(),
        region: entry.region.to_string(),
        zone: entry.zone.to_string(),
        hall: entry.hall,
        owner: "node-1".to_owned(),
        state: "serving".to_owned(),
        reason: String::new(),
        live: None,
    }
}

pub fn service_row() -> ServiceRow {
    ServiceRow {
        name: SERVICE.to_owned(),
        version: "v1".to_owned(),
        ..ServiceRow::default()
    }
}

pub async fn put(store: &MemoryPlatform, key: String, row: &impl Message) {
    let write = Transaction::default().put(key, row.encode_to_vec());
    store
        .transact(write)
        .await
        .expect("the memory platform writes");
}

/// Platform that contains only the service row.
pub async fn platform() -> MemoryPlatform {
    let store = MemoryPlatform::default();
    put(&store, keys::service(SERVICE), &service_row()).await;
    store
}

pub fn row<M: Message + Default>(store: &MemoryPlatform, key: &str) -> Option<M> {
    let row = store.row(key)?;
    Some(M::decode(row.value).expect("the row decodes"))
}

pub fn rollout(version: &str) -> Intent {
    Intent::Rollout(Rollout {
        service: SERVICE.to_owned(),
        version: version.to_owned(),
        canary_percent: 25,
    })
}

pub fn drain(kind: DrainKind, name: &str) -> Intent {
    Intent::Drain(DrainTarget {
        kind,
        name: name.to_owned(),
    })
}

pub async fn propose_plan(
    store: &MemoryPlatform,
    fleet: &FleetStatus,
    intent: &Intent,
) -> Result<StoredPlan, dappleyard_wire::Failure> {
    let settings = OperateSettings::default();
    let inputs = ProposalInputs {
        settings: &settings,
        status: fleet,
        jobs: &[],
        operator: "test",
        unix_ms: NOW_MS,
    };
    propose(store, intent, &inputs).await
}

#[derive(Default)]
pub struct FakeServer {
    pub version: String,
    pub accepting: bool,
    pub applied: OrderPosition,
    pub orders: Vec<EngineOrder>,
    pub refuse_versions: Vec<String>,
    pub load_failure: String,
    pub step_ms: f64,
    pub running: u32,
    pub adapters: Vec<String>,
    pub down: bool,
    /// Version being loaded until `finish_loads`.
    pub loading: String,
}

/// In-memory engines; loads complete in `finish_loads`.
#[derive(Clone, Default)]
pub struct FakeEngines {
    servers: Rc<RefCell<BTreeMap<String, FakeServer>>>,
}

impl FakeEngines {
    pub fn new(count: usize, version: &str) -> FakeEngines {
        let engines = FakeEngines::default();
        for number in 0..count {
            let server = FakeServer {
                version: version.to_owned(),
                accepting: true,
                step_ms: 3.0,
                ..FakeServer::default()
            };
            engines
                .servers
                .borrow_mut()
                .insert(format!("http://s{number}"), server);
        }
        engines
    }

    pub fn with<R>(&self, number: usize, change: impl FnOnce(&mut FakeServer) -> R) -> R {
        let mut servers = self.servers.borrow_mut();
        change(
            servers
                .get_mut(&format!("http://s{number}"))
                .expect("a known server"),
        )
    }

    pub fn finish_loads(&self) {
        for server in self.servers.borrow_mut().values_mut() {
            let loading = std::mem::take(&mut server.loading);
            if loading.is_empty() {
                continue;
            }
            if server.refuse_versions.contains(&loading) {
                server.load_failure = format!("{loading}: checksum differs");
            } else {
                server.version = loading;
                server.load_failure.clear();
            }
        }
    }

    pub fn loading(&self) -> usize {
        let servers = self.servers.borrow();
        servers
            .values()
            .filter(|server| !server.loading.is_empty())
            .count()
    }

    pub fn versions(&self) -> Vec<String> {
        let servers = self.servers.borrow();
        servers
            .values()
            .map(|server| server.version.clone())
            .collect()
    }

    fn read<R>(
        &self,
        base: &str,
        read: impl FnOnce(&mut FakeServer) -> Result<R, EngineError>,
    ) -> Result<R, EngineError> {
        let mut servers = self.servers.borrow_mut();
        match servers.get_mut(base) {
            Some(server) if !server.down => read(server),
            _ => Err(EngineError::Unreachable {
                reason: "it is down".to_owned(),
            }),
        }
    }
}

fn report(base: &str, server: &FakeServer) -> EngineReport {
    EngineReport {
        server: base.trim_start_matches("http://").to_owned(),
        sequence: 1,
        age_ms: 0,
        model: server.loading.is_empty().then(|| LoadedModel {
            service: SERVICE.to_owned(),
            version: server.version.clone(),
            adapters: server.adapters.clone(),
        }),
        loading: server.loading.clone(),
        running_online: server.running,
        running_batch: 0,
        waiting_online: 0,
        waiting_batch: 0,
        free_blocks: 100,
        total_blocks: 100,
        block_tokens: 16,
        maximum_sequences: 128,
        step_ms: server.step_ms,
        accepting: server.accepting,
        order_epoch: server.applied.epoch,
        order_sequence: server.applied.sequence,
        load_failure: server.load_failure.clone(),
    }
}

#[async_trait(?Send)]
impl Engine for FakeEngines {
    async fn generate(&self, _: &str, _: GenerateCall) -> Result<EventStream, EngineError> {
        Err(EngineError::Refused {
            status: 503,
            reason: "not in this test".to_owned(),
        })
    }

    async fn cancel(&self, _: &str, _: &str) -> Result<(), EngineError> {
        Ok(())
    }

    async fn report(&self, base: &str) -> Result<EngineReport, EngineError> {
        self.read(base, |server| Ok(report(base, server)))
    }

    async fn status(&self, base: &str) -> Result<EngineReport, EngineError> {
        self.read(base, |server| Ok(report(base, server)))
    }

    async fn cache_events(&self, _: &str, _: u64) -> Result<Vec<CacheEvent>, EngineError> {
        Ok(Vec::new())
    }

    async fn order(&self, base: &str, order: EngineOrder) -> Result<(), EngineError> {
        self.read(base, |server| {
            let offered = OrderPosition {
                epoch: order.epoch,
                sequence: order.sequence,
            };
            if !admits(server.applied, offered) {
                return Err(EngineError::Refused {
                    status: 409,
                    reason: "an old order".to_owned(),
                });
            }
            server.applied = offered;
            server.orders.push(order.clone());
            match order.kind {
                OrderKind::LoadVersion { version, .. } => {
                    server.load_failure.clear();
                    server.loading = version;
                }
                OrderKind::LoadAdapter { adapter } => server.adapters.push(adapter),
                OrderKind::SetAccepting { accepting } => server.accepting = accepting,
            }
            Ok(())
        })
    }
}
