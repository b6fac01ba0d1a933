//! At-most-once requests do not run twice when engines, the store or callers fail.

mod support;

use std::time::Duration;

use dappleyard_settings::OnlineSettings;
use dappleyard_store::{Fault, MemoryPlatform, TableStore, Transaction};
use dappleyard_wire::messages::{Member, MemberState, OncePhase, OnceRow, frame};
use dappleyard_wire::{ErrorKind, Ran, keys};
use googletest::prelude::*;
use prost::Message;
use support::*;

#[gtest]
fn a_resend_gets_the_recorded_answer_without_a_second_run() {
    run(async {
        let node = Node::new(1);
        let first = node
            .submit(at_most_once_request("r1", "key-1"))
            .full_answer()
            .await;
        expect_that!(first.text(), eq(&full_text()));
        tokio::time::sleep(Duration::from_millis(10)).await;
        let second = node
            .submit(at_most_once_request("r2", "key-1"))
            .full_answer()
            .await;
        expect_that!(second.text(), eq(&full_text()));
        expect_that!(second.finish.expect("a finish").replayed, is_true());
        expect_that!(node.engine.calls.borrow().len(), eq(1));
    });
}

#[gtest]
fn a_resend_during_the_run_is_refused_with_a_retry_delay() {
    run(async {
        let node = Node::new(1);
        let stalled = vec![Step::Accept, Step::Tokens(2), Step::Hang];
        node.engine.script("s0", [Script::Steps(stalled)]);
        let mut first = node.submit(at_most_once_request("r1", "key-1"));
        first.read_tokens(2).await;
        let refused = node
            .submit(at_most_once_request("r2", "key-1"))
            .full_answer()
            .await
            .refused;
        let refused = refused.expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::InProgress as u32));
        expect_that!(refused.ran(), eq(Ran::Maybe));
        expect_that!(refused.retry_after_ms, gt(0));
        expect_that!(node.engine.calls.borrow().len(), eq(1));
    });
}

#[gtest]
fn a_key_used_for_another_request_is_refused() {
    run(async {
        let node = Node::new(1);
        node.submit(at_most_once_request("r1", "key-1"))
            .full_answer()
            .await;
        tokio::time::sleep(Duration::from_millis(10)).await;
        let mut other = at_most_once_request("r2", "key-1");
        other.request.as_mut().expect("a request").prompt = "another prompt".to_owned();
        let refused = node
            .submit(other)
            .full_answer()
            .await
            .refused
            .expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::KeyReused as u32));
        expect_that!(refused.ran(), eq(Ran::No));
    });
}

#[gtest]
fn a_lost_call_is_reattached_after_acceptance_but_never_run_again() {
    run(async {
        let node = Node::new(3);
        let broken = || Script::Steps(vec![Step::Accept, Step::Tokens(1), Step::Lose]);
        for server in ["s0", "s1", "s2"] {
            node.engine.script(server, [broken(), Script::Unreachable]);
        }
        let refused = node
            .submit(at_most_once_request("r1", "key-1"))
            .full_answer()
            .await
            .refused;
        let refused = refused.expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::OutcomeUnknown as u32));
        expect_that!(refused.ran(), eq(Ran::Yes));
        let calls = node.engine.calls.borrow().clone();
        expect_that!(
            calls.iter().filter(|(_, call)| !call.attach_only).count(),
            eq(1)
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
        let again = node
            .submit(at_most_once_request("r2", "key-1"))
            .full_answer()
            .await
            .refused;
        expect_that!(
            again.expect("a refusal").kind,
            eq(ErrorKind::OutcomeUnknown as u32)
        );
        expect_that!(node.engine.calls.borrow().len(), eq(calls.len()));
    });
}

#[gtest]
fn a_call_lost_before_its_response_is_not_repeated() {
    run(async {
        let node = Node::new(2);
        for server in ["s0", "s1"] {
            node.engine.script(server, [Script::LostAtCall]);
        }
        let refused = node
            .submit(at_most_once_request("r1", "key-1"))
            .full_answer()
            .await
            .refused;
        let refused = refused.expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::OutcomeUnknown as u32));
        expect_that!(refused.ran(), eq(Ran::Maybe));
        expect_that!(node.engine.calls.borrow().len(), eq(1));
    });
}

