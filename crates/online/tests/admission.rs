//! Refusals before dispatch, and servers that stop accepting work.

mod support;

use dappleyard_settings::OnlineSettings;
use dappleyard_store::MemoryPlatform;
use dappleyard_tables::Lifecycle;
use dappleyard_tables::decisions::{DecisionKind, Subject};
use dappleyard_wire::messages::{Refused, TenantRow};
use dappleyard_wire::{ErrorKind, Ran};
use googletest::prelude::*;
use support::*;

fn expect_not_run(refused: &Refused, kind: ErrorKind) {
    expect_that!(ErrorKind::from_number(refused.kind), eq(kind));
    expect_that!(refused.ran(), eq(Ran::No));
}

#[gtest]
fn a_draining_node_refuses_new_requests_but_finishes_running_ones() {
    run(async {
        let node = Node::new(1);
        let mut running = node.submit(request("r1"));
        running.read_tokens(1).await;
        node.tables.lifecycle.send_replace(Lifecycle::Draining);
        let refused = node
            .submit(request("r2"))
            .full_answer()
            .await
            .refused
            .expect("a refusal");
        expect_not_run(&refused, ErrorKind::NotReady);
        expect_that!(running.full_answer().await.finish.is_some(), is_true());
    });
}

#[gtest]
fn an_unknown_service_and_a_passed_deadline_are_refused() {
    run(async {
        let node = Node::new(1);
        let mut unknown = request("r1");
        unknown.request.as_mut().expect("a request").service = "nobody".to_owned();
        let refused = node
            .submit(unknown)
            .full_answer()
            .await
            .refused
            .expect("a refusal");
        expect_not_run(&refused, ErrorKind::UnknownModel);
        let mut late = request("r2");
        late.budget_ms = 0;
        let refused = node
            .submit(late)
            .full_answer()
            .await
            .refused
            .expect("a refusal");
        expect_not_run(&refused, ErrorKind::DeadlineExceeded);
    });
}

#[gtest]
fn tenant_rate_refusals_suggest_a_retry_delay() {
    run(async {
        let node = Node::new(1);
        let row = TenantRow {
            name: "tenant-a".to_owned(),
            requests_per_s: 2.0,
            requests_burst: 2.0,
            ..Default::default()
        };
        node.configure(vec![tenant_row(row)]);
        for index in 0..2 {
            let answer = node
                .submit(request(&format!("r{index}")))
                .full_answer()
                .await;
            expect_that!(answer.finish.is_some(), is_true());
        }
        let refused = node
            .submit(request("r3"))
            .full_answer()
            .await
            .refused
            .expect("a refusal");
        expect_not_run(&refused, ErrorKind::TenantRate);
        expect_that!(refused.retry_after_ms, all![gt(0), le(500)]);
    });
}

#[gtest]
fn concurrent_tokens_are_released() {
    run(async {
        let node = Node::new(1);
        let row = TenantRow {
            name: "tenant-a".to_owned(),
            concurrent_tokens: 150,
            ..Default::default()
        };
        node.configure(vec![tenant_row(row)]);
        let mut first = node.submit(request("r1"));
        first.read_tokens(1).await;
        let refused = node
            .submit(request("r2"))
            .full_answer()
            .await
            .refused
            .expect("a refusal");
        expect_not_run(&refused, ErrorKind::TenantConcurrency);
        first.full_answer().await;
        tokio::task::yield_now().await;
        let answer = node.submit(request("r3")).full_answer().await;
        expect_that!(answer.finish.is_some(), is_true());
    });
}

#[gtest]
fn a_node_at_its_stream_limit_refuses_requests() {
    run(async {
        let settings = OnlineSettings {
            maximum_streams: 1,
            ..OnlineSettings::default()
        };
        let node = Node::with(1, settings, MemoryPlatform::default());
        let mut first = node.submit(request("r1"));
        first.read_tokens(1).await;
        let refused = node
            .submit(request("r2"))
            .full_answer()
            .await
            .refused
            .expect("a refusal");
        expect_not_run(&refused, ErrorKind::Overloaded);
        expect_that!(refused.retry_after_ms, gt(0));
    });
}

#[gtest]
fn a_long_queue_refuses_before_dispatch() {
    run(async {
        let node = Node::new(1);
        node.tables
            .servers
            .with(&"s0".into(), |state| state.foreign_online = 2_000);
        let refused = node
            .submit(request("r1"))
            .full_answer()
            .await
            .refused
            .expect("a refusal");
        expect_not_run(&refused, ErrorKind::Overloaded);
        expect_that!(refused.retry_after_ms, gt(0));
        expect_that!(*node.engine.calls.borrow(), is_empty());
        let subject = Subject::Request("r1".to_owned());
        let records = node.tables.decisions.about(&subject);
        expect_that!(
            records.iter().any(|one| one.kind == DecisionKind::Refused),
            is_true()
        );
    });
}

#[gtest]
fn draining_servers_get_no_new_work() {
    run(async {
        for reason in [
            "machine list",
            "report",
            "server drain",
            "hall drain",
            "zone drain",
        ] {
            let node = Node::new(1);
            match reason {
                "machine list" => {
                    node.tables
                        .servers
                        .with(&"s0".into(), |state| state.entry.leaving = true);
                }
                "report" => {
                    let now = node.tables.clock.now();
                    let withdrawn = Some(("leaving".to_owned(), now));
                    node.tables
                        .servers
                        .with(&"s0".into(), |state| state.withdrawn = withdrawn);
                }
                "server drain" => node.configure(vec![drain_row("server", "s0")]),
                "hall drain" => node.configure(vec![drain_row("hall", "hall-a")]),
                _ => node.configure(vec![drain_row("zone", "zone-a")]),
            }
            let refused = node.submit(request("r1")).full_answer().await.refused;
            let refused = refused.expect("a refusal");
            expect_that!(refused.ran(), eq(Ran::No), "with {reason}");
            expect_that!(*node.engine.calls.borrow(), is_empty(), "with {reason}");
        }
    });
}

#[gtest]
fn stale_engine_status_is_refreshed_before_dispatch() {
    run(async {
        let node = Node::new(2);
        for server in ["s0", "s1"] {
            node.tables
                .servers
                .with(&server.into(), |state| state.accepting_known_at.0 -= 2_500);
        }
        let preferred = {
            let answer = node.submit(request("r1")).full_answer().await;
            answer.accepted[0].server.clone()
        };
        expect_that!(node.engine.statuses.get(), eq(1));
        node.tables
            .servers
            .with(&preferred.as_str().into(), |state| {
                state.accepting_known_at.0 -= 2_500
            });
        node.engine.draining.borrow_mut().push(preferred.clone());
        let answer = node.submit(request("r2")).full_answer().await;
        expect_that!(answer.accepted[0].server, not(eq(&preferred)));
        expect_that!(answer.text(), eq(&full_text()));
    });
}

#[gtest]
fn a_draining_engine_gets_no_calls_after_its_refusal() {
    run(async {
        let node = Node::new(2);
        let preferred = node.submit(request("r0")).full_answer().await.accepted[0]
            .server
            .clone();
        node.engine.script(&preferred, [Script::Refuse(503)]);
        for index in 1..4 {
            let answer = node
                .submit(request(&format!("r{index}")))
                .full_answer()
                .await;
            expect_that!(answer.text(), eq(&full_text()));
        }
        let called = node.engine.servers_called();
        expect_that!(
            called.iter().filter(|server| **server == preferred).count(),
            eq(2)
        );
    });
}
