//! Nodes that are lost, refuse, change their version or shut down during a request.

mod support;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use dappleyard_sidecar::SidecarHandle;
use dappleyard_transport::link::{Announcement, ServerStream};
use dappleyard_wire::messages::{Refused, Submit, frame};
use dappleyard_wire::{ErrorKind, Failure, Ran, Repeat};
use googletest::prelude::*;
use support::{
    Response, Script, ScriptedNode, accepted, answering_script, chat_body, chunk, finish, post,
    refused, sending_script, settings, start_sidecar, text, wait_until,
};
use tokio::sync::watch;
use tokio::task::AbortHandle;

type Seen = Rc<RefCell<Vec<Submit>>>;

/// Starts two nodes. Whichever node is selected, the first submission gets the frames `first`, and
/// all later ones are handled by `then`.
async fn nodes_with_first_submission(
    first: Vec<frame::Body>,
    node_dies: bool,
    then: Script,
) -> (Vec<ScriptedNode>, Seen) {
    let seen: Seen = Rc::default();
    let turn = Rc::new(Cell::new(0));
    let mut nodes = Vec::new();
    let abort_handles: Rc<RefCell<Vec<AbortHandle>>> = Rc::default();
    for index in 0..2_usize {
        let (seen, turn, first, then) = (seen.clone(), turn.clone(), first.clone(), then.clone());
        let abort_handles = abort_handles.clone();
        let script: Script = Rc::new(move |stream: ServerStream| {
            if let frame::Body::Submit(submit) = &stream.first {
                seen.borrow_mut().push(submit.clone());
            }
            turn.set(turn.get() + 1);
            if turn.get() > 1 {
                return then(stream);
            }
            for frame in &first {
                let _ = stream.send(frame.clone());
            }
            if node_dies {
                let kill = abort_handles.borrow()[index].clone();
                actix_rt::spawn(async move {
                    actix_rt::time::sleep(std::time::Duration::from_millis(30)).await;
                    kill.abort();
                });
            }
        });
        nodes.push(ScriptedNode::start(&format!("node-{index}"), script).await);
    }
    for node in &nodes {
        abort_handles.borrow_mut().push(node.abort_handle());
    }
    (nodes, seen)
}

async fn start_with_nodes(nodes: &[ScriptedNode]) -> (SidecarHandle, String) {
    let (handle, base) = start_sidecar(settings(&nodes.iter().collect::<Vec<_>>())).await;
    support::wait_links(&base, nodes.len() as u64).await;
    (handle, base)
}

async fn chat(base: &str, stream: bool, headers: &[(&str, &str)]) -> Response {
    let url = format!("{base}/v1/chat/completions");
    post(&url, headers, chat_body(stream)).await
}

const NEVER: [(&str, &str); 2] = [
    ("Dappleyard-Repeat", "never"),
    ("Idempotency-Key", "order-1"),
];

#[gtest]
#[actix_rt::test]
async fn stream_resumes_at_offset_after_node_loss() {
    let (then, _) = answering_script("v1", 10);
    let (nodes, seen) =
        nodes_with_first_submission(vec![accepted("v1"), chunk("v1", 0, 4)], true, then).await;
    let (_sidecar, base) = start_with_nodes(&nodes).await;
    let answer = chat(&base, true, &[]).await;
    expect_that!(answer.streamed_text(), eq(&text("v1", 10)));
    let second = seen.borrow()[1].clone();
    expect_that!(second.attempt, eq(2));
    expect_that!(second.resume_offset, eq(4));
    expect_that!(second.resumed_pieces, eq(&support::pieces("v1", 0, 4)));
    expect_that!(second.version, eq("v1"));
    expect_that!(second.engine_stream, eq("stream-1"));
    expect_that!(second.server, eq("server-1"));
    expect_that!(second.ran_before(), eq(Ran::Yes));
    let request = |index: usize| seen.borrow()[index].request.clone().unwrap().request_id;
    expect_that!(request(0), eq(&request(1)));
}

