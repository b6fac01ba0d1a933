//! Controllers: loads, canary promotion and rollback, fencing, drain orders to engines.

mod support;

use std::sync::Arc;

use dappleyard_operate::controller::{Controllers, ReconcilerDeps};
use dappleyard_operate::metrics::Metrics;
use dappleyard_operate::peers::Peers;
use dappleyard_operate::plans::confirm::{Confirmation, confirm};
use dappleyard_operate::plans::store::read_plan;
use dappleyard_settings::OperateSettings;
use dappleyard_store::{MemoryPlatform, Transaction};
use dappleyard_tables::{Lifecycle, NodeTables};
use dappleyard_wire::keys;
use dappleyard_wire::messages::{ConfigurationEntry, DrainRow, PlanPhase, ServiceRow, WindowRow};
use googletest::prelude::*;
use support::{
    FakeEngines, NOW_MS, SERVICE, entry, platform, propose_plan, put, rollout, row, status,
};

/// Controllers of one node; platform and engines are shared between nodes.
struct Node {
    tables: Arc<NodeTables>,
    controllers: Controllers,
    metrics: Metrics,
    peers: Peers,
    settings: OperateSettings,
}

impl Node {
    fn new(name: &str, servers: usize) -> Node {
        let tables = support::tables(name, 1);
        tables.lifecycle.send_replace(Lifecycle::Ready);
        tables.directory.replace((0..servers).map(entry).collect());
        Node {
            metrics: Metrics::register(&tables),
            peers: Peers::new(tables.clone(), 1_000),
            tables,
            controllers: Controllers::default(),
            settings: OperateSettings {
                canary_watch_ms: 0,
                ..OperateSettings::default()
            },
        }
    }

    /// Applies the stored configuration to this node, as the configuration watcher does.
    fn apply_configuration(&self, store: &MemoryPlatform) {
        let mut state = self.tables.configuration.snapshot();
        state.revision = store.revision();
        state.entries.clear();
        for row in store.rows("config/") {
            let entry = ConfigurationEntry {
                key: row.key.clone(),
                value: row.value.to_vec(),
                ..ConfigurationEntry::default()
            };
            state.entries.insert(row.key, entry);
        }
        self.tables.configuration.replace(state);
    }

    async fn round(&mut self, store: &MemoryPlatform, engines: &FakeEngines) {
        self.apply_configuration(store);
        self.stale_round(store, engines).await;
    }

    /// Runs a round without updating the node's configuration.
    async fn stale_round(&mut self, store: &MemoryPlatform, engines: &FakeEngines) {
        let deps = ReconcilerDeps {
            tables: &self.tables,
            store,
            engine: engines,
            peers: &self.peers,
            settings: &self.settings,
            metrics: &self.metrics,
        };
        self.controllers.round(deps).await;
    }

    async fn rounds(&mut self, count: usize, store: &MemoryPlatform, engines: &FakeEngines) {
        for _ in 0..count {
            self.round(store, engines).await;
            engines.finish_loads();
        }
    }
}

async fn confirm_rollout(store: &MemoryPlatform, servers: usize) -> Result<String> {
    let plan = propose_plan(store, &status(servers), &rollout("v2"))
        .await
        .or_fail()?;
    let confirmation = Confirmation {
        plan: plan.row.id.clone(),
        token: "a".to_owned(),
        unix_ms: NOW_MS,
        region_fresh_ms: 15_000,
    };
    confirm(store, &confirmation).await.expect("accepted");
    Ok(plan.row.id)
}

#[gtest]
#[tokio::test]
async fn empty_servers_are_loaded_up_to_the_concurrency_limit() {
    let store = platform().await;
    let engines = FakeEngines::new(6, "");
    let mut node = Node::new("node-1", 6);
    let mut max_loading = 0;
    for _ in 0..6 {
        node.round(&store, &engines).await;
        max_loading = max_loading.max(engines.loading());
        engines.finish_loads();
    }
    expect_that!(max_loading, eq(node.settings.load_concurrency));
    expect_that!(engines.versions(), each(eq("v1")));
}

