//! Engines through their HTTP client.

use std::time::Duration;

use dappleyard_engine::{Engine, EngineError, EngineEvent, GenerateCall, HttpEngine, Priority};
use dappleyard_standin::engine::record::RunEnd;
use dappleyard_standin::engine::{EngineHandle, EngineHost, EngineModelSettings, EngineSpec};
use dappleyard_standin::text;
use futures::StreamExt;
use googletest::prelude::*;

use crate::run;

const SERVER: &str = "server-1";

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
        reason: "stream closed without a final event".to_owned(),
    })
}

#[gtest]
fn answers_match_the_expected_text() {
    run(async {
        let host = host();
        let (engine, base) = (client(), host.base_url(SERVER));
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
fn killed_engine_aborts_streams_and_fails_calls() {
    run(async {
        let host = host();
        let (engine, base) = (client(), host.base_url(SERVER));
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
        let records = host.engine_records(SERVER);
        expect_that!(records[0].end, some(eq(RunEnd::Lost)));

        host.restart(SERVER);
        let (text, _) = collect(&engine, &base, call("again", 5, true))
            .await
            .expect("an answer after the restart");
        expect_that!(text, eq(&text::expected("v1", "again", 5).text));
    });
}

#[gtest]
fn hung_engine_is_silent_until_it_resumes() {
    run(async {
        let host = host();
        let base = host.base_url(SERVER);
        let short_timeout = HttpEngine::new(Duration::from_secs(1), Duration::from_millis(1_500));
        let mut held = client()
            .generate(&base, call("held", 40, true))
            .await
            .expect("a stream");
        host.set_hung(SERVER, true);
        let status = short_timeout.status(&base).await;
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
fn sequence_without_reader_is_abandoned() {
    run(async {
        let host = host_with(EngineModelSettings {
            detach_grace_ms: 50,
            ..EngineModelSettings::default()
        });
        let (engine, base) = (client(), host.base_url(SERVER));
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
fn cancelled_call_reports_cancellation() {
    run(async {
        let host = host();
        let (engine, base) = (client(), host.base_url(SERVER));
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
            .expect("cancelling an ended stream succeeds");
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
fn wrong_service_and_malformed_requests_are_rejected() {
    run(async {
        let host = host();
        let (engine, base) = (client(), host.base_url(SERVER));
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
fn extreme_numbers_in_calls_are_handled() {
    run(async {
        let host = host();
        let (engine, base) = (client(), host.base_url(SERVER));
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
fn finished_answers_are_complete_under_kills_and_hangs() {
    run(async {
        let host = host();
        let (engine, base) = (client(), host.base_url(SERVER));
        let callers = (0..40).map(|number| {
            let (engine, base) = (&engine, &base);
            async move {
                let prompt = format!("caller {number}");
                let call = call(&prompt, 60, number % 2 == 0);
                match collect(engine, base, call).await {
                    Ok((text, _)) => {
                        expect_that!(text, eq(&text::expected("v1", &prompt, 60).text));
                        1
                    }
                    Err(_) => 0,
                }
            }
        });
        let faults = async {
            for round in 0..6 {
                tokio::time::sleep(Duration::from_millis(20)).await;
                if round % 3 == 2 {
                    host.kill(SERVER);
                    host.restart(SERVER);
                } else {
                    host.set_hung(SERVER, round % 3 == 0);
                }
            }
            host.set_hung(SERVER, false);
        };
        let (first, ()) = futures::join!(futures::future::join_all(callers), faults);
        let lost = first.iter().filter(|whole| **whole == 0).count();
        while host.records().iter().any(|run| run.end.is_none()) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let records = host.records();
        let runs_lost = records.iter().filter(|run| run.end == Some(RunEnd::Lost));
        expect_that!(
            runs_lost.count(),
            le(lost),
            "every lost run was reported to its caller"
        );
    });
}