#[gtest]
fn a_key_is_released_when_nothing_ran() {
    run(async {
        let node = Node::new(1);
        node.engine.script("s0", [Script::Refuse(429)]);
        let refused = node
            .submit(at_most_once_request("r1", "key-1"))
            .full_answer()
            .await
            .refused;
        expect_that!(refused.expect("a refusal").ran(), eq(Ran::No));
        tokio::time::sleep(Duration::from_millis(10)).await;
        let record = node.record("key-1").expect("a record");
        expect_that!(record.phase(), eq(OncePhase::OnceReleased));
        let answer = node
            .submit(at_most_once_request("r2", "key-1"))
            .full_answer()
            .await;
        expect_that!(answer.text(), eq(&full_text()));
    });
}

#[gtest]
fn an_ambiguous_store_write_is_read_back() {
    for fault in [Fault::LostAfterEffect, Fault::LostBeforeEffect] {
        run(async move {
            let node = Node::new(1);
            node.platform.fail_transactions([Some(fault)]);
            let answer = node
                .submit(at_most_once_request("r1", "key-1"))
                .full_answer()
                .await;
            expect_that!(answer.text(), eq(&full_text()), "after {fault:?}");
            expect_that!(node.engine.calls.borrow().len(), eq(1));
        });
    }
}

#[gtest]
fn an_unavailable_store_refuses_before_dispatch() {
    run(async {
        let node = Node::new(1);
        node.platform.set_down(true);
        let refused = node
            .submit(at_most_once_request("r1", "key-1"))
            .full_answer()
            .await
            .refused;
        let refused = refused.expect("a refusal");
        expect_that!(refused.kind, eq(ErrorKind::StoreUnavailable as u32));
        expect_that!(refused.ran(), eq(Ran::No));
        expect_that!(*node.engine.calls.borrow(), is_empty());
        node.platform.set_down(false);
        let answer = node
            .submit(at_most_once_request("r1", "key-1"))
            .full_answer()
            .await;
        expect_that!(answer.text(), eq(&full_text()));
    });
}

#[gtest]
fn an_unconfirmed_create_is_released() {
    run(async {
        let node = Node::new(1);
        node.platform
            .fail_transactions([Some(Fault::LostAfterEffect)]);
        let platform = node.platform.clone();
        tokio::task::spawn_local(async move {
            tokio::task::yield_now().await;
            platform.set_down(true);
            tokio::time::sleep(Duration::from_secs(3)).await;
            platform.set_down(false);
        });
        let refused = node
            .submit(at_most_once_request("r1", "key-1"))
            .full_answer()
            .await
            .refused;
        if let Some(refused) = refused {
            expect_that!(refused.kind, eq(ErrorKind::StoreUnavailable as u32));
            expect_that!(refused.ran(), eq(Ran::No));
            expect_that!(*node.engine.calls.borrow(), is_empty());
        }
        tokio::time::sleep(Duration::from_secs(8)).await;
        let runs_before = node.engine.calls.borrow().len();
        let answer = node
            .submit(at_most_once_request("r2", "key-1"))
            .full_answer()
            .await;
        expect_that!(answer.text(), eq(&full_text()));
        expect_that!(
            node.engine.calls.borrow().len() + runs_before,
            le(1 + 2 * runs_before)
        );
    });
}

#[gtest]
fn a_pending_settlement_counts_as_an_active_stream() {
    run(async {
        let node = Node::new(1);
        let stalled = vec![Step::Accept, Step::Tokens(TOKENS), Step::Finish];
        node.engine.script("s0", [Script::Steps(stalled)]);
        let mut client = node.submit(at_most_once_request("r1", "key-1"));
        client.read_tokens(2).await;
        node.platform.set_down(true);
        let answer = client.full_answer().await;
        expect_that!(answer.finish.is_some(), is_true());
        tokio::time::sleep(Duration::from_secs(5)).await;
        expect_that!(node.shared.active_streams(), eq(1));
        node.platform.set_down(false);
        tokio::time::sleep(Duration::from_secs(5)).await;
        expect_that!(node.shared.active_streams(), eq(0));
        let record = node.record("key-1").expect("a record");
        expect_that!(record.phase(), eq(OncePhase::OnceSettled));
    });
}

