//! The stand-ins as their clients see them, over HTTP.

use std::time::Duration;

use bytes::Bytes;
use dappleyard_engine::{Engine, EngineError, EngineEvent, GenerateCall, HttpEngine, Priority};
use dappleyard_platform::client::direct;
use dappleyard_platform::{Expect, Platform, StoreError, Transaction};
use dappleyard_settings::PlatformSettings;
use dappleyard_standin::engine::record::RunEnd;
use dappleyard_standin::engine::{EngineHandle, EngineHost, EngineModelSettings, EngineSpec};
use dappleyard_standin::platform::{
    Fault, PlatformHandle, PlatformStandIn, PlatformStandInSettings, Service,
};
use dappleyard_standin::text;
use futures::StreamExt;
use googletest::prelude::*;

const SERVER: &str = "server-1";

fn run<F: Future>(test: F) -> F::Output {
    actix_rt::System::new().block_on(test)
}

fn host() -> EngineHandle {
    host_with(EngineModelSettings::default())
}

fn host_with(model: EngineModelSettings) -> EngineHandle {
    let spec = EngineSpec {
        server: SERVER.to_owned(),
        service: "fittings-llm".to_owned(),
        version: "v1".to_owned(),
        adapters: Vec::new(),
        model,
        seed: 1,
    };
    EngineHost::start(vec![spec]).expect("a port of the operating system")
}

fn client() -> HttpEngine {
    HttpEngine::new(Duration::from_secs(1), Duration::from_secs(10))
}

fn call(prompt: &str, max_tokens: u32, stream: bool) -> GenerateCall {
    GenerateCall {
        request_id: format!("request of {prompt}"),
        attempt: 1,
        service: "fittings-llm".to_owned(),
        version: String::new(),
        adapter: String::new(),
        prompt: prompt.to_owned(),
        prompt_tokens: 40,
        prefix_hash: 7,
        prefix_tokens: 32,
        max_tokens,
        priority: Priority::ONLINE,
        resume_offset: 0,
        attach_stream: String::new(),
        attach_only: false,
        stream,
    }
}

async fn collect(
    engine: &HttpEngine,
    base: &str,
    call: GenerateCall,
) -> std::result::Result<(String, EngineEvent), EngineError> {
    let mut stream = engine.generate(base, call).await?;
    let mut answer = String::new();
    while let Some(event) = stream.next().await {
        match event? {
            EngineEvent::Tokens { pieces, .. } => answer.push_str(&pieces.concat()),
            EngineEvent::Accepted { .. } => {}
            finished => return Ok((answer, finished)),
        }
    }
    Err(EngineError::Lost {
        reason: "no end".to_owned(),
    })
}

#[gtest]
fn answers_are_the_expected_text_streamed_or_whole() {
    run(async {
        let host = host();
        let (engine, base) = (client(), host.base(SERVER));
        for (prompt, stream) in [("one", true), ("two", false), ("three", true)] {
            let answer = collect(&engine, &base, call(prompt, 30, stream)).await;
            let expected = text::expected("v1", prompt, 30);
            let (text, end) = answer.expect("an answer");
            expect_that!(text, eq(&expected.text));
            expect_that!(
                end,
                matches_pattern!(EngineEvent::Finished {
                    reason: eq(expected.reason),
                    total_tokens: eq(&expected.tokens),
                    ran: eq(&true),
                    ..
                })
            );
        }
        let records = host.records();
        expect_that!(records.len(), eq(3));
        expect_true!(records.iter().all(|run| run.end == Some(RunEnd::Finished)));
    });
}

#[gtest]
fn killed_engine_breaks_its_streams_and_answers_nothing() {
    run(async {
        let host = host();
        let (engine, base) = (client(), host.base(SERVER));
        let mut stream = engine
            .generate(&base, call("long", 2_000, true))
            .await
            .expect("a stream");
        let accepted = stream.next().await.expect("an event");
        expect_that!(accepted, ok(matches_pattern!(EngineEvent::Accepted { .. })));
        host.kill(SERVER);
        let mut last = None;
        while let Some(event) = stream.next().await {
            last = Some(event);
        }
        expect_that!(last, some(err(matches_pattern!(EngineError::Lost { .. }))));
        expect_that!(
            engine.status(&base).await,
            err(matches_pattern!(EngineError::Lost { .. }))
        );
        let records = host.records_of(SERVER);
        expect_that!(records[0].end, some(eq(RunEnd::Lost)));

        host.revive(SERVER);
        let (text, _) = collect(&engine, &base, call("again", 5, true))
            .await
            .expect("an answer after the restart");
        expect_that!(text, eq(&text::expected("v1", "again", 5).text));
    });
}

