//! Platform services through their HTTP clients.

use std::time::Duration;

use bytes::Bytes;
use dappleyard_engine::{Engine, EngineError, HttpEngine};
use dappleyard_settings::PlatformSettings;
use dappleyard_standin::platform::{
    Fault, PlatformHandle, PlatformStandIn, PlatformStandInSettings, Service,
};
use dappleyard_store::client::direct;
use dappleyard_store::{Expect, Platform, StoreError, Transaction};
use googletest::prelude::*;

use crate::run;

fn platform() -> (PlatformHandle, Platform) {
    let handle = PlatformStandIn::start(PlatformStandInSettings::default())
        .expect("a port of the operating system");
    let settings = PlatformSettings {
        tables_url: handle.tables_url(),
        objects_url: handle.objects_url(),
        machines_url: handle.machines_url(),
        call_timeout_ms: 5_000,
        ..PlatformSettings::default()
    };
    let platform = direct(&settings);
    (handle, platform)
}

fn create(key: &str, value: &'static str) -> Transaction {
    Transaction::default()
        .expect(key, Expect::Absent)
        .put(key, value)
}

#[gtest]
fn malformed_platform_requests_are_rejected() {
    run(async {
        let (handle, platform) = platform();
        let http = awc::Client::default();
        let transact = format!("{}/transact", handle.tables_url());
        let bodies = [
            "",
            "{",
            "[1]",
            r#"{"compare": [], "writes": [{"key": "a", "value": "not base64!"}]}"#,
            r#"{"compare": [{"key": "a", "expect": "maybe"}], "writes": []}"#,
            r#"{"compare": [], "writes": [{"key": "", "value": ""}]}"#,
        ];
        for body in bodies {
            let sent = http.post(&transact).send_body(body).await;
            expect_that!(sent.expect("an answer").status().as_u16(), eq(400));
        }
        for path in [
            "tables/row",
            "tables/range?prefix=a",
            "objects/object?name=a",
        ] {
            let url = format!("http://{}/{path}", handle.address());
            let sent = http.get(url).send().await;
            expect_that!(sent.expect("an answer").status().as_u16(), eq(400));
        }
        expect_that!(handle.revision(), eq(0));
        let too_many = (0..200).fold(Transaction::default(), |transaction, number| {
            transaction.put(format!("a/{number}"), "x")
        });
        let refused = platform.tables.transact(too_many).await;
        expect_that!(refused, err(matches_pattern!(StoreError::Invalid { .. })));
        let beyond_end = platform.objects.read("none", u64::MAX, u64::MAX).await;
        expect_that!(beyond_end, ok(none()));
    });
}

#[gtest]
fn table_calls_round_trip() {
    run(async {
        let (handle, platform) = platform();
        let tables = &platform.tables;
        expect_that!(tables.transact(create("job/a/1", "one")).await, ok(eq(&1)));
        expect_that!(
            tables.transact(create("job/a/1", "two")).await,
            err(eq(&StoreError::Conflict {
                key: "job/a/1".to_owned(),
                actual: Some(1)
            }))
        );
        let row = tables.get("job/a/1").await.expect("read").expect("present");
        expect_that!(row.value, eq(&Bytes::from("one")));
        expect_that!(tables.get("job/a/2").await, ok(none()));
        expect_that!(tables.range("job/", "", 10).await, ok(len(eq(1))));
        let changes = tables.changes("job/", 0, 0).await.expect("feed");
        expect_that!(changes.rows, len(eq(1)));
        expect_that!(changes.up_to, eq(1));
        expect_that!(handle.table_counts()["job"].transactions, eq(1));
        expect_that!(handle.table_counts()["job"].conflicts, eq(1));
    });
}

#[gtest]
fn feed_waits_for_a_change() {
    run(async {
        let (handle, platform) = platform();
        let waiting = platform.tables.changes("config/", 0, 5_000);
        let changing = async {
            tokio::task::yield_now().await;
            handle.transact(create("config/service/a", "x"))
        };
        let (changes, changed) = futures::join!(waiting, changing);
        changed.expect("applied");
        expect_that!(changes.expect("feed").rows, len(eq(1)));
        expect_that!(handle.configuration_log(), len(eq(1)));
    });
}

#[gtest]
fn objects_round_trip() {
    run(async {
        let (_handle, platform) = platform();
        let objects = &platform.objects;
        let bytes = Bytes::from_static(b"0123456789");
        expect_that!(objects.create("results/a b/1", bytes.clone()).await, ok(()));
        expect_that!(
            objects.create("results/a b/1", bytes).await,
            err(matches_pattern!(StoreError::Conflict { .. }))
        );
        let part = objects.read("results/a b/1", 4, 3).await.expect("read");
        let part = part.expect("present");
        expect_that!(part.bytes, eq(&Bytes::from_static(b"456")));
        expect_that!(part.size, eq(10));
        expect_that!(objects.read("results/none", 0, 3).await, ok(none()));
        expect_that!(objects.list("results/", "", 9).await, ok(len(eq(1))));
        expect_that!(objects.delete("results/a b/1").await, ok(()));
        expect_that!(objects.list("results/", "", 9).await, ok(len(eq(0))));
    });
}

#[gtest]
fn errors_distinguish_rejected_from_ambiguous_writes() {
    run(async {
        let (handle, platform) = platform();
        let tables = &platform.tables;

        handle.set_fault(
            Service::Tables,
            Fault {
                answer_lost: 1.0,
                ..Fault::default()
            },
        );
        let lost = tables.transact(create("once/a/1", "x")).await;
        expect_that!(lost, err(matches_pattern!(StoreError::Ambiguous { .. })));
        expect_that!(handle.row("once/a/1"), some(anything()));

        handle.set_fault(
            Service::Tables,
            Fault {
                refusing: true,
                ..Fault::default()
            },
        );
        let refused = tables.transact(create("once/a/2", "x")).await;
        expect_that!(
            refused,
            err(matches_pattern!(StoreError::Unavailable { .. }))
        );

        handle.set_fault(
            Service::Tables,
            Fault {
                unreachable: true,
                ..Fault::default()
            },
        );
        let broken = tables.transact(create("once/a/3", "x")).await;
        expect_that!(broken, err(matches_pattern!(StoreError::Ambiguous { .. })));
        let read = tables.get("once/a/3").await;
        expect_that!(read, err(matches_pattern!(StoreError::Unavailable { .. })));
        expect_that!(handle.rows("once/"), len(eq(1)));

        handle.set_fault(Service::Tables, Fault::default());
        handle.set_table_rate(0.001, 1.0);
        let _ = tables.get("once/a/1").await;
        let limited = tables.get("once/a/1").await;
        expect_that!(
            limited,
            err(matches_pattern!(StoreError::RateLimited { .. }))
        );
    });
}

#[gtest]
fn closed_port_is_unavailable() {
    run(async {
        let (handle, _) = platform();
        let address = handle.address();
        handle.stop();
        let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let unused = free.local_addr().expect("its address");
        drop(free);
        assert_ne!(address, unused);
        let platform = direct(&PlatformSettings {
            tables_url: format!("http://{unused}/tables"),
            ..PlatformSettings::default()
        });
        let result = platform.tables.transact(create("job/a", "x")).await;
        expect_that!(
            result,
            err(matches_pattern!(StoreError::Unavailable { .. }))
        );
        let engine = HttpEngine::new(Duration::from_secs(1), Duration::from_secs(10));
        let engine = engine.status(&format!("http://{unused}/engines/a")).await;
        expect_that!(
            engine,
            err(matches_pattern!(EngineError::Unreachable { .. }))
        );
    });
}
