//! Requests that crash the engines they run on.

mod support;

use dappleyard_wire::ErrorKind;
use dappleyard_wire::messages::Submit;
use googletest::prelude::*;
use support::engine::Script;
use support::*;

/// Number of engines that one request may crash.
const MAXIMUM_CRASHED_SERVERS: usize = 3;
const SERVERS: usize = 8;

fn other_request(id: &str) -> Submit {
    let mut submit = request(id);
    submit.request.as_mut().expect("a request").prompt = "another prompt".to_owned();
    submit
}

#[gtest]
fn retries_of_a_crashing_request_are_limited() {
    run(async {
        let node = Node::new(SERVERS);
        for server in 0..SERVERS {
            node.engine.script(&format!("s{server}"), [Script::Crash]);
        }
        let mut last = None;
        for attempt in 0..4 {
            let answer = node
                .submit(request(&format!("r{attempt}")))
                .full_answer()
                .await;
            last = answer.refused;
        }
        expect_that!(
            node.engine.crashed.borrow().len(),
            eq(MAXIMUM_CRASHED_SERVERS)
        );
        let refused = last.expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::ServersEnded as u32));
        expect_that!(refused.retry_after_ms, eq(0));
    });
}

#[gtest]
fn at_most_once_requests_share_the_crash_limit() {
    run(async {
        let node = Node::new(SERVERS);
        for server in 0..SERVERS {
            node.engine.script(&format!("s{server}"), [Script::Crash]);
        }
        // Each submission has a new key, so the caller requests another run.
        for attempt in 0..5 {
            let id = format!("r{attempt}");
            node.submit(at_most_once_request(&id, &id))
                .full_answer()
                .await;
        }
        expect_that!(
            node.engine.crashed.borrow().len(),
            eq(MAXIMUM_CRASHED_SERVERS)
        );
    });
}

#[gtest]
fn unrelated_crashes_do_not_refuse_requests() {
    run(async {
        let node = Node::new(SERVERS);
        // Two engines crash for unrelated reasons while running the same request.
        for server in 0..2 {
            node.engine.script(&format!("s{server}"), [Script::Crash]);
        }
        for number in 0..20 {
            let id = format!("r{number}");
            let submit = match number % 2 {
                0 => request(&id),
                _ => other_request(&id),
            };
            let answer = node.submit(submit).full_answer().await;
            expect_that!(answer.finish.is_some(), eq(true), "{id}");
        }
    });
}

/// A request with a prompt of its own that begins with the prefix of all others.
fn request_with_shared_prefix(number: usize) -> Submit {
    let mut submit = request(&format!("r{number}"));
    let inner = submit.request.as_mut().expect("a request");
    inner.prompt = format!("a shared prefix, then question {number}");
    inner.prefix_hash = 7;
    inner.prefix_tokens = inner.prompt_tokens / 2;
    submit
}

// Guards against counting crashes by whole prompts only: callers vary what follows the shared prefix.
#[gtest]
fn prompts_with_a_shared_prefix_share_the_crash_limit() {
    run(async {
        let node = Node::new(SERVERS);
        for server in 0..SERVERS {
            node.engine.script(&format!("s{server}"), [Script::Crash]);
        }
        let mut last = None;
        for number in 0..6 {
            let submit = request_with_shared_prefix(number);
            last = node.submit(submit).full_answer().await.refused;
        }
        expect_that!(
            node.engine.crashed.borrow().len(),
            eq(MAXIMUM_CRASHED_SERVERS)
        );
        let refused = last.expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::ServersEnded as u32));
    });
}
