//! Evacuation orders, withdrawals, and reads that arrive out of order.

use std::collections::BTreeSet;
use std::io::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

use bytes::Bytes;
use dappleyard_clock::Instant;
use dappleyard_cluster::{
    ConfigurationSink, Evacuations, Exclusion, ServersSink, TableSink, View, ZoneRow, follow,
};
use dappleyard_emulator::EmulatedRows;
use dappleyard_model::{EventLog, Row, ZoneName};
use dappleyard_platform::PlatformDialect;
use googletest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ZONES: [&str; 3] = ["north", "south", "west"];

fn zone(name: &str) -> ZoneName {
    ZoneName::from(name)
}

fn order(name: &str, revision: u64) -> ZoneRow {
    ZoneRow {
        zone: zone(name),
        revision,
        readable: true,
    }
}

fn evacuated(zones: &Evacuations) -> Vec<String> {
    zones.active().map(|held| held.zone.to_string()).collect()
}

#[gtest]
fn highest_revision_wins() {
    let (mut zones, now) = (Evacuations::default(), Instant::now());
    expect_that!(zones.issue(&zone("north"), 5, now), some(anything()));
    expect_that!(zones.withdraw(&zone("north"), 4, now), none());
    expect_that!(zones.is_evacuated("north"), eq(true));
    expect_that!(zones.withdraw(&zone("north"), 7, now), some(anything()));
    expect_that!(zones.issue(&zone("north"), 6, now), none());
    expect_that!(zones.issue(&zone("north"), 7, now), none());
    expect_that!(zones.is_evacuated("north"), eq(false));
    expect_that!(zones.issue(&zone("north"), 8, now), some(anything()));
    expect_that!(evacuated(&zones), elements_are![eq("north")]);
}

#[gtest]
fn full_read() {
    let (mut zones, now) = (Evacuations::default(), Instant::now());
    zones.issue(&zone("north"), 5, now);
    zones.issue(&zone("south"), 9, now);
    // As of revision 7, north was restored; the order for south is newer than this read.
    let changes = zones.replace(&[order("west", 6)], 7, now);
    expect_that!(changes.len(), eq(2));
    expect_that!(evacuated(&zones), elements_are![eq("south"), eq("west")]);
    // Rows older than the read are stale.
    expect_that!(zones.issue(&zone("east"), 6, now), none());
    expect_that!(zones.issue(&zone("north"), 5, now), none());
}

#[gtest]
fn stale_read() {
    let (mut zones, now) = (Evacuations::default(), Instant::now());
    zones.issue(&zone("north"), 5, now);
    zones.withdraw(&zone("north"), 8, now);
    zones.issue(&zone("south"), 9, now);
    expect_that!(zones.replace(&[order("north", 5)], 6, now), is_empty());
    expect_that!(evacuated(&zones), elements_are![eq("south")]);
}

#[gtest]
fn unreadable_row() {
    let (mut zones, now) = (Evacuations::default(), Instant::now());
    zones.issue(&zone("north"), 5, now);
    let unreadable = |name| ZoneRow {
        readable: false,
        ..order(name, 8)
    };
    let rows = [unreadable("north"), unreadable("south")];
    expect_that!(zones.replace(&rows, 9, now), is_empty());
    expect_that!(evacuated(&zones), elements_are![eq("north")]);
}

#[gtest]
fn restored() {
    let (mut zones, now) = (Evacuations::default(), Instant::now());
    expect_that!(zones.restored_at("north"), none());
    zones.issue(&zone("north"), 5, now);
    expect_that!(zones.restored_at("north"), none());
    let later = now + Duration::from_secs(3);
    zones.withdraw(&zone("north"), 6, later);
    expect_that!(zones.restored_at("north"), some(eq(later)));
    // A withdrawal counts even if the order was never seen.
    zones.withdraw(&zone("south"), 7, later);
    expect_that!(zones.restored_at("south"), some(eq(later)));
    // A new order ends the restored state and counts from its own time.
    zones.issue(&zone("north"), 8, later);
    expect_that!(zones.restored_at("north"), none());
    let since: Vec<Instant> = zones.active().map(|held| held.since).collect();
    expect_that!(since, elements_are![eq(&later)]);
}

#[gtest]
fn order_reissued() {
    let (mut zones, now) = (Evacuations::default(), Instant::now());
    zones.issue(&zone("north"), 5, now);
    let later = now + Duration::from_secs(3);
    // Withdrawn and issued again between two reads.
    expect_that!(zones.issue(&zone("north"), 9, later), some(anything()));
    let held: Vec<(u64, Instant)> = zones
        .active()
        .map(|held| (held.revision, held.since))
        .collect();
    expect_that!(held, elements_are![eq(&(9, later))]);
    expect_that!(zones.withdraw(&zone("north"), 7, later), none());
}

