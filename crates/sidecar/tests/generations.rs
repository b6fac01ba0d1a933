//! Chat and completions through a sidecar with scripted nodes.

mod support;

use dappleyard_wire::ErrorKind;
use dappleyard_wire::messages::Stage;
use googletest::prelude::*;
use support::{
    ScriptedNode, accepted, answering_script, chat_body, chunk, finish, post, refused,
    sending_script, settings, start_sidecar, text,
};

#[gtest]
#[actix_rt::test]
async fn chat_returns_complete_response() {
    let (script, seen) = answering_script("v1", 10);
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    let answer = post(
        &format!("{base}/v1/chat/completions"),
        &[],
        chat_body(false),
    )
    .await;
    expect_that!(answer.status, eq(200));
    let json = answer.json();
    expect_that!(
        json["choices"][0]["message"]["content"].as_str(),
        some(eq(text("v1", 10).as_str()))
    );
    expect_that!(json["usage"]["completion_tokens"].as_u64(), some(eq(10)));
    expect_that!(
        answer.headers.get("x-dappleyard-version").unwrap().to_str(),
        ok(eq(&"v1"))
    );
    let submit = seen.borrow()[0].clone();
    expect_that!(submit.stage(), eq(Stage::Ingress));
    expect_that!(submit.attempt, eq(1));
    expect_that!(submit.budget_ms, gt(50_000));
    expect_that!(submit.request.unwrap().prompt_tokens, gt(5));
}

#[gtest]
#[actix_rt::test]
async fn chat_stream_ends_with_usage_and_done() {
    let (script, _) = answering_script("v1", 10);
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    let answer = post(&format!("{base}/v1/chat/completions"), &[], chat_body(true)).await;
    let events = answer.events();
    expect_that!(answer.streamed_text(), eq(&text("v1", 10)));
    expect_that!(events.last().unwrap(), eq("[DONE]"));
    let usage: serde_json::Value = serde_json::from_str(&events[events.len() - 2]).unwrap();
    expect_that!(usage["usage"]["total_tokens"].as_u64(), some(eq(15)));
}

#[gtest]
#[actix_rt::test]
async fn completion_works_with_and_without_streaming() {
    let (script, _) = answering_script("v1", 4);
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    let url = format!("{base}/v1/completions");
    let body = r#"{"model": "fittings-llm", "prompt": "rudder"}"#;
    let plain = post(&url, &[], body).await.json();
    expect_that!(
        plain["choices"][0]["text"].as_str(),
        some(eq(text("v1", 4).as_str()))
    );
    let body = r#"{"model": "fittings-llm", "prompt": "rudder", "stream": true}"#;
    let streamed = post(&url, &[], body).await;
    let joined: String = streamed
        .events()
        .iter()
        .filter_map(|event| serde_json::from_str::<serde_json::Value>(event).ok())
        .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
        .collect();
    expect_that!(joined, eq(&text("v1", 4)));
}

#[gtest]
#[actix_rt::test]
async fn duplicate_and_reordered_pieces_are_reassembled() {
    let (script, _) = sending_script(vec![
        accepted("v1"),
        chunk("v1", 4, 6),
        chunk("v1", 0, 2),
        chunk("v1", 1, 5),
        finish("v1", 6),
    ]);
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    let answer = post(&format!("{base}/v1/chat/completions"), &[], chat_body(true)).await;
    expect_that!(answer.streamed_text(), eq(&text("v1", 6)));
}

#[gtest]
#[actix_rt::test]
async fn refusal_reports_kind_ran_and_retry_after() {
    let (script, seen) = sending_script(vec![refused(ErrorKind::TenantRate, 1_500)]);
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    let answer = post(&format!("{base}/v1/chat/completions"), &[], chat_body(true)).await;
    expect_that!(answer.status, eq(429));
    let error = &answer.json()["error"];
    expect_that!(error["kind"].as_str(), some(eq("rate_limit_exceeded")));
    expect_that!(error["ran"].as_str(), some(eq("no")));
    expect_that!(error["retry_after_ms"].as_u64(), some(eq(1_500)));
    expect_that!(
        answer.headers.get("retry-after").unwrap().to_str(),
        ok(eq(&"2"))
    );
    expect_that!(seen.borrow().len(), eq(1));
}