#[gtest]
fn a_record_of_a_dead_node_settles_as_unknown_and_never_runs() {
    run(async {
        let platform = MemoryPlatform::default();
        let node = Node::with(1, OnlineSettings::default(), platform.clone());
        let answer = node
            .submit(at_most_once_request("r0", "key-0"))
            .full_answer()
            .await;
        expect_that!(answer.finish.is_some(), is_true());
        tokio::time::sleep(Duration::from_millis(10)).await;
        let mut lost: OnceRow = node.record("key-0").expect("a record");
        lost.set_phase(OncePhase::OnceStarted);
        lost.outcome = None;
        lost.writer = "n9|65536|token".to_owned();
        lost.created_unix_ms -= 60_000;
        let key = keys::once("tenant-a", "key-1");
        let write = Transaction::default().put(key, lost.encode_to_vec());
        platform.transact(write).await.expect("a write");
        for _ in 0..2 {
            let refused = node
                .submit(at_most_once_request("r2", "key-1"))
                .full_answer()
                .await
                .refused;
            let refused = refused.expect("a refusal");
            expect_that!(refused.kind, eq(ErrorKind::OutcomeUnknown as u32));
            expect_that!(refused.ran(), eq(Ran::Maybe));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let record = node.record("key-1").expect("a record");
        expect_that!(record.phase(), eq(OncePhase::OnceSettled));
        expect_that!(node.engine.calls.borrow().len(), eq(1));
    });
}

#[gtest]
fn a_request_completes_and_is_recorded_after_its_caller_disconnects() {
    run(async {
        let node = Node::new(1);
        let mut client = node.submit(at_most_once_request("r1", "key-1"));
        client.read_tokens(1).await;
        client.send(frame::Body::Cancel(Default::default()));
        drop(client);
        tokio::time::sleep(Duration::from_millis(200)).await;
        let answer = node
            .submit(at_most_once_request("r2", "key-1"))
            .full_answer()
            .await;
        expect_that!(answer.text(), eq(&full_text()));
        expect_that!(node.engine.calls.borrow().len(), eq(1));
    });
}

#[gtest]
fn many_keys_share_transactions() {
    run(async {
        let node = Node::new(4);
        let mut clients: Vec<Client> = (0..40)
            .map(|index| {
                node.submit(at_most_once_request(
                    &format!("r{index}"),
                    &format!("key-{index}"),
                ))
            })
            .collect();
        for client in &mut clients {
            expect_that!(client.full_answer().await.text(), eq(&full_text()));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        expect_that!(node.platform.rows("once/").len(), eq(40));
        expect_that!(node.platform.transactions(), lt(20));
    });
}

/// Stores a started record written by another node.
async fn put_running(node: &Node, key: &str, writer: &str, age_ms: u64) {
    let answer = node
        .submit(at_most_once_request("r0", "key-0"))
        .full_answer()
        .await;
    assert!(answer.finish.is_some());
    tokio::time::sleep(Duration::from_millis(10)).await;
    let mut row: OnceRow = node.record("key-0").expect("a record");
    row.set_phase(OncePhase::OnceStarted);
    row.outcome = None;
    row.writer = writer.to_owned();
    row.created_unix_ms -= age_ms;
    let write = Transaction::default().put(keys::once("tenant-a", key), row.encode_to_vec());
    node.platform.transact(write).await.expect("a write");
}

#[gtest]
fn a_record_of_a_newly_started_node_is_in_progress() {
    run(async {
        let node = Node::new(1);
        let before = Member {
            node: "n9".to_owned(),
            incarnation: 5 << 16,
            state: MemberState::MemberLeft as i32,
            ..Member::default()
        };
        node.tables.members.put(before);
        let restarted = format!("n9|{}|token", 6_u64 << 16);
        put_running(&node, "key-1", &restarted, 60_000).await;
        put_running(&node, "key-2", "n8|65536|token", 100).await;
        for key in ["key-1", "key-2"] {
            let refused = node
                .submit(at_most_once_request("r1", key))
                .full_answer()
                .await
                .refused;
            let refused = refused.expect("a refusal");
            expect_that!(refused.kind, eq(ErrorKind::InProgress as u32));
        }
    });
}
