//! Files, batches and models through a sidecar with scripted nodes.

mod support;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use dappleyard_transport::link::ServerStream;
use dappleyard_wire::ErrorKind;
use dappleyard_wire::messages::{
    FileData, JobPage, JobPhase, JobState, JobSubmit, ModelEntry, ModelList, Reply, call, frame,
    reply,
};
use googletest::prelude::*;
use support::{Script, ScriptedNode, get, post, refused, settings, start_sidecar, wait_until};

fn job(phase: JobPhase) -> JobState {
    JobState {
        job_id: "batch_1".to_owned(),
        endpoint: "/v1/completions".to_owned(),
        input_file_id: "file-1".to_owned(),
        phase: phase as i32,
        created_unix_s: 100,
        deadline_unix_s: 100 + 86_400,
        finished_unix_s: 150,
        items_total: 3,
        items_completed: 3,
        ..JobState::default()
    }
}

fn send_reply(stream: &ServerStream, result: reply::Result) {
    let result = Some(result);
    let _ = stream.send(frame::Body::Reply(Reply { result }));
}

fn method(stream: &ServerStream) -> Option<call::Method> {
    match &stream.first {
        frame::Body::Call(call) => call.method.clone(),
        _ => None,
    }
}

const BATCH: &str = r#"{"input_file_id": "file-1", "endpoint": "/v1/completions",
    "completion_window": "24h", "metadata": {"yard": "howrah"}}"#;

/// Starts two nodes; the one that gets the first submission dies, later submissions are answered.
async fn nodes_losing_first_submission() -> (Vec<ScriptedNode>, Rc<RefCell<Vec<JobSubmit>>>) {
    let seen: Rc<RefCell<Vec<JobSubmit>>> = Rc::default();
    let serving: Rc<RefCell<Vec<tokio::task::AbortHandle>>> = Rc::default();
    let mut nodes = Vec::new();
    for index in 0..2_usize {
        let (seen, serving) = (seen.clone(), serving.clone());
        let script: Script = Rc::new(move |stream: ServerStream| {
            let Some(call::Method::JobSubmit(submit)) = method(&stream) else {
                return;
            };
            seen.borrow_mut().push(submit);
            if seen.borrow().len() == 1 {
                serving.borrow()[index].abort();
            } else {
                send_reply(&stream, reply::Result::Job(job(JobPhase::JobValidating)));
            }
        });
        nodes.push(ScriptedNode::start(&format!("node-{index}"), script).await);
    }
    for node in &nodes {
        serving.borrow_mut().push(node.abort_handle());
    }
    (nodes, seen)
}

#[gtest]
#[actix_rt::test]
async fn batch_create_is_retried_with_the_same_client_key() {
    let (nodes, seen) = nodes_losing_first_submission().await;
    let (_sidecar, base) = start_sidecar(settings(&nodes.iter().collect::<Vec<_>>())).await;
    support::wait_links(&base, 2).await;
    let answer = post(&format!("{base}/v1/batches"), &[], BATCH).await;
    expect_that!(answer.status, eq(200), "{}", answer.body);
    let submits = seen.borrow();
    expect_that!(submits.len(), eq(2));
    expect_that!(submits[0].client_key.len(), eq(32));
    expect_that!(submits[0].client_key, eq(&submits[1].client_key));
    expect_that!(submits[1].completion_window_s, eq(86_400));
    expect_that!(submits[1].metadata.get("yard").cloned(), some(eq("howrah")));
}

#[gtest]
#[actix_rt::test]
async fn idempotency_key_is_used_as_client_key() {
    let seen: Rc<RefCell<Vec<String>>> = Rc::default();
    let record = seen.clone();
    let script: Script = Rc::new(move |stream: ServerStream| {
        if let Some(call::Method::JobSubmit(submit)) = method(&stream) {
            record.borrow_mut().push(submit.client_key);
            send_reply(&stream, reply::Result::Job(job(JobPhase::JobValidating)));
        }
    });
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    let url = format!("{base}/v1/batches");
    post(&url, &[("Idempotency-Key", "shift-7")], BATCH).await;
    let with_key = BATCH.replace("yard", "idempotency_key");
    post(&url, &[], with_key).await;
    expect_that!(*seen.borrow(), elements_are![eq("shift-7"), eq("howrah")]);
}