#[gtest]
fn withdrawn_orders_are_bounded() {
    let (mut zones, now) = (Evacuations::default(), Instant::now());
    for number in 0..1_000 {
        let name = zone(&format!("zone-{number}"));
        zones.issue(&name, 2 * number + 1, now);
        zones.withdraw(&name, 2 * number + 2, now);
    }
    let remembered = (0..1_000).filter(|number| {
        let name = format!("zone-{number}");
        zones.restored_at(&name).is_some()
    });
    expect_that!(remembered.count(), eq(64));
    // A stale row of a dropped entry is ignored.
    expect_that!(zones.issue(&zone("zone-0"), 1, now), none());
    expect_that!(evacuated(&zones), is_empty());
}

struct TestView {
    view: Arc<View>,
    orders: Rc<ConfigurationSink>,
    servers: ServersSink,
}

fn view_with(log: EventLog) -> TestView {
    let view = Arc::new(View::new("node", "north", Arc::new(log)));
    let orders = ConfigurationSink {
        view: view.clone(),
        dialect: Arc::new(PlatformDialect),
    };
    let servers = ServersSink {
        view: view.clone(),
        dialect: Arc::new(PlatformDialect),
    };
    TestView {
        view,
        orders: Rc::new(orders),
        servers,
    }
}

fn view() -> TestView {
    view_with(EventLog::silent())
}

fn row(key: &str, value: Option<&str>, revision: u64) -> Row {
    Row {
        part: String::new(),
        key: key.to_owned(),
        value: value.map(|value| Bytes::from(value.to_owned())),
        revision,
    }
}

impl TestView {
    /// Registers `count` servers across the zones.
    fn register_servers(&self, count: usize) {
        for number in 0..count {
            let zone = ZONES[number % ZONES.len()];
            let entry = format!(
                r#"{{"service":"llm","address":"10.0.0.1:{}","zone":"{zone}","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":1}}"#,
                1_000 + number
            );
            let key = format!("i-{number:03}");
            self.servers.change(row(&key, Some(&entry), 1));
        }
    }

    fn evacuate(&self, zone: &str, revision: u64) {
        self.orders
            .change(row(&format!("evacuate/{zone}"), Some("{}"), revision));
    }

    fn restore(&self, zone: &str, revision: u64) {
        self.orders
            .change(row(&format!("evacuate/{zone}"), None, revision));
    }

    /// Zones of the servers that get requests.
    fn zones(&self) -> Vec<String> {
        let servers = self.view.servers("llm");
        let sets = [&servers.all, &servers.used, &servers.affinity_servers];
        let zones = sets.into_iter().flatten().map(|server| server.zone.clone());
        BTreeSet::from_iter(zones).into_iter().collect()
    }
}

#[gtest]
fn server_sets_exclude_evacuated_zones() {
    let held = view();
    held.register_servers(6);
    held.evacuate("north", 3);
    let why = Some(Exclusion::ZoneEvacuated);
    expect_that!(held.view.exclusion("i-000"), eq(why));
    expect_that!(held.view.exclusion("i-001"), none());
    let zones = held.zones();
    expect_that!(zones, elements_are![eq("south"), eq("west")]);
    expect_that!(held.view.is_evacuated("llm"), eq(false));
    held.evacuate("south", 4);
    held.evacuate("west", 5);
    expect_that!(held.view.servers("llm").all, is_empty());
    expect_that!(held.view.is_evacuated("llm"), eq(true));
    // A service without servers does not count as evacuated.
    expect_that!(held.view.is_evacuated("none"), eq(false));
    held.restore("south", 6);
    let zones = held.zones();
    expect_that!(zones, elements_are![eq("south")]);
    expect_that!(held.view.restored_at("south"), some(anything()));
}

#[gtest]
fn large_server_sets() {
    let held = view();
    held.register_servers(210);
    expect_that!(held.view.servers("llm").used.len(), eq(48));
    // With its own zone evacuated, the node uses as many servers as before.
    held.evacuate("north", 3);
    let servers = held.view.servers("llm");
    expect_that!(servers.used.len(), eq(48));
    expect_that!(servers.affinity_servers.len(), eq(140));
    expect_that!(held.zones().iter().any(|zone| zone == "north"), eq(false));
    // The remaining zone still forms a large set.
    held.evacuate("south", 4);
    expect_that!(held.view.servers("llm").used.len(), eq(48));
}

#[gtest]
fn unknown_zone() {
    let held = view();
    held.register_servers(6);
    held.evacuate("nowhere", 3);
    expect_that!(held.view.servers("llm").all.len(), eq(6));
    expect_that!(held.view.evacuations().len(), eq(1));
}

#[gtest]
fn new_servers() {
    let held = view();
    held.evacuate("north", 3);
    held.register_servers(6);
    expect_that!(held.zones().iter().any(|zone| zone == "north"), eq(false));
}

