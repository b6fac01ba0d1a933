//! What a node sends to servers that are cold or may be, at the way in through which everything goes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::Duration;

use bytes::Bytes;
use dappleyard_cluster::{
    ConfigurationSink, LoadTable, NodeRow, PeerTable, ServersSink, StoreHealth, TableSink,
    Temperature, View,
};
use dappleyard_emulator::{EmulatedServer, Reply, Seen};
use dappleyard_ingress::{
    AnswerTimes, Attempt, AttemptError, ColdGate, Exchange, Metrics, Node, Patience, Ran,
    Upstreams, watch_temperatures,
};
use dappleyard_model::{
    Bounds, ColdBounds, EventLog, Listen, NodeSettings, Places, QuotaBounds, Resources, Row,
    ServerRecord, StoreSettings, TenantStamp, Tolerated,
};
use dappleyard_platform::PlatformDialect;
use dappleyard_tenants::QuotaTable;
use googletest::prelude::*;
use http::{HeaderMap, Method};
use parking_lot::Mutex;
use prost::Message;
use tokio::time::Instant;

const SERVER: &str = "i-1";
const CONFIGURATION: &str = r#"{"version":1,"routes":[],"services":[
    {"name":"llm","health_path":"/health","cold_start_s":3,"cold_per_s":11}]}"#;
const SERVED: &str = "HTTP/1.1 200 OK\r\nX-Dappleyard-Request-Id: {id}\r\n\
    X-Dappleyard-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok";

fn health(cold_ms: u64) -> Vec<Reply> {
    vec![Reply::Send(format!(
        "HTTP/1.1 200 OK\r\nX-Dappleyard-Instance-Id: {SERVER}\r\n\
         X-Dappleyard-Cold-Ms: {cold_ms}\r\nContent-Length: 0\r\n\r\n"
    ))]
}

fn settings(cold: Option<ColdBounds>) -> NodeSettings {
    let local = ([127, 0, 0, 1], 0).into();
    NodeSettings {
        name: "a".to_owned(),
        ip: [127, 0, 0, 1].into(),
        zone: "north".to_owned(),
        places: Places::default(),
        tolerated: Tolerated::default(),
        peer_port: 0,
        listen: Listen {
            front: local,
            ready: local,
            directory: local,
            metrics: None,
        },
        store: StoreSettings {
            address: local,
            row_bytes: 65_536,
        },
        bounds: Bounds {
            grace_ms: 8_000,
            directory_ttl_ms: 2_000,
            status_ms: 60_000,
            settle_ms: 1_000,
            config_apply_ms: 3_000,
            revoke_ms: 5_000,
            revoke_strict: false,
            quota: QuotaBounds {
                window_ms: 5_000,
                over: 0.1,
                slack: 20.0,
            },
            evacuation_ms: 5_000,
            cold,
        },
        resources: Resources {
            core_millis: 500,
            link_mbps: 100,
        },
    }
}

const COLD: ColdBounds = ColdBounds {
    over: 1.5,
    slack: 5.0,
};

struct Site {
    node: Arc<Node>,
    upstreams: Upstreams,
    server: EmulatedServer,
    record: Arc<ServerRecord>,
}

fn row(part: &str, key: &str, value: impl Into<Bytes>) -> Row {
    Row {
        part: part.to_owned(),
        key: key.to_owned(),
        value: Some(value.into()),
        revision: 1,
    }
}

fn node_row() -> NodeRow {
    NodeRow {
        life: 1,
        zone: "north".to_owned(),
        peer: "127.0.0.1:1".to_owned(),
        ..NodeRow::default()
    }
}

