//! Answers stay complete when engines fail or callers disconnect during a stream.

mod support;

use std::time::Duration;

use dappleyard_wire::messages::{Cancel, Stage, frame};
use dappleyard_wire::{ErrorKind, Ran};
use googletest::prelude::*;
use support::*;

fn cancel() -> frame::Body {
    frame::Body::Cancel(Cancel::default())
}

#[gtest]
fn a_request_gets_its_complete_answer() {
    run(async {
        let node = Node::new(2);
        let answer = node.submit(request("r1")).full_answer().await;
        expect_that!(answer.text(), eq(&full_text()));
        let finish = answer.finish.expect("a finish");
        expect_that!(finish.total_tokens, eq(TOKENS));
        expect_that!(finish.replayed, is_false());
        expect_that!(node.online_in_flight(), eq(0));
        tokio::task::yield_now().await;
        expect_that!(node.shared.active_streams(), eq(0));
    });
}

#[gtest]
fn requests_of_one_session_use_one_server() {
    run(async {
        let node = Node::new(8);
        for index in 0..10 {
            node.submit(request(&format!("r{index}")))
                .full_answer()
                .await;
        }
        let mut servers = node.engine.servers_called();
        servers.dedup();
        expect_that!(servers, len(eq(1)));
    });
}

#[gtest]
fn a_stream_is_reattached_after_a_lost_connection() {
    run(async {
        let node = Node::new(1);
        let broken = vec![Step::Accept, Step::Tokens(2), Step::Lose];
        node.engine.script("s0", [Script::Steps(broken)]);
        let answer = node.submit(request("r1")).full_answer().await;
        expect_that!(answer.text(), eq(&full_text()));
        let calls = node.engine.calls.borrow();
        expect_that!(calls[1].1.attach_stream, eq("e1"));
        expect_that!(calls[1].1.resume_offset, eq(2));
    });
}

#[gtest]
fn a_lost_engine_is_replaced_by_one_of_the_same_version() {
    run(async {
        let node = Node::new(3);
        node.report("s2", "v2");
        for server in ["s0", "s1"] {
            let broken = vec![Step::Accept, Step::Tokens(3), Step::Lose];
            node.engine
                .script(server, [Script::Steps(broken), Script::Unreachable]);
        }
        for server in ["s0", "s1"] {
            node.engine.script(server, [Script::full_answer()]);
        }
        node.tables
            .servers
            .with(&"s2".into(), |state| state.withdrawn = None);
        let mut submit = request("r1");
        submit.version = VERSION.to_owned();
        let answer = node.submit(submit).full_answer().await;
        let called = node.engine.servers_called();
        expect_that!(called, not(contains(eq("s2"))));
        expect_that!(called, contains(eq("s0")));
        expect_that!(called, contains(eq("s1")));
        if answer.finish.is_some() {
            expect_that!(answer.text(), eq(&full_text()));
        } else {
            let refused = answer.refused.expect("a refusal");
            expect_that!(refused.ran(), eq(Ran::Yes));
        }
        expect_that!(node.online_in_flight(), eq(0));
    });
}

#[gtest]
fn unreachable_engines_are_reported_as_not_run() {
    run(async {
        let node = Node::new(2);
        node.engine.script("s0", [Script::Unreachable]);
        node.engine.script("s1", [Script::Unreachable]);
        let answer = node.submit(request("r1")).full_answer().await;
        let refused = answer.refused.expect("a refusal");
        expect_that!(refused.ran(), eq(Ran::No));
        expect_that!(node.engine.calls.borrow().len(), eq(2));
        let answer = node.submit(request("r2")).full_answer().await;
        expect_that!(answer.text(), eq(&full_text()));
    });
}

#[gtest]
fn a_cancel_is_forwarded_to_the_engine() {
    run(async {
        let node = Node::new(1);
        let stalled = vec![Step::Accept, Step::Tokens(2), Step::Hang];
        node.engine.script("s0", [Script::Steps(stalled)]);
        let mut client = node.submit(request("r1"));
        client.read_tokens(2).await;
        client.send(cancel());
        let refused = client.full_answer().await.refused.expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::Cancelled as u32));
        expect_that!(refused.ran(), eq(Ran::Yes));
        tokio::time::sleep(Duration::from_millis(1)).await;
        expect_that!(*node.engine.cancels.borrow(), elements_are![eq("e1")]);
        expect_that!(node.online_in_flight(), eq(0));
    });
}

