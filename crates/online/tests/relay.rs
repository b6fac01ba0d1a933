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
fn a_request_gets_its_whole_answer() {
    run(async {
        let node = Node::new(2);
        let answer = node.submit(request("r1")).whole().await;
        expect_that!(answer.text(), eq(&whole_text()));
        let finish = answer.finish.expect("a finish");
        expect_that!(finish.total_tokens, eq(TOKENS));
        expect_that!(finish.replayed, is_false());
        expect_that!(node.online_in_flight(), eq(0));
        tokio::task::yield_now().await;
        expect_that!(node.shared.active_streams(), eq(0));
    });
}

#[gtest]
fn requests_of_one_session_meet_one_server() {
    run(async {
        let node = Node::new(8);
        for index in 0..10 {
            node.submit(request(&format!("r{index}"))).whole().await;
        }
        let mut servers = node.engine.servers_called();
        servers.dedup();
        expect_that!(servers, len(eq(1)));
    });
}

#[gtest]
fn a_stream_whose_connection_is_lost_is_attached_to_again() {
    run(async {
        let node = Node::new(1);
        let cut = vec![Step::Accept, Step::Tokens(2), Step::Lose];
        node.engine.script("s0", [Script::Steps(cut)]);
        let answer = node.submit(request("r1")).whole().await;
        expect_that!(answer.text(), eq(&whole_text()));
        let calls = node.engine.calls.borrow();
        expect_that!(calls[1].1.attach_stream, eq("e1"));
        expect_that!(calls[1].1.resume_offset, eq(2));
    });
}

#[gtest]
fn an_engine_lost_in_the_middle_is_followed_by_another_of_the_same_version() {
    run(async {
        let node = Node::new(3);
        node.report("s2", "v2");
        for server in ["s0", "s1"] {
            let cut = vec![Step::Accept, Step::Tokens(3), Step::Lose];
            node.engine
                .script(server, [Script::Steps(cut), Script::Unreachable]);
        }
        for server in ["s0", "s1"] {
            node.engine.script(server, [Script::whole()]);
        }
        node.tables
            .servers
            .with(&"s2".into(), |state| state.withdrawn = None);
        let mut submit = request("r1");
        submit.version = VERSION.to_owned();
        let answer = node.submit(submit).whole().await;
        let called = node.engine.servers_called();
        expect_that!(called, not(contains(eq("s2"))));
        expect_that!(called, contains(eq("s0")));
        expect_that!(called, contains(eq("s1")));
        if answer.finish.is_some() {
            expect_that!(answer.text(), eq(&whole_text()));
        } else {
            let refused = answer.refused.expect("a refusal");
            expect_that!(refused.ran(), eq(Ran::Yes));
        }
        expect_that!(node.online_in_flight(), eq(0));
    });
}

#[gtest]
fn an_engine_that_was_not_reached_costs_nothing_but_another_choice() {
    run(async {
        let node = Node::new(2);
        node.engine.script("s0", [Script::Unreachable]);
        node.engine.script("s1", [Script::Unreachable]);
        let answer = node.submit(request("r1")).whole().await;
        let refused = answer.refused.expect("a refusal");
        expect_that!(refused.ran(), eq(Ran::No));
        expect_that!(node.engine.calls.borrow().len(), eq(2));
        let answer = node.submit(request("r2")).whole().await;
        expect_that!(answer.text(), eq(&whole_text()));
    });
}

#[gtest]
fn a_cancel_reaches_the_engine_at_once() {
    run(async {
        let node = Node::new(1);
        let slow = vec![Step::Accept, Step::Tokens(2), Step::Hang];
        node.engine.script("s0", [Script::Steps(slow)]);
        let mut client = node.submit(request("r1"));
        client.read_tokens(2).await;
        client.send(cancel());
        let refused = client.whole().await.refused.expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::Cancelled as u32));
        expect_that!(refused.ran(), eq(Ran::Yes));
        tokio::time::sleep(Duration::from_millis(1)).await;
        expect_that!(*node.engine.cancels.borrow(), elements_are![eq("e1")]);
        expect_that!(node.online_in_flight(), eq(0));
    });
}

#[gtest]
fn a_caller_that_comes_back_in_time_goes_on_with_the_same_stream() {
    run(async {
        let node = Node::new(1);
        let slow = vec![Step::Accept, Step::Tokens(2), Step::Hang];
        node.engine.script("s0", [Script::Steps(slow)]);
        let mut first = node.submit(request("r1"));
        let begun = first.read_tokens(2).await;
        drop(first);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let mut again = request("r1");
        again.attempt = 2;
        again.resume_offset = 2;
        again.resumed_pieces = begun.pieces.clone();
        again.version = VERSION.to_owned();
        again.engine_stream = begun.accepted[0].engine_stream.clone();
        again.server = begun.accepted[0].server.clone();
        again.ran_before = Ran::Yes as i32;
        let answer = node.submit(again).whole().await;
        expect_that!(answer.text(), eq(&whole_text()));
        tokio::time::sleep(Duration::from_secs(10)).await;
        expect_that!(*node.engine.cancels.borrow(), is_empty());
        expect_that!(node.shared.active_streams(), eq(0));
    });
}

#[gtest]
fn a_caller_that_does_not_come_back_is_given_up_after_the_grace() {
    run(async {
        let node = Node::new(1);
        let slow = vec![Step::Accept, Step::Tokens(2), Step::Hang];
        node.engine.script("s0", [Script::Steps(slow)]);
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
fn a_passed_deadline_gets_its_final_answer_at_once_and_cancels_the_engine() {
    run(async {
        let node = Node::new(1);
        node.engine
            .script("s0", [Script::Steps(vec![Step::Accept, Step::Hang])]);
        let mut submit = request("r1");
        submit.budget_ms = 300;
        let started = dappleyard_clock::Instant::now();
        let refused = node
            .submit(submit)
            .whole()
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
fn a_deadline_that_passes_while_the_engine_is_silent_says_maybe() {
    run(async {
        let node = Node::new(1);
        node.engine.script("s0", [Script::SilentAtCall]);
        let mut submit = request("r1");
        submit.budget_ms = 300;
        let refused = node
            .submit(submit)
            .whole()
            .await
            .refused
            .expect("a refusal");
        expect_that!(refused.ran(), eq(Ran::Maybe));
    });
}

#[gtest]
fn an_answer_with_missing_tokens_is_not_finished() {
    run(async {
        let node = Node::new(1);
        let short = vec![Step::Accept, Step::Tokens(TOKENS - 1), Step::Finish];
        node.engine.script("s0", [Script::Steps(short)]);
        let answer = node.submit(request("r1")).whole().await;
        expect_that!(answer.text(), eq(&whole_text()));
        expect_that!(node.engine.calls.borrow().len(), eq(2));
    });
}

#[gtest]
fn the_owner_stage_alone_refuses_what_it_does_not_own() {
    run(async {
        let node = Node::new(0);
        let mut submit = request("r1");
        submit.stage = Stage::Owner as i32;
        let refused = node
            .submit(submit)
            .whole()
            .await
            .refused
            .expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::Bounced as u32));
        expect_that!(refused.ran(), eq(Ran::No));
        expect_that!(refused.load.is_some(), is_true());
    });
}