/// One node that has run for a while and a server whose row says that it is cold for so long.
async fn site(cold: Option<ColdBounds>, cold_left_ms: u64) -> Site {
    let settings = settings(cold);
    let log = Arc::new(EventLog::silent());
    let dialect = Arc::new(PlatformDialect);
    let view = Arc::new(View::new("a", "north", log.clone()));
    let server = EmulatedServer::start("x-dappleyard-request-id")
        .await
        .expect("a socket");
    server.otherwise(vec![Reply::Send(SERVED.to_owned())]);
    ConfigurationSink {
        view: view.clone(),
        dialect: dialect.clone(),
    }
    .change(row("", "config", CONFIGURATION));
    let address = server.address();
    let text = format!(
        r#"{{"service":"llm","address":"{address}","zone":"north","slots":8,"state":"ready",
            "cold_left_ms":{cold_left_ms},"seq":1}}"#
    );
    ServersSink {
        view: view.clone(),
        dialect: dialect.clone(),
    }
    .change(row("", SERVER, text));
    let node = Arc::new(Node {
        life: 1,
        view,
        loads: Arc::new(LoadTable::default()),
        times: AnswerTimes::default(),
        quotas: Arc::new(QuotaTable::new(settings.bounds.quota, 1)),
        peers: Arc::new(PeerTable::new("a", "north", log.clone())),
        health: Arc::new(StoreHealth::default()),
        dialect,
        log,
        metrics: Arc::new(Metrics::default()),
        leaving: Arc::new(AtomicBool::new(false)),
        under_way: AtomicU64::new(0),
        last_request: Mutex::new(Instant::now()),
        settings,
    });
    node.peers.change(row("", "a", node_row().encode_to_vec()));
    let record = node.view.server(SERVER).expect("a row");
    Site {
        upstreams: Upstreams::new(node.clone()),
        node,
        server,
        record,
    }
}

async fn send(site: &Site, number: u32) -> std::result::Result<Exchange, AttemptError> {
    let id = format!("r{number}");
    let mut headers = HeaderMap::new();
    headers.insert("x-dappleyard-request-id", id.parse().expect("a value"));
    let attempt = Attempt {
        method: &Method::POST,
        target: "/x",
        headers: &headers,
        body: &Bytes::new(),
        id: &id,
        remaining_ms: Some(5_000),
        last_event_id: None,
        tenant: TenantStamp::Untouched,
        patience: Patience::leave_after(Duration::from_secs(60)).leaving_if(false),
    };
    site.upstreams.attempt(&site.record, &attempt).await
}

