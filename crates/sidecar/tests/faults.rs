//! Nodes that are lost, refuse, change their version or go away while they serve.

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
    Received, Script, ScriptedNode, accepted, answers, chat_body, chunk, finish, post, refused,
    sends, settings, sidecar, text, until,
};
use tokio::sync::watch;
use tokio::task::AbortHandle;

type Seen = Rc<RefCell<Vec<Submit>>>;

/// Two nodes: each submission goes by turns to `first` and then always to `then`, whichever node
/// the sidecar chooses.
async fn by_turns(first: Vec<frame::Body>, dies: bool, then: Script) -> (Vec<ScriptedNode>, Seen) {
    let seen: Seen = Rc::default();
    let turn = Rc::new(Cell::new(0));
    let mut nodes = Vec::new();
    let killed: Rc<RefCell<Vec<AbortHandle>>> = Rc::default();
    for index in 0..2_usize {
        let (seen, turn, first, then) = (seen.clone(), turn.clone(), first.clone(), then.clone());
        let killed = killed.clone();
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
            if dies {
                let kill = killed.borrow()[index].clone();
                actix_rt::spawn(async move {
                    actix_rt::time::sleep(std::time::Duration::from_millis(30)).await;
                    kill.abort();
                });
            }
        });
        nodes.push(ScriptedNode::start(&format!("node-{index}"), script).await);
    }
    for node in &nodes {
        killed.borrow_mut().push(node.abort_handle());
    }
    (nodes, seen)
}

async fn start(nodes: &[ScriptedNode]) -> (SidecarHandle, String) {
    let (handle, base) = sidecar(settings(&nodes.iter().collect::<Vec<_>>())).await;
    support::wait_links(&base, nodes.len() as u64).await;
    (handle, base)
}

async fn chat(base: &str, stream: bool, headers: &[(&str, &str)]) -> Received {
    let url = format!("{base}/v1/chat/completions");
    post(&url, headers, chat_body(stream)).await
}

const NEVER: [(&str, &str); 2] = [
    ("Dappleyard-Repeat", "never"),
    ("Idempotency-Key", "order-1"),
];