#[gtest]
#[actix_rt::test]
async fn batches_can_be_read_listed_and_cancelled() {
    let script: Script = Rc::new(|stream: ServerStream| {
        let result = match method(&stream) {
            Some(call::Method::JobGet(_)) => reply::Result::Job(job(JobPhase::JobCompleted)),
            Some(call::Method::JobCancel(_)) => reply::Result::Job(job(JobPhase::JobCancelled)),
            Some(call::Method::JobList(list)) => reply::Result::Jobs(JobPage {
                jobs: vec![job(JobPhase::JobInProgress); list.limit as usize],
                more: true,
            }),
            _ => return,
        };
        send_reply(&stream, result);
    });
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    let read = get(&format!("{base}/v1/batches/batch_1")).await.json();
    expect_that!(read["status"].as_str(), some(eq("completed")));
    expect_that!(read["completed_at"].as_u64(), some(eq(150)));
    expect_that!(read["completion_window"].as_str(), some(eq("24h")));
    expect_that!(read["request_counts"]["completed"].as_u64(), some(eq(3)));
    let list = get(&format!("{base}/v1/batches?limit=2")).await.json();
    expect_that!(list["data"].as_array().map(Vec::len), some(eq(2)));
    expect_that!(list["has_more"].as_bool(), some(eq(true)));
    let url = format!("{base}/v1/batches/batch_1/cancel");
    let cancelled = post(&url, &[], "").await.json();
    expect_that!(cancelled["cancelled_at"].as_u64(), some(eq(150)));
    let bad = get(&format!("{base}/v1/batches?limit=many")).await;
    expect_that!(bad.status, eq(400));
    expect_that!(
        bad.json()["error"]["kind"].as_str(),
        some(eq("invalid_request"))
    );
}

#[gtest]
#[actix_rt::test]
async fn invalid_batch_is_rejected_with_field_name() {
    let script: Script = Rc::new(|_| {});
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    let cases = [
        ("/v1/completions", "/v1/images", "endpoint"),
        ("24h", "soon", "completion_window"),
        ("24h", "9999d", "completion_window"),
        ("file-1", "a/b", "input_file_id"),
        ("\"howrah\"", "7", "metadata.yard"),
    ];
    for (from, to, field) in cases {
        let answer = post(&format!("{base}/v1/batches"), &[], BATCH.replace(from, to)).await;
        expect_that!(answer.status, eq(400), "{}", answer.body);
        expect_that!(answer.json()["error"]["param"].as_str(), some(eq(field)));
    }
}

/// Guards against a download that ends in the middle without a record.
#[gtest]
#[actix_rt::test]
async fn cut_download() {
    let script: Script = Rc::new(|stream: ServerStream| match method(&stream) {
        Some(call::Method::FileRead(read)) if read.offset == 0 => {
            let data = FileData {
                data: b"begun".to_vec(),
                ..FileData::default()
            };
            send_reply(&stream, reply::Result::Data(data));
        }
        _ => drop(stream.send(refused(ErrorKind::NotFound, 0))),
    });
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    support::wait_links(&base, 1).await;
    let read = awc::Client::default().get(format!("{base}/v1/files/a/content"));
    let _ = read.send().await.unwrap().body().await;
    let cut = support::metric(&base, "dappleyard_sidecar_downloads_cut_total").await;
    expect_that!(cut, eq(1));
}