/// Lets time pass that nothing waits for.
async fn pass(time: Duration) {
    tokio::time::pause();
    tokio::time::advance(time).await;
    tokio::time::resume();
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

const A_WHILE: Duration = Duration::from_secs(2);

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[gtest]
fn cold_server_gets_the_part_of_the_node() {
    run(async {
        let site = site(Some(COLD), 60_000).await;
        // The life before this one may have used the part.
        let refused = send(&site, 0).await.err().expect("held back");
        expect_that!(refused.ran, eq(Ran::No));
        expect_that!(refused.unreachable, eq(false));
        pass(A_WHILE).await;
        // The only node stands alone: its part is one of five.
        for number in 1..3 {
            expect_that!(send(&site, number).await.is_ok(), eq(true));
        }
        expect_that!(send(&site, 3).await.is_err(), eq(true));
        expect_that!(site.server.requests(), eq(2));
        pass(A_WHILE).await;
        expect_that!(send(&site, 4).await.is_ok(), eq(true));
    });
}

#[gtest]
fn nothing_is_held_back_without_a_bound() {
    run(async {
        let site = site(None, 60_000).await;
        for number in 0..30 {
            expect_that!(send(&site, number).await.is_ok(), eq(true));
        }
        expect_that!(ColdGate::of(&site.node, "llm").is_none(), eq(true));
        watch_temperatures(site.upstreams.clone()).await;
    });
}

#[gtest]
fn server_that_was_silent_is_asked_before_its_next_request() {
    run(async {
        let site = site(Some(COLD), 0).await;
        pass(A_WHILE).await;
        expect_that!(send(&site, 0).await.is_ok(), eq(true));
        site.node.loads.suspect(SERVER, Duration::from_millis(10));
        expect_that!(send(&site, 1).await.is_err(), eq(true));
        expect_that!(site.server.requests(), eq(1));
        site.server.next(health(60_000));
        let watch = tokio::task::spawn_local(watch_temperatures(site.upstreams.clone()));
        let temperature = || site.node.loads.temperature(&site.record).0;
        until(|| temperature() == Temperature::Cold).await;
        watch.abort();
        pass(A_WHILE).await;
        for number in 2..10 {
            let _ = send(&site, number).await;
        }
        expect_that!(site.server.requests(), eq(1 + 1 + 2));
    });
}

#[gtest]
fn server_that_was_away_gets_a_new_connection() {
    run(async {
        let site = site(Some(COLD), 0).await;
        let exchange = send(&site, 0).await.expect("an answer");
        let mut exchange = exchange;
        expect_that!(exchange.connection.whole_body(100).await.is_ok(), eq(true));
        site.upstreams.release(exchange);
        site.node.loads.suspect(SERVER, Duration::from_millis(10));
        site.node
            .loads
            .note_checked(SERVER, Instant::now(), Duration::ZERO);
        expect_that!(send(&site, 1).await.is_ok(), eq(true));
        expect_that!(site.server.connections(), eq(2));
    });
}

#[gtest]
fn health_question_without_an_answer_is_asked_again() {
    run(async {
        let site = site(Some(COLD), 0).await;
        site.node.loads.suspect(SERVER, Duration::from_millis(10));
        site.server.next(vec![Reply::Close]);
        site.server.next(vec![Reply::Hang]);
        // Full: the server was reached, and nothing is known.
        site.server.next(vec![Reply::Send(
            "HTTP/1.1 503 Service Unavailable\r\nX-Dappleyard-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                .to_owned(),
        )]);
        site.server.next(health(0));
        let watch = tokio::task::spawn_local(watch_temperatures(site.upstreams.clone()));
        let temperature = || site.node.loads.temperature(&site.record).0;
        until(|| temperature() == Temperature::InDoubt).await;
        expect_that!(site.server.requests(), eq(3));
        until(|| temperature() == Temperature::Warm).await;
        watch.abort();
        let asked = |seen: &Seen| matches!(seen, Seen::Request(head, _) if head.starts_with("GET /health "));
        expect_that!(
            site.server.seen().iter().filter(|seen| asked(seen)).count(),
            eq(4)
        );
    });
}

#[gtest]
fn server_that_says_it_is_ill_is_taken_for_cold() {
    run(async {
        let site = site(Some(COLD), 0).await;
        site.node.loads.suspect(SERVER, Duration::from_millis(10));
        site.server.next(vec![Reply::Send(
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned(),
        )]);
        let watch = tokio::task::spawn_local(watch_temperatures(site.upstreams.clone()));
        let temperature = || site.node.loads.temperature(&site.record).0;
        until(|| temperature() == Temperature::Cold).await;
        watch.abort();
    });
}

#[gtest]
fn node_that_does_not_stand_sends_nothing() {
    run(async {
        let site = site(Some(COLD), 60_000).await;
        for number in 0..30 {
            let name = format!("n{number}");
            let value = node_row().encode_to_vec();
            site.node.peers.change(row("", &name, value));
        }
        pass(A_WHILE).await;
        let stands = site.node.peers.standing(SERVER, "north", 5).is_some();
        let sent = send(&site, 0).await.is_ok();
        expect_that!(sent, eq(stands));
        // Of a thousand servers, the node stands for about five in thirty-one.
        let stood = (0..1_000).filter(|number| {
            let peers = &site.node.peers;
            peers.standing(&format!("i-{number}"), "north", 5).is_some()
        });
        expect_that!(stood.count(), all![ge(100), le(220)]);
    });
}