#[gtest]
#[actix_rt::test]
async fn a_node_lost_in_mid_stream_is_followed_by_a_resume_at_the_offset() {
    let (then, _) = answers("v1", 10);
    let (nodes, seen) = by_turns(vec![accepted("v1"), chunk("v1", 0, 4)], true, then).await;
    let (_sidecar, base) = start(&nodes).await;
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
async fn a_streamed_answer_is_never_continued_by_another_version() {
    let (then, _) = answers("v2", 10);
    let (nodes, _) = by_turns(vec![accepted("v1"), chunk("v1", 0, 4)], true, then).await;
    let (_sidecar, base) = start(&nodes).await;
    let answer = chat(&base, true, &[]).await;
    expect_that!(answer.streamed_text(), eq(&text("v1", 4)));
    let last = answer.events().last().cloned().unwrap();
    expect_that!(last, contains_substring("version_gone"));
    expect_that!(last, contains_substring(r#""ran":"yes""#));
}

#[gtest]
#[actix_rt::test]
async fn a_plain_answer_is_run_anew_by_another_version() {
    let (then, _) = answers("v2", 10);
    let (nodes, seen) = by_turns(vec![accepted("v1"), chunk("v1", 0, 4)], true, then).await;
    let (_sidecar, base) = start(&nodes).await;
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
async fn an_end_without_all_pieces_is_not_taken_for_a_whole_answer() {
    let (then, _) = answers("v1", 6);
    let first = vec![
        accepted("v1"),
        chunk("v1", 0, 2),
        chunk("v1", 4, 6),
        finish("v1", 6),
    ];
    let (nodes, seen) = by_turns(first, false, then).await;
    let (_sidecar, base) = start(&nodes).await;
    let answer = chat(&base, true, &[]).await;
    expect_that!(answer.streamed_text(), eq(&text("v1", 6)));
    expect_that!(seen.borrow()[1].resume_offset, eq(2));
}

#[gtest]
#[actix_rt::test]
async fn a_node_that_is_not_ready_is_followed_by_another() {
    let (then, _) = answers("v1", 3);
    let (nodes, seen) = by_turns(vec![refused(ErrorKind::NotReady, 0)], false, then).await;
    let (_sidecar, base) = start(&nodes).await;
    expect_that!(chat(&base, false, &[]).await.status, eq(200));
    expect_that!(seen.borrow()[1].ran_before(), eq(Ran::No));
    expect_that!(seen.borrow()[1].attempt, eq(2));
}

#[gtest]
#[actix_rt::test]
async fn a_resend_that_meets_a_stopping_node_asks_the_record_at_another() {
    let (last, _) = answers("v1", 3);
    // The first run of the key is under way; the node that is asked next takes nothing new.
    let in_progress = vec![refused_after(ErrorKind::InProgress, Ran::Maybe)];
    let stopping = refused_after(ErrorKind::NotReady, Ran::Maybe);
    let met = Rc::new(Cell::new(false));
    let then: Script = Rc::new(move |stream: ServerStream| {
        if met.replace(true) {
            return last(stream);
        }
        let _ = stream.send(stopping.clone());
    });
    let (nodes, seen) = by_turns(in_progress, false, then).await;
    let (_sidecar, base) = start(&nodes).await;
    expect_that!(chat(&base, false, &NEVER).await.status, eq(200));
    expect_that!(seen.borrow().len(), eq(3));
}

/// A resend whose attempts are used up by polls, the last of them at a node that takes nothing new.
async fn polled_until_a_stopping_node(first: ErrorKind) -> serde_json::Value {
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
    let (_sidecar, base) = sidecar(settings(&[&node])).await;
    chat(&base, false, &NEVER).await.json()["error"].clone()
}

#[gtest]
#[actix_rt::test]
async fn a_resend_whose_last_poll_meets_a_stopping_node_is_told_what_the_record_said() {
    let error = polled_until_a_stopping_node(ErrorKind::InProgress).await;
    expect_that!(error["kind"].as_str(), some(eq("in_progress")));
    expect_that!(error["ran"].as_str(), some(eq("maybe")));
    expect_that!(error["retry_after_ms"].as_u64(), some(gt(0)));
}

#[gtest]
#[actix_rt::test]
async fn a_request_in_doubt_whose_last_poll_meets_a_stopping_node_is_told_so() {
    let error = polled_until_a_stopping_node(ErrorKind::NodeLost).await;
    expect_that!(error["kind"].as_str(), some(eq("outcome_unknown")));
    expect_that!(error["ran"].as_str(), some(eq("maybe")));
    expect_that!(error["retry_after_ms"].as_u64(), some(gt(0)));
}

#[gtest]
#[actix_rt::test]
async fn a_resend_in_progress_that_finds_no_node_any_more_is_told_what_the_record_said() {
    // The only node says that it goes away, and only then that the key is in progress.
    let announcement: Rc<RefCell<Option<watch::Sender<Announcement>>>> = Rc::default();
    let told = announcement.clone();
    let script: Script = Rc::new(move |stream: ServerStream| {
        let told = told.clone();
        actix_rt::spawn(async move {
            if let Some(announcement) = told.borrow().as_ref() {
                announcement.send_modify(|now| now.go_away_ms = Some(1_000));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
            let _ = stream.send(refused_after(ErrorKind::InProgress, Ran::Maybe));
        });
    });
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = sidecar(settings(&[&node])).await;
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
async fn a_request_that_must_not_repeat_asks_the_record_after_a_lost_node() {
    let (then, _) = answers("v1", 3);
    let (nodes, seen) = by_turns(vec![], true, then).await;
    let (_sidecar, base) = start(&nodes).await;
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
async fn a_request_that_must_not_repeat_is_not_sent_again_after_its_engine_was_lost() {
    let lost = Refused {
        ran: Ran::Maybe as i32,
        kind: ErrorKind::EngineLost as u32,
        ..Refused::default()
    };
    let (script, seen) = sends(vec![accepted("v1"), frame::Body::Refused(lost)]);
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = sidecar(settings(&[&node])).await;
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
async fn a_resend_whose_first_run_is_just_being_recorded_gets_its_answer() {
    let (then, _) = answers("v1", 3);
    let (nodes, seen) = by_turns(vec![refused(ErrorKind::InProgress, 300)], false, then).await;
    let (_sidecar, base) = start(&nodes).await;
    expect_that!(chat(&base, false, &NEVER).await.status, eq(200));
    expect_that!(seen.borrow().len(), eq(2));
}

#[gtest]
#[actix_rt::test]
async fn a_resend_whose_first_run_goes_on_is_told_when_to_come_back() {
    let (script, seen) = sends(vec![refused(ErrorKind::InProgress, 300)]);
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = sidecar(settings(&[&node])).await;
    let answer = chat(&base, false, &NEVER).await;
    expect_that!(answer.status, eq(409));
    let error = &answer.json()["error"];
    expect_that!(error["kind"].as_str(), some(eq("in_progress")));
    expect_that!(error["retry_after_ms"].as_u64(), some(eq(300)));
    expect_that!(seen.borrow().len(), eq(4));
}

#[gtest]
#[actix_rt::test]
async fn the_truth_about_a_lost_attempt_outlives_later_refusals() {
    let (then, _) = sends(vec![refused(ErrorKind::TenantRate, 0)]);
    let (nodes, _) = by_turns(vec![], true, then).await;
    let (_sidecar, base) = start(&nodes).await;
    let answer = chat(&base, false, &[]).await;
    expect_that!(answer.status, eq(429));
    expect_that!(answer.json()["error"]["ran"].as_str(), some(eq("maybe")));
}

#[gtest]
#[actix_rt::test]
async fn an_overloaded_fleet_is_asked_twice_and_then_answered_at_once() {
    let (then, _) = sends(vec![refused(ErrorKind::Overloaded, 700)]);
    let first = vec![refused(ErrorKind::Overloaded, 700)];
    let (nodes, seen) = by_turns(first, false, then).await;
    let (_sidecar, base) = start(&nodes).await;
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
async fn retries_end_when_the_budget_is_used_up() {
    let (script, seen) = sends(vec![refused(ErrorKind::NotReady, 0)]);
    let node = ScriptedNode::start("node-1", script).await;
    let mut bounds = settings(&[&node]);
    bounds.retry_budget_percent = 0;
    let (_sidecar, base) = sidecar(bounds).await;
    for _ in 0..30 {
        expect_that!(chat(&base, false, &[]).await.status, eq(503));
    }
    let reserve = dappleyard_decide::retry::BUDGET_BURST as usize;
    expect_that!(seen.borrow().len(), eq(30 + reserve));
}

#[gtest]
#[actix_rt::test]
async fn the_deadline_ends_a_request_and_stops_its_node() {
    let (script, cancelled) = silent_until_cancelled();
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = sidecar(settings(&[&node])).await;
    let answer = chat(&base, false, &[("Dappleyard-Deadline-Ms", "150")]).await;
    expect_that!(answer.status, eq(504));
    expect_that!(answer.json()["error"]["ran"].as_str(), some(eq("yes")));
    until(async || cancelled.get() == 1).await;
}

/// A script that accepts and then says nothing; counts the Cancel frames it gets.
fn silent_until_cancelled() -> (Script, Rc<Cell<usize>>) {
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
async fn a_caller_that_goes_away_stops_its_node_plain_and_streamed() {
    let (script, cancelled) = silent_until_cancelled();
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = sidecar(settings(&[&node])).await;
    for (index, stream) in [false, true].into_iter().enumerate() {
        support::send_and_go(&base, &chat_body(stream), &[]).await;
        until(async || cancelled.get() == index + 1).await;
    }
}

#[gtest]
#[actix_rt::test]
async fn a_request_that_must_not_repeat_is_not_stopped_when_its_caller_goes_away() {
    let (script, cancelled) = silent_until_cancelled();
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = sidecar(settings(&[&node])).await;
    support::send_and_go(&base, &chat_body(false), &NEVER).await;
    support::send_and_go(&base, &chat_body(false), &[]).await;
    until(async || cancelled.get() >= 1).await;
    let metrics = support::get(&format!("{base}/metrics")).await.body;
    expect_that!(metrics, contains_substring("callers_gone_total 2"));
    expect_that!(cancelled.get(), eq(1));
}

#[gtest]
#[actix_rt::test]
async fn a_node_that_goes_away_gets_nothing_new() {
    let (first_script, first_seen) = answers("v1", 2);
    let (second_script, second_seen) = answers("v1", 2);
    let first = ScriptedNode::start("node-1", first_script).await;
    let second = ScriptedNode::start("node-2", second_script).await;
    let nodes = [first, second];
    let (_sidecar, base) = start(&nodes).await;
    nodes[0]
        .announcement
        .send_modify(|now| now.go_away_ms = Some(1_000));
    until(async || {
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
async fn a_hedge_takes_over_from_a_silent_node_and_stops_it() {
    let (silent, cancelled) = {
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
    let (answering, _) = answers("v1", 5);
    let turn = Rc::new(Cell::new(0));
    let script: Script = Rc::new(move |stream: ServerStream| {
        turn.set(turn.get() + 1);
        if turn.get() == 1 {
            silent(stream)
        } else {
            answering(stream)
        }
    });
    let first = ScriptedNode::start("node-1", script.clone()).await;
    let second = ScriptedNode::start("node-2", script).await;
    let nodes = [first, second];
    let mut bounds = settings(&nodes.iter().collect::<Vec<_>>());
    bounds.hedge_after_ms = 50;
    let (_sidecar, base) = sidecar(bounds).await;
    support::wait_links(&base, 2).await;
    let answer = chat(&base, true, &[]).await;
    expect_that!(answer.streamed_text(), eq(&text("v1", 5)));
    until(async || cancelled.get() == 1).await;
}

#[gtest]
#[actix_rt::test]
async fn without_a_node_the_answer_comes_at_once() {
    let (script, _) = answers("v1", 2);
    let node = ScriptedNode::start("node-1", script).await;
    let (_sidecar, base) = sidecar(settings(&[&node])).await;
    node.announcement.send_modify(|now| now.ready = false);
    until(async || support::get(&format!("{base}/readyz")).await.status == 503).await;
    let answer = chat(&base, false, &[]).await;
    expect_that!(answer.status, eq(503));
    expect_that!(answer.json()["error"]["ran"].as_str(), some(eq("no")));
    expect_that!(
        answer.json()["error"]["retry_after_ms"].as_u64(),
        some(gt(0))
    );
}