/// Sends the log output to a channel.
struct Lines(Sender<String>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let text = String::from_utf8_lossy(bytes).into_owned();
        // The receiver may be gone.
        let _ = self.0.send(text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[gtest]
fn malformed_rows() {
    let (lines, written) = channel();
    let held = view_with(EventLog::to(Lines(lines)));
    held.register_servers(6);
    held.evacuate("north", 3);
    held.orders.change(row("evacuate/north", Some("no"), 4));
    held.orders.change(row("evacuate/south", Some("[1]"), 5));
    held.orders.change(row("evacuate/", Some("{}"), 6));
    let zones = held.zones();
    expect_that!(zones, elements_are![eq("south"), eq("west")]);
    drop(held);
    // Dropping the last reference ends the log writer and closes the channel.
    let text: String = written.iter().collect();
    let refused = |key: &str, revision: u64| {
        text.lines().any(|line| {
            line.contains("order_refused")
                && line.contains(&format!("\"row\":\"{key}\""))
                && line.contains(&format!("\"revision\":{revision}"))
        })
    };
    expect_that!(refused("evacuate/north", 4), eq(true), "{text}");
    expect_that!(refused("evacuate/south", 5), eq(true), "{text}");
    expect_that!(refused("evacuate/", 6), eq(true), "{text}");
    expect_that!(
        text.matches("\"event\":\"zone_evacuated\"").count(),
        eq(1),
        "{text}"
    );
}

#[gtest]
fn orders_known_when_ready() {
    let held = view();
    held.register_servers(3);
    held.servers.replace(Vec::new(), 0);
    let configuration = r#"{"version":1}"#;
    let changed = held.view.clone();
    expect_that!(held.view.is_ready(), eq(false));
    held.orders.replace(
        vec![
            row("config", Some(configuration), 1),
            row("evacuate/north", Some("{}"), 2),
        ],
        3,
    );
    expect_that!(changed.is_ready(), eq(true));
    expect_that!(changed.evacuations().len(), eq(1));
}

fn in_paused_time<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

async fn advance(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Zones with an order in the store.
fn stored_orders(rows: &EmulatedRows) -> BTreeSet<String> {
    let rows = rows.table("op").into_iter();
    rows.filter_map(|(_, key, _)| Some(key.strip_prefix("evacuate/")?.to_owned()))
        .collect()
}

fn known_orders(view: &View) -> BTreeSet<String> {
    let held = view.evacuations().into_iter();
    held.map(|held| held.zone.to_string()).collect()
}

/// Starts a task that follows the operators' table.
fn follower(rows: &EmulatedRows) -> Arc<View> {
    let held = view();
    let (rows, orders) = (rows.clone(), held.orders.clone());
    tokio::task::spawn_local(async move {
        follow(&rows, orders.as_ref(), &EventLog::silent()).await;
    });
    held.view
}

#[gtest]
fn lost_history() {
    in_paused_time(async {
        let rows = EmulatedRows::default();
        rows.write("op", "", "evacuate/north", "{}");
        let view = follower(&rows);
        advance(100).await;
        expect_that!(known_orders(&view), eq(&stored_orders(&rows)));
        rows.set_down(true);
        advance(3_000).await;
        rows.remove("op", "", "evacuate/north");
        rows.write("op", "", "evacuate/south", "{}");
        rows.compact_history();
        rows.set_down(false);
        advance(1_000).await;
        expect_that!(
            known_orders(&view),
            eq(&BTreeSet::from(["south".to_owned()]))
        );
        expect_that!(view.restored_at("north"), some(anything()));
    });
}

#[gtest]
fn changes_within_a_second() {
    in_paused_time(async {
        let rows = EmulatedRows::default();
        let view = follower(&rows);
        advance(100).await;
        rows.write("op", "", "evacuate/north", "{}");
        advance(400).await;
        expect_that!(known_orders(&view).len(), eq(1));
        rows.remove("op", "", "evacuate/north");
        advance(400).await;
        expect_that!(known_orders(&view).len(), eq(0));
        // Between two reads of the follower.
        rows.write("op", "", "evacuate/south", "{}");
        rows.remove("op", "", "evacuate/south");
        advance(400).await;
        expect_that!(known_orders(&view).len(), eq(0));
    });
}

/// Random orders, withdrawals, outages and lost histories. Once the store answers again, the known
/// orders equal the stored ones.
#[gtest]
fn random_changes_converge() {
    for seed in 0..40 {
        in_paused_time(async move {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            let rows = EmulatedRows::default();
            let view = follower(&rows);
            for _ in 0..60 {
                let key = format!("evacuate/{}", ZONES[random.random_range(0..ZONES.len())]);
                match random.random_range(0..6) {
                    0 | 1 => rows.write("op", "", &key, "{}"),
                    2 | 3 => rows.remove("op", "", &key),
                    4 => rows.set_down(random.random_bool(0.5)),
                    _ => rows.compact_history(),
                }
                advance(random.random_range(0..300)).await;
            }
            rows.set_down(false);
            advance(1_500).await;
            expect_that!(
                known_orders(&view),
                eq(&stored_orders(&rows)),
                "seed {seed}"
            );
        });
    }
}