#[gtest]
#[actix_rt::test]
async fn file_round_trips_unchanged() {
    let node = ScriptedNode::start("node-1", support::file_store_script()).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    let content: String = (0..200_000)
        .map(|line| format!("{{\"line\": {line}}}\n"))
        .collect();
    let body = format!(
        "--b0\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --b0\r\nContent-Disposition: form-data; name=\"file\"; filename=\"a.jsonl\"\r\n\r\n\
         {content}\r\n--b0--\r\n"
    );
    let multipart = [("Content-Type", "multipart/form-data; boundary=b0")];
    let sent = post(&format!("{base}/v1/files"), &multipart, body).await;
    expect_that!(
        sent.json()["bytes"].as_u64(),
        some(eq(content.len() as u64))
    );
    let id = sent.json()["id"].as_str().unwrap().to_owned();
    let stat = get(&format!("{base}/v1/files/{id}")).await.json();
    expect_that!(stat["status"].as_str(), some(eq("processed")));
    let read = get(&format!("{base}/v1/files/{id}/content")).await;
    expect_that!(read.body == content, eq(true));
}

#[gtest]
#[actix_rt::test]
async fn models_are_listed_with_adapters() {
    let script: Script = Rc::new(|stream: ServerStream| {
        let entry = ModelEntry {
            service: "fittings-llm".to_owned(),
            version: "v1".to_owned(),
            adapters: vec!["bronze".to_owned()],
        };
        let models = vec![entry];
        send_reply(&stream, reply::Result::Models(ModelList { models }));
    });
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    let list = get(&format!("{base}/v1/models")).await.json();
    let ids: Vec<&str> = list["data"]
        .as_array()
        .unwrap()
        .iter()
        .filter_map(|model| model["id"].as_str())
        .collect();
    expect_that!(
        ids,
        elements_are![eq(&"fittings-llm"), eq(&"fittings-llm:bronze")]
    );
    let one = get(&format!("{base}/v1/models/fittings-llm")).await.json();
    expect_that!(one["version"].as_str(), some(eq("v1")));
    expect_that!(get(&format!("{base}/v1/models/none")).await.status, eq(404));
}

#[gtest]
#[actix_rt::test]
async fn refused_call_is_reported_and_not_retried() {
    let calls = Rc::new(Cell::new(0));
    let count = calls.clone();
    let script: Script = Rc::new(move |stream: ServerStream| {
        count.set(count.get() + 1);
        let _ = stream.send(refused(ErrorKind::StoreUnavailable, 900));
    });
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    let answer = get(&format!("{base}/v1/batches/batch_1")).await;
    expect_that!(answer.status, eq(503));
    expect_that!(
        answer.json()["error"]["retry_after_ms"].as_u64(),
        some(eq(900))
    );
    expect_that!(calls.get(), eq(1));
}

#[gtest]
#[actix_rt::test]
async fn graceful_shutdown_completes_open_responses() {
    let (release, held) = tokio::sync::watch::channel(false);
    let script: Script = Rc::new(move |stream: ServerStream| {
        let mut held = held.clone();
        actix_rt::spawn(async move {
            let _ = stream.send(support::accepted("v1"));
            let _ = stream.send(support::chunk("v1", 0, 2));
            let _ = held.wait_for(|released| *released).await;
            let _ = stream.send(support::chunk("v1", 2, 4));
            let _ = stream.send(support::finish("v1", 4));
        });
    });
    let node = ScriptedNode::start("node-1", script).await;
    let (handle, base) = start_sidecar(settings(&[&node])).await;
    let url = format!("{base}/v1/chat/completions");
    let asking = actix_rt::spawn(async move { post(&url, &[], support::chat_body(true)).await });
    wait_until(async || support::metric(&base, "dappleyard_sidecar_pieces_total").await == 2).await;
    let stopping = actix_rt::spawn(handle.stop());
    let address = base.trim_start_matches("http://").to_owned();
    wait_until(async || tokio::net::TcpStream::connect(&address).await.is_err()).await;
    release.send_replace(true);
    let answer = asking.await.unwrap();
    expect_that!(answer.streamed_text(), eq(&support::text("v1", 4)));
    stopping.await.unwrap();
}