#[gtest]
fn hung_engine_is_silent_and_goes_on_where_it_stood() {
    run(async {
        let host = host();
        let base = host.base(SERVER);
        let impatient = HttpEngine::new(Duration::from_secs(1), Duration::from_millis(1_500));
        let mut held = client()
            .generate(&base, call("held", 40, true))
            .await
            .expect("a stream");
        host.set_hung(SERVER, true);
        let status = impatient.status(&base).await;
        expect_that!(status, err(matches_pattern!(EngineError::Lost { .. })));
        host.set_hung(SERVER, false);
        let mut text = String::new();
        while let Some(event) = held.next().await {
            if let EngineEvent::Tokens { pieces, .. } = event.expect("an event") {
                text.push_str(&pieces.concat());
            }
        }
        expect_that!(text, eq(&text::expected("v1", "held", 40).text));
    });
}

#[gtest]
fn sequence_of_a_reader_that_went_is_abandoned() {
    run(async {
        let host = host_with(EngineModelSettings {
            detach_grace_ms: 50,
            ..EngineModelSettings::default()
        });
        let (engine, base) = (client(), host.base(SERVER));
        for (number, streaming) in [true, false].into_iter().enumerate() {
            let call = call(&format!("left {streaming}"), 20_000, streaming);
            let mut stream = engine.generate(&base, call).await.expect("a stream");
            let accepted = stream.next().await.expect("an event");
            expect_that!(accepted, ok(matches_pattern!(EngineEvent::Accepted { .. })));
            drop(stream);
            while host.records()[number].end.is_none() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            expect_that!(host.records()[number].end, some(eq(RunEnd::Abandoned)));
        }
    });
}

#[gtest]
fn cancelled_batch_call_gives_what_was_made() {
    run(async {
        let host = host();
        let (engine, base) = (client(), host.base(SERVER));
        let mut stream = engine
            .generate(&base, call("cut short", 3_000, false))
            .await
            .expect("a stream");
        let Some(Ok(EngineEvent::Accepted { stream: name, .. })) = stream.next().await else {
            panic!("not accepted");
        };
        engine.cancel(&base, &name).await.expect("cancelled");
        engine
            .cancel(&base, &name)
            .await
            .expect("no error when gone");
        let rest: Vec<_> = stream.collect().await;
        expect_that!(
            rest.last(),
            some(ok(matches_pattern!(EngineEvent::Finished {
                reason: eq("cancelled"),
                ..
            })))
        );
    });
}

#[gtest]
fn wrong_service_and_garbage_are_refused() {
    run(async {
        let host = host();
        let (engine, base) = (client(), host.base(SERVER));
        let mut wrong = call("x", 5, true);
        wrong.service = "other".to_owned();
        expect_that!(
            collect(&engine, &base, wrong).await,
            err(matches_pattern!(EngineError::Refused {
                status: eq(&404),
                ..
            }))
        );
        let http = awc::Client::default();
        for path in ["generate", "orders", "kv/export", "kv/import"] {
            for garbage in ["", "{\"request_id\": 7", "[]", "null", "\u{0}\u{1}"] {
                let url = format!("{base}/v1/{path}");
                let sent = http.post(url).send_body(garbage).await;
                expect_that!(sent.expect("an answer").status().as_u16(), eq(400));
            }
        }
        for path in [
            "streams/s99/cancel",
            "streams/%00/cancel",
            "streams/-1/cancel",
        ] {
            let url = format!("{base}/v1/{path}");
            let sent = http.post(url).send().await;
            expect_that!(sent.expect("an answer").status().as_u16(), eq(404));
        }
        let other = http.get(format!("{base}/v1/cache-events?after=x"));
        expect_that!(
            other.send().await.expect("an answer").status().as_u16(),
            eq(400)
        );
    });
}

#[gtest]
fn extreme_numbers_in_calls_do_no_harm() {
    run(async {
        let host = host();
        let (engine, base) = (client(), host.base(SERVER));
        let change = |change: fn(&mut GenerateCall)| {
            let mut call = call("extreme", 4, true);
            change(&mut call);
            call
        };
        let refused = [
            change(|call| call.prompt_tokens = u32::MAX),
            change(|call| call.max_tokens = u32::MAX),
            change(|call| call.resume_offset = u32::MAX),
        ];
        for call in refused {
            let result = collect(&engine, &base, call).await;
            expect_that!(
                result,
                err(matches_pattern!(EngineError::Refused {
                    status: eq(&400),
                    ..
                }))
            );
        }
        let answered = [
            change(|call| call.prompt_tokens = 0),
            change(|call| call.max_tokens = 0),
            change(|call| call.prefix_tokens = u32::MAX),
            change(|call| call.resume_offset = 4),
            change(|call| call.attach_stream = "s18446744073709551615".to_owned()),
            change(|call| call.prompt.clear()),
        ];
        for call in answered {
            let result = collect(&engine, &base, call).await;
            expect_that!(result, ok(anything()));
        }
    });
}

#[gtest]
fn garbage_to_the_platform_is_refused() {
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
        let odd = platform.objects.read("none", u64::MAX, u64::MAX).await;
        expect_that!(odd, ok(none()));
    });
}

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
fn failures_tell_what_is_known_of_the_change() {
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
fn nobody_listening_is_unavailable() {
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
        let engine = client().status(&format!("http://{unused}/engines/a")).await;
        expect_that!(
            engine,
            err(matches_pattern!(EngineError::Unreachable { .. }))
        );
    });
}