#[gtest]
fn a_caller_resumes_its_stream_within_the_grace_period() {
    run(async {
        let node = Node::new(1);
        let stalled = vec![Step::Accept, Step::Tokens(2), Step::Hang];
        node.engine.script("s0", [Script::Steps(stalled)]);
        let mut first = node.submit(request("r1"));
        let partial = first.read_tokens(2).await;
        drop(first);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let mut again = request("r1");
        again.attempt = 2;
        again.resume_offset = 2;
        again.resumed_pieces = partial.pieces.clone();
        again.version = VERSION.to_owned();
        again.engine_stream = partial.accepted[0].engine_stream.clone();
        again.server = partial.accepted[0].server.clone();
        again.ran_before = Ran::Yes as i32;
        let answer = node.submit(again).full_answer().await;
        expect_that!(answer.text(), eq(&full_text()));
        tokio::time::sleep(Duration::from_secs(10)).await;
        expect_that!(*node.engine.cancels.borrow(), is_empty());
        expect_that!(node.shared.active_streams(), eq(0));
    });
}

#[gtest]
fn a_stream_is_cancelled_after_the_grace_period() {
    run(async {
        let node = Node::new(1);
        let stalled = vec![Step::Accept, Step::Tokens(2), Step::Hang];
        node.engine.script("s0", [Script::Steps(stalled)]);
        let mut client = node.submit(request("r1"));
        client.read_tokens(2).await;
        drop(client);
        tokio::time::sleep(Duration::from_millis(2_900)).await;
        expect_that!(*node.engine.cancels.borrow(), is_empty());
        tokio::time::sleep(Duration::from_millis(200)).await;
        expect_that!(*node.engine.cancels.borrow(), elements_are![eq("e1")]);
        expect_that!(node.shared.active_streams(), eq(0));
    });
}

#[gtest]
fn an_exceeded_deadline_refuses_promptly_and_cancels_the_stream() {
    run(async {
        let node = Node::new(1);
        node.engine
            .script("s0", [Script::Steps(vec![Step::Accept, Step::Hang])]);
        let mut submit = request("r1");
        submit.budget_ms = 300;
        let started = dappleyard_clock::Instant::now();
        let refused = node
            .submit(submit)
            .full_answer()
            .await
            .refused
            .expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::DeadlineExceeded as u32));
        expect_that!(refused.ran(), eq(Ran::Maybe));
        expect_that!(started.elapsed(), le(Duration::from_millis(305)));
        tokio::time::sleep(Duration::from_millis(1)).await;
        expect_that!(*node.engine.cancels.borrow(), elements_are![eq("e1")]);
    });
}

#[gtest]
fn a_deadline_exceeded_before_the_engine_responds_reports_maybe_ran() {
    run(async {
        let node = Node::new(1);
        node.engine.script("s0", [Script::SilentAtCall]);
        let mut submit = request("r1");
        submit.budget_ms = 300;
        let refused = node
            .submit(submit)
            .full_answer()
            .await
            .refused
            .expect("a refusal");
        expect_that!(refused.ran(), eq(Ran::Maybe));
    });
}

#[gtest]
fn an_answer_with_missing_tokens_is_retried() {
    run(async {
        let node = Node::new(1);
        let short = vec![Step::Accept, Step::Tokens(TOKENS - 1), Step::Finish];
        node.engine.script("s0", [Script::Steps(short)]);
        let answer = node.submit(request("r1")).full_answer().await;
        expect_that!(answer.text(), eq(&full_text()));
        expect_that!(node.engine.calls.borrow().len(), eq(2));
    });
}

#[gtest]
fn the_owner_stage_bounces_requests_without_an_owned_server() {
    run(async {
        let node = Node::new(0);
        let mut submit = request("r1");
        submit.stage = Stage::Owner as i32;
        let refused = node
            .submit(submit)
            .full_answer()
            .await
            .refused
            .expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::Bounced as u32));
        expect_that!(refused.ran(), eq(Ran::No));
        expect_that!(refused.load.is_some(), is_true());
    });
}