#[gtest]
#[tokio::test]
async fn a_healthy_canary_is_promoted_to_all_servers_within_the_budget() -> Result<()> {
    let store = platform().await;
    let engines = FakeEngines::new(8, "v1");
    let mut node = Node::new("node-1", 8);
    node.round(&store, &engines).await;
    confirm_rollout(&store, 8).await?;
    let mut max_loading = 0;
    for _ in 0..20 {
        node.round(&store, &engines).await;
        max_loading = max_loading.max(engines.loading());
        engines.finish_loads();
    }
    expect_that!(engines.versions(), each(eq("v2")));
    // The default budget allows one unavailable server in each of the two zones.
    expect_that!(max_loading, le(2));
    let service: ServiceRow = row(&store, &keys::service(SERVICE)).or_fail()?;
    expect_that!(service.version, eq("v2"));
    expect_that!(service.canary, eq(""));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_canary_that_fails_to_load_is_rolled_back_with_the_reason_in_the_plan() -> Result<()> {
    let store = platform().await;
    let engines = FakeEngines::new(4, "v1");
    for number in 0..4 {
        engines.with(number, |server| {
            server.refuse_versions = vec!["v2".to_owned()]
        });
    }
    let mut node = Node::new("node-1", 4);
    node.round(&store, &engines).await;
    let id = confirm_rollout(&store, 4).await?;
    node.rounds(6, &store, &engines).await;
    let service: ServiceRow = row(&store, &keys::service(SERVICE)).or_fail()?;
    expect_that!(service.version, eq("v1"));
    expect_that!(service.canary, eq(""));
    expect_that!(engines.versions(), each(eq("v1")));
    let plan = read_plan(&store, &id).await.or_fail()?;
    expect_that!(plan.row.phase(), eq(PlanPhase::PlanFailed));
    expect_that!(
        plan.row.message,
        contains_substring("failed to load v2: v2: checksum differs")
    );
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_canary_with_slow_steps_is_rolled_back() -> Result<()> {
    let store = platform().await;
    let engines = FakeEngines::new(4, "v1");
    let mut node = Node::new("node-1", 4);
    node.settings.canary_watch_ms = 60_000;
    node.round(&store, &engines).await;
    confirm_rollout(&store, 4).await?;
    node.rounds(3, &store, &engines).await;
    for number in 0..4 {
        engines.with(number, |server| {
            if server.version == "v2" {
                server.step_ms = 9.0;
            }
        });
    }
    node.rounds(10, &store, &engines).await;
    let service: ServiceRow = row(&store, &keys::service(SERVICE)).or_fail()?;
    expect_that!(service.canary, eq(""));
    expect_that!(service.version, eq("v1"));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_canary_with_failed_calls_is_rolled_back() -> Result<()> {
    let store = platform().await;
    let engines = FakeEngines::new(4, "v1");
    let mut node = Node::new("node-1", 4);
    node.settings.canary_watch_ms = 60_000;
    node.tables.servers.set_owned((0..4).map(entry).collect());
    node.round(&store, &engines).await;
    confirm_rollout(&store, 4).await?;
    node.rounds(3, &store, &engines).await;
    for number in 0..4 {
        if engines.with(number, |server| server.version == "v2") {
            let server = entry(number).server;
            node.tables
                .servers
                .with(&server, |state| state.failures = 2);
        }
    }
    node.rounds(8, &store, &engines).await;
    let service: ServiceRow = row(&store, &keys::service(SERVICE)).or_fail()?;
    expect_that!(service.canary, eq(""));
    expect_that!(service.version, eq("v1"));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_suspended_controller_is_fenced_after_its_takeover() -> Result<()> {
    let store = platform().await;
    let engines = FakeEngines::new(2, "");
    let mut suspended = Node::new("node-1", 2);
    suspended.round(&store, &engines).await;
    engines.finish_loads();
    let mut successor = Node::new("node-2", 2);
    // Disruptions in flight of the suspended controller have timed out.
    successor.settings.disruption_timeout_ms = 0;
    // The version changes while the first controller is suspended and the second takes over.
    let mut next = support::service_row();
    next.version = "v3".to_owned();
    put(&store, keys::service(SERVICE), &next).await;
    successor.rounds(6, &store, &engines).await;
    expect_that!(engines.versions(), each(eq("v3")));
    let orders = engines.with(0, |server| server.orders.len());
    suspended.stale_round(&store, &engines).await;
    suspended.stale_round(&store, &engines).await;
    expect_that!(engines.versions(), each(eq("v3")));
    expect_that!(engines.loading(), eq(0));
    expect_that!(engines.with(0, |server| server.orders.len()), eq(orders));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_restarted_controller_is_not_fenced_by_its_engines() {
    let store = platform().await;
    let engines = FakeEngines::new(2, "");
    let mut node = Node::new("node-1", 2);
    node.rounds(3, &store, &engines).await;
    engines.with(0, |server| server.version.clear());
    let mut restarted = Node::new("node-1", 2);
    restarted.rounds(3, &store, &engines).await;
    expect_that!(engines.versions(), each(eq("v1")));
}

#[gtest]
#[tokio::test]
async fn a_drained_server_is_closed_at_the_engine_and_opened_when_its_drain_ends() -> Result<()> {
    let store = platform().await;
    let engines = FakeEngines::new(2, "v1");
    let mut node = Node::new("node-1", 2);
    // Server 1 rejects new work for another reason and must never be opened.
    engines.with(1, |server| server.accepting = false);
    node.round(&store, &engines).await;
    let drain = DrainRow {
        kind: "server".to_owned(),
        name: "s0".to_owned(),
        ..DrainRow::default()
    };
    put(&store, keys::drain("server", "s0"), &drain).await;
    node.rounds(2, &store, &engines).await;
    expect_that!(engines.with(0, |server| server.accepting), eq(false));
    store
        .transact_now(Transaction::default().delete(keys::drain("server", "s0")))
        .await;
    // A new controller reads from the store which servers were closed.
    let mut successor = Node::new("node-2", 2);
    successor.rounds(3, &store, &engines).await;
    expect_that!(engines.with(0, |server| server.accepting), eq(true));
    expect_that!(engines.with(1, |server| server.accepting), eq(false));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn no_serving_server_is_reloaded_while_a_demand_window_is_open() {
    let store = platform().await;
    let engines = FakeEngines::new(4, "v1");
    let mut node = Node::new("node-1", 4);
    let window = WindowRow {
        name: "shift".to_owned(),
        service: SERVICE.to_owned(),
        starts_unix_s: 1,
        ends_unix_s: u64::from(u32::MAX),
        ..WindowRow::default()
    };
    put(&store, keys::window("shift"), &window).await;
    let mut next = support::service_row();
    next.version = "v2".to_owned();
    put(&store, keys::service(SERVICE), &next).await;
    engines.with(3, |server| server.version.clear());
    node.rounds(6, &store, &engines).await;
    expect_that!(
        engines.versions(),
        elements_are![eq("v1"), eq("v1"), eq("v1"), eq("v2")]
    );
}

trait TransactNow {
    async fn transact_now(&self, transaction: Transaction);
}

impl TransactNow for MemoryPlatform {
    async fn transact_now(&self, transaction: Transaction) {
        use dappleyard_store::TableStore;
        self.transact(transaction)
            .await
            .expect("the memory platform writes");
    }
}