#[gtest]
#[actix_rt::test]
async fn stream_is_not_continued_by_another_version() {
    let (then, _) = answering_script("v2", 10);
    let (nodes, _) =
        nodes_with_first_submission(vec![accepted("v1"), chunk("v1", 0, 4)], true, then).await;
    let (_sidecar, base) = start_with_nodes(&nodes).await;
    let answer = chat(&base, true, &[]).await;
    expect_that!(answer.streamed_text(), eq(&text("v1", 4)));
    let last = answer.events().last().cloned().unwrap();
    expect_that!(last, contains_substring("version_gone"));
    expect_that!(last, contains_substring(r#""ran":"yes""#));
}

#[gtest]
#[actix_rt::test]
async fn unstreamed_request_restarts_on_another_version() {
    let (then, _) = answering_script("v2", 10);
    let (nodes, seen) =
        nodes_with_first_submission(vec![accepted("v1"), chunk("v1", 0, 4)], true, then).await;
    let (_sidecar, base) = start_with_nodes(&nodes).await;
    let json = chat(&base, false, &[]).await.json();
    expect_that!(
        json["choices"][0]["message"]["content"].as_str(),
        some(eq(text("v2", 10).as_str()))
    );
    let last = seen.borrow().last().cloned().unwrap();
    expect_that!(last.resume_offset, eq(0));
    expect_that!(last.version, eq(""));
}

#[gtest]
#[actix_rt::test]
async fn finish_with_missing_pieces_resumes_at_the_gap() {
    let (then, _) = answering_script("v1", 6);
    let first = vec![
        accepted("v1"),
        chunk("v1", 0, 2),
        chunk("v1", 4, 6),
        finish("v1", 6),
    ];
    let (nodes, seen) = nodes_with_first_submission(first, false, then).await;
    let (_sidecar, base) = start_with_nodes(&nodes).await;
    let answer = chat(&base, true, &[]).await;
    expect_that!(answer.streamed_text(), eq(&text("v1", 6)));
    expect_that!(seen.borrow()[1].resume_offset, eq(2));
}

#[gtest]
#[actix_rt::test]
async fn not_ready_node_is_retried_on_another() {
    let (then, _) = answering_script("v1", 3);
    let (nodes, seen) =
        nodes_with_first_submission(vec![refused(ErrorKind::NotReady, 0)], false, then).await;
    let (_sidecar, base) = start_with_nodes(&nodes).await;
    expect_that!(chat(&base, false, &[]).await.status, eq(200));
    expect_that!(seen.borrow()[1].ran_before(), eq(Ran::No));
    expect_that!(seen.borrow()[1].attempt, eq(2));
}

#[gtest]
#[actix_rt::test]
async fn never_retry_polls_another_node_after_not_ready() {
    let (last, _) = answering_script("v1", 3);
    // The first run of the key is in progress; the node that is polled next is not ready.
    let in_progress = vec![refused_after(ErrorKind::InProgress, Ran::Maybe)];
    let stopping = refused_after(ErrorKind::NotReady, Ran::Maybe);
    let met = Rc::new(Cell::new(false));
    let then: Script = Rc::new(move |stream: ServerStream| {
        if met.replace(true) {
            return last(stream);
        }
        let _ = stream.send(stopping.clone());
    });
    let (nodes, seen) = nodes_with_first_submission(in_progress, false, then).await;
    let (_sidecar, base) = start_with_nodes(&nodes).await;
    expect_that!(chat(&base, false, &NEVER).await.status, eq(200));
    expect_that!(seen.borrow().len(), eq(3));
}

/// Returns the error of a retry whose polls use up all attempts; the last is refused as not ready.
async fn poll_until_not_ready(first: ErrorKind) -> serde_json::Value {
    let stopping = refused_after(ErrorKind::NotReady, Ran::Maybe);
    let seen = Rc::new(Cell::new(0));
    let script: Script = Rc::new(move |stream: ServerStream| {
        seen.set(seen.get() + 1);
        let answer = match seen.get() {
            1..=3 => refused_after(first, Ran::Maybe),
            _ => stopping.clone(),
        };
        let _ = stream.send(answer);
    });
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    chat(&base, false, &NEVER).await.json()["error"].clone()
}

#[gtest]
#[actix_rt::test]
async fn not_ready_on_last_poll_reports_earlier_in_progress() {
    let error = poll_until_not_ready(ErrorKind::InProgress).await;
    expect_that!(error["kind"].as_str(), some(eq("in_progress")));
    expect_that!(error["ran"].as_str(), some(eq("maybe")));
    expect_that!(error["retry_after_ms"].as_u64(), some(gt(0)));
}

#[gtest]
#[actix_rt::test]
async fn not_ready_on_last_poll_reports_outcome_unknown() {
    let error = poll_until_not_ready(ErrorKind::NodeLost).await;
    expect_that!(error["kind"].as_str(), some(eq("outcome_unknown")));
    expect_that!(error["ran"].as_str(), some(eq("maybe")));
    expect_that!(error["retry_after_ms"].as_u64(), some(gt(0)));
}

#[gtest]
#[actix_rt::test]
async fn no_node_left_reports_earlier_in_progress() {
    // The only node announces its shutdown before it reports that the key is in progress.
    let announcement: Rc<RefCell<Option<watch::Sender<Announcement>>>> = Rc::default();
    let node_announcement = announcement.clone();
    let script: Script = Rc::new(move |stream: ServerStream| {
        let node_announcement = node_announcement.clone();
        actix_rt::spawn(async move {
            if let Some(announcement) = node_announcement.borrow().as_ref() {
                announcement.send_modify(|now| now.go_away_ms = Some(1_000));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
            let _ = stream.send(refused_after(ErrorKind::InProgress, Ran::Maybe));
        });
    });
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    announcement.replace(Some(node.announcement.clone()));
    let error = chat(&base, false, &NEVER).await.json()["error"].clone();
    expect_that!(error["kind"].as_str(), some(eq("in_progress")));
    expect_that!(error["ran"].as_str(), some(eq("maybe")));
}

fn refused_after(kind: ErrorKind, ran: Ran) -> frame::Body {
    frame::Body::Refused(Failure::not_run(kind, "not now").after(ran).to_refused())
}

#[gtest]
#[actix_rt::test]
async fn never_request_polls_record_after_node_loss() {
    let (then, _) = answering_script("v1", 3);
    let (nodes, seen) = nodes_with_first_submission(vec![], true, then).await;
    let (_sidecar, base) = start_with_nodes(&nodes).await;
    expect_that!(chat(&base, false, &NEVER).await.status, eq(200));
    let submits = seen.borrow();
    let key = |index: usize| submits[index].request.clone().unwrap().idempotency_key;
    expect_that!(key(0), eq("order-1"));
    expect_that!(key(1), eq("order-1"));
    expect_that!(
        submits[1].request.clone().unwrap().repeat(),
        eq(Repeat::Never)
    );
    expect_that!(submits[1].ran_before(), eq(Ran::Maybe));
}

#[gtest]
#[actix_rt::test]
async fn never_request_is_not_retried_after_engine_loss() {
    let lost = Refused {
        ran: Ran::Maybe as i32,
        kind: ErrorKind::EngineLost as u32,
        ..Refused::default()
    };
    let (script, seen) = sending_script(vec![accepted("v1"), frame::Body::Refused(lost)]);
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    let answer = chat(&base, false, &NEVER).await;
    expect_that!(answer.status, eq(409));
    let error = &answer.json()["error"];
    expect_that!(error["kind"].as_str(), some(eq("outcome_unknown")));
    expect_that!(error["ran"].as_str(), some(eq("maybe")));
    expect_that!(error["retry_after_ms"].as_u64(), some(gt(0)));
    expect_that!(seen.borrow().len(), eq(1));
}

#[gtest]
#[actix_rt::test]
async fn never_retry_gets_response_once_recorded() {
    let (then, _) = answering_script("v1", 3);
    let (nodes, seen) =
        nodes_with_first_submission(vec![refused(ErrorKind::InProgress, 300)], false, then).await;
    let (_sidecar, base) = start_with_nodes(&nodes).await;
    expect_that!(chat(&base, false, &NEVER).await.status, eq(200));
    expect_that!(seen.borrow().len(), eq(2));
}

#[gtest]
#[actix_rt::test]
async fn never_retry_of_running_request_reports_retry_after() {
    let (script, seen) = sending_script(vec![refused(ErrorKind::InProgress, 300)]);
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    let answer = chat(&base, false, &NEVER).await;
    expect_that!(answer.status, eq(409));
    let error = &answer.json()["error"];
    expect_that!(error["kind"].as_str(), some(eq("in_progress")));
    expect_that!(error["retry_after_ms"].as_u64(), some(eq(300)));
    expect_that!(seen.borrow().len(), eq(4));
}

#[gtest]
#[actix_rt::test]
async fn ran_status_of_lost_attempt_survives_later_refusal() {
    let (then, _) = sending_script(vec![refused(ErrorKind::TenantRate, 0)]);
    let (nodes, _) = nodes_with_first_submission(vec![], true, then).await;
    let (_sidecar, base) = start_with_nodes(&nodes).await;
    let answer = chat(&base, false, &[]).await;
    expect_that!(answer.status, eq(429));
    expect_that!(answer.json()["error"]["ran"].as_str(), some(eq("maybe")));
}

#[gtest]
#[actix_rt::test]
async fn overload_is_reported_after_two_attempts() {
    let (then, _) = sending_script(vec![refused(ErrorKind::Overloaded, 700)]);
    let first = vec![refused(ErrorKind::Overloaded, 700)];
    let (nodes, seen) = nodes_with_first_submission(first, false, then).await;
    let (_sidecar, base) = start_with_nodes(&nodes).await;
    let answer = chat(&base, false, &[]).await;
    expect_that!(answer.status, eq(503));
    expect_that!(
        answer.json()["error"]["retry_after_ms"].as_u64(),
        some(eq(700))
    );
    expect_that!(seen.borrow().len(), eq(2));
}

#[gtest]
#[actix_rt::test]
async fn retries_stop_when_budget_is_exhausted() {
    let (script, seen) = sending_script(vec![refused(ErrorKind::NotReady, 0)]);
    let node = ScriptedNode::start("node-1", script).await;
    let mut sidecar_settings = settings(&[&node]);
    sidecar_settings.retry_budget_percent = 0;
    let (_sidecar, base) = start_sidecar(sidecar_settings).await;
    for _ in 0..30 {
        expect_that!(chat(&base, false, &[]).await.status, eq(503));
    }
    let burst = dappleyard_decide::retry::BUDGET_BURST as usize;
    expect_that!(seen.borrow().len(), eq(30 + burst));
}

#[gtest]
#[actix_rt::test]
async fn deadline_cancels_request_at_node() {
    let (script, cancelled) = stalled_until_cancelled();
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    let answer = chat(&base, false, &[("Dappleyard-Deadline-Ms", "150")]).await;
    expect_that!(answer.status, eq(504));
    expect_that!(answer.json()["error"]["ran"].as_str(), some(eq("yes")));
    wait_until(async || cancelled.get() == 1).await;
}

/// A script that sends one piece and then stalls. Also returns the count of Cancel frames.
fn stalled_until_cancelled() -> (Script, Rc<Cell<usize>>) {
    let cancelled = Rc::new(Cell::new(0));
    let count = cancelled.clone();
    let script: Script = Rc::new(move |mut stream: ServerStream| {
        let count = count.clone();
        actix_rt::spawn(async move {
            let _ = stream.send(accepted("v1"));
            let _ = stream.send(chunk("v1", 0, 1));
            while let Some(body) = stream.receiver.recv().await {
                if matches!(body, frame::Body::Cancel(_)) {
                    count.set(count.get() + 1);
                }
            }
        });
    });
    (script, cancelled)
}

#[gtest]
#[actix_rt::test]
async fn client_disconnect_cancels_request_at_node() {
    let (script, cancelled) = stalled_until_cancelled();
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    for (index, stream) in [false, true].into_iter().enumerate() {
        support::send_and_disconnect(&base, &chat_body(stream), &[]).await;
        wait_until(async || cancelled.get() == index + 1).await;
    }
}

#[gtest]
#[actix_rt::test]
async fn never_request_continues_after_client_disconnect() {
    let (script, cancelled) = stalled_until_cancelled();
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    support::send_and_disconnect(&base, &chat_body(false), &NEVER).await;
    support::send_and_disconnect(&base, &chat_body(false), &[]).await;
    wait_until(async || cancelled.get() >= 1).await;
    let metrics = support::get(&format!("{base}/metrics")).await.body;
    expect_that!(metrics, contains_substring("callers_gone_total 2"));
    expect_that!(cancelled.get(), eq(1));
}

#[gtest]
#[actix_rt::test]
async fn node_that_goes_away_gets_no_new_requests() {
    let (first_script, first_seen) = answering_script("v1", 2);
    let (second_script, second_seen) = answering_script("v1", 2);
    let first = ScriptedNode::start("node-1", first_script).await;
    let second = ScriptedNode::start("node-2", second_script).await;
    let nodes = [first, second];
    let (_sidecar, base) = start_with_nodes(&nodes).await;
    nodes[0]
        .announcement
        .send_modify(|now| now.go_away_ms = Some(1_000));
    wait_until(async || {
        chat(&base, false, &[]).await;
        second_seen.borrow().len() >= 3
    })
    .await;
    let before = first_seen.borrow().len();
    for _ in 0..5 {
        expect_that!(chat(&base, false, &[]).await.status, eq(200));
    }
    expect_that!(first_seen.borrow().len(), eq(before));
}

#[gtest]
#[actix_rt::test]
async fn hedge_replaces_and_cancels_stalled_attempt() {
    let (stalled, cancelled) = {
        let cancelled = Rc::new(Cell::new(0));
        let count = cancelled.clone();
        let script: Rc<dyn Fn(ServerStream)> = Rc::new(move |mut stream: ServerStream| {
            let count = count.clone();
            actix_rt::spawn(async move {
                let _ = stream.send(accepted("v9"));
                while let Some(body) = stream.receiver.recv().await {
                    count.set(count.get() + usize::from(matches!(body, frame::Body::Cancel(_))));
                }
            });
        });
        (script, cancelled)
    };
    let (answering, _) = answering_script("v1", 5);
    let turn = Rc::new(Cell::new(0));
    let script: Script = Rc::new(move |stream: ServerStream| {
        turn.set(turn.get() + 1);
        if turn.get() == 1 {
            stalled(stream)
        } else {
            answering(stream)
        }
    });
    let first = ScriptedNode::start("node-1", script.clone()).await;
    let second = ScriptedNode::start("node-2", script).await;
    let nodes = [first, second];
    let mut sidecar_settings = settings(&nodes.iter().collect::<Vec<_>>());
    sidecar_settings.hedge_after_ms = 50;
    let (_sidecar, base) = start_sidecar(sidecar_settings).await;
    support::wait_links(&base, 2).await;
    let answer = chat(&base, true, &[]).await;
    expect_that!(answer.streamed_text(), eq(&text("v1", 5)));
    wait_until(async || cancelled.get() == 1).await;
}

#[gtest]
#[actix_rt::test]
async fn request_fails_immediately_without_ready_node() {
    let (script, _) = answering_script("v1", 2);
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = start_sidecar(settings(&[&node])).await;
    node.announcement.send_modify(|now| now.ready = false);
    wait_until(async || support::get(&format!("{base}/readyz")).await.status == 503).await;
    let answer = chat(&base, false, &[]).await;
    expect_that!(answer.status, eq(503));
    expect_that!(answer.json()["error"]["ran"].as_str(), some(eq("no")));
    expect_that!(
        answer.json()["error"]["retry_after_ms"].as_u64(),
        some(gt(0))
    );
}
