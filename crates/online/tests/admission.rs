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
fn a_node_that_is_not_ready_refuses_but_finishes_what_it_has() {
    run(async {
        let node = Node::new(1);
        let mut running = node.submit(request("r1"));
        running.read_tokens(1).await;
        node.tables.lifecycle.send_replace(Lifecycle::Draining);
        let refused = node
            .submit(request("r2"))
            .whole()
            .await
            .refused
            .expect("a refusal");
        expect_not_run(&refused, ErrorKind::NotReady);
        expect_that!(running.whole().await.finish.is_some(), is_true());
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
            .whole()
            .await
            .refused
            .expect("a refusal");
        expect_not_run(&refused, ErrorKind::UnknownModel);
        let mut late = request("r2");
        late.budget_ms = 0;
        let refused = node.submit(late).whole().await.refused.expect("a refusal");
        expect_not_run(&refused, ErrorKind::DeadlineExceeded);
    });
}

#[gtest]
fn tenant_limits_say_when_to_come_back() {
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
            let answer = node.submit(request(&format!("r{index}"))).whole().await;
            expect_that!(answer.finish.is_some(), is_true());
        }
        let refused = node
            .submit(request("r3"))
            .whole()
            .await
            .refused
            .expect("a refusal");
        expect_not_run(&refused, ErrorKind::TenantRate);
        expect_that!(refused.retry_after_ms, all![gt(0), le(500)]);
    });
}

#[gtest]
fn concurrent_tokens_are_given_back() {
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
            .whole()
            .await
            .refused
            .expect("a refusal");
        expect_not_run(&refused, ErrorKind::TenantConcurrency);
        first.whole().await;
        tokio::task::yield_now().await;
        let answer = node.submit(request("r3")).whole().await;
        expect_that!(answer.finish.is_some(), is_true());
    });
}

#[gtest]
fn a_full_node_and_a_long_queue_refuse_at_once() {
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
            .whole()
            .await
            .refused
            .expect("a refusal");
        expect_not_run(&refused, ErrorKind::Overloaded);
        expect_that!(refused.retry_after_ms, gt(0));
    });
}

#[gtest]
fn a_long_queue_refuses_before_anything_is_asked() {
    run(async {
        let node = Node::new(1);
        node.tables
            .servers
            .with(&"s0".into(), |state| state.foreign_online = 2_000);
        let refused = node
            .submit(request("r1"))
            .whole()
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
fn each_sign_of_leaving_keeps_new_work_away() {
    run(async {
        for sign in [
            "machine list",
            "report",
            "server drain",
            "hall drain",
            "zone drain",
        ] {
            let node = Node::new(1);
            match sign {
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
            let refused = node.submit(request("r1")).whole().await.refused;
            let refused = refused.expect("a refusal");
            expect_that!(refused.ran(), eq(Ran::No), "with {sign}");
            expect_that!(*node.engine.calls.borrow(), is_empty(), "with {sign}");
        }
    });
}

#[gtest]
fn an_engine_is_asked_before_dispatch_when_its_last_word_is_old() {
    run(async {
        let node = Node::new(2);
        for server in ["s0", "s1"] {
            node.tables
                .servers
                .with(&server.into(), |state| state.accepting_known_at.0 -= 2_500);
        }
        let home = {
            let answer = node.submit(request("r1")).whole().await;
            answer.accepted[0].server.clone()
        };
        expect_that!(node.engine.statuses.get(), eq(1));
        node.tables.servers.with(&home.as_str().into(), |state| {
            state.accepting_known_at.0 -= 2_500
        });
        node.engine.leaving.borrow_mut().push(home.clone());
        let answer = node.submit(request("r2")).whole().await;
        expect_that!(answer.accepted[0].server, not(eq(&home)));
        expect_that!(answer.text(), eq(&whole_text()));
    });
}

#[gtest]
fn an_engine_that_refuses_because_it_leaves_gets_nothing_more() {
    run(async {
        let node = Node::new(2);
        let home = node.submit(request("r0")).whole().await.accepted[0]
            .server
            .clone();
        node.engine.script(&home, [Script::Refuse(503)]);
        for index in 1..4 {
            let answer = node.submit(request(&format!("r{index}"))).whole().await;
            expect_that!(answer.text(), eq(&whole_text()));
        }
        let called = node.engine.servers_called();
        expect_that!(
            called.iter().filter(|server| **server == home).count(),
            eq(2)
        );
    });
}
