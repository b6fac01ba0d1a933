//! Explanations, the journal and the admin API over HTTP.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use actix_web::{App, test};
use dappleyard_operate::api::bodies::{ErrorBody, ProposeBody};
use dappleyard_operate::explain::{Explanation, SubjectRef, explain};
use dappleyard_operate::journal::{Journal, remove_older, search};
use dappleyard_operate::peers::Peers;
use dappleyard_operate::plans::PlanDocument;
use dappleyard_operate::status::FleetStatus;
use dappleyard_operate::{OperateApi, configure};
use dappleyard_settings::OperateSettings;
use dappleyard_store::{Fault, MemoryPlatform};
use dappleyard_tables::NodeTables;
use dappleyard_tables::decisions::{Decision, DecisionKind, Subject};
use dappleyard_wire::messages::{Member, MemberState};
use googletest::prelude::*;
use support::{drain, entry, platform, rollout};

fn record_decision(tables: &NodeTables, unix_ms: u64, cause: &str) {
    tables.decisions.record(Decision {
        unix_ms,
        node: tables.identity.node.to_string(),
        kind: DecisionKind::Withdrawn,
        subjects: vec![Subject::Server("s0".to_owned())],
        cause: cause.to_owned(),
        inputs: vec![("failures in a row".to_owned(), "3".to_owned())],
        outcome: "it gets nothing new".to_owned(),
    });
}

fn serve(tables: &Arc<NodeTables>, store: &MemoryPlatform) -> admin_server::Server {
    admin_server::start(tables.clone(), store.clone())
}

/// Admin server on a free port.
mod admin_server {
    use super::*;
    use actix_web::HttpServer;

    pub struct Server {
        pub address: String,
        handle: actix_web::dev::ServerHandle,
    }

    impl Server {
        pub async fn stop(self) {
            self.handle.stop(false).await;
        }
    }

    pub fn start(tables: Arc<NodeTables>, store: MemoryPlatform) -> Server {
        let server = HttpServer::new(move || {
            let tables = tables.clone();
            let platform = store.platform();
            App::new().configure(|service| {
                configure(
                    service,
                    OperateApi::new(tables, OperateSettings::default(), platform),
                );
            })
        })
        .workers(1)
        .disable_signals()
        .bind(("127.0.0.1", 0))
        .expect("a free port");
        let address = server.addrs()[0].to_string();
        let running = server.run();
        let handle = running.handle();
        actix_web::rt::spawn(running);
        Server { address, handle }
    }
}

fn member(node: &str, admin_address: &str) -> Member {
    let mut member = Member {
        node: node.to_owned(),
        zone: "howrah".to_owned(),
        region: "bengal".to_owned(),
        admin_address: admin_address.to_owned(),
        ..Member::default()
    };
    member.set_state(MemberState::MemberAlive);
    member
}

#[gtest]
#[actix_web::test]
async fn an_explanation_combines_local_peer_and_journal_records() -> Result<()> {
    let store = platform().await;
    let lost = support::tables("node-3", 1);
    record_decision(&lost, 1_000, "the owner before saw it fail");
    let mut journal = Journal::new(lost, 8);
    journal.flush(&store).await.or_fail()?;
    let peer = support::tables("node-2", 1);
    record_decision(&peer, 2_000, "the engine does not answer");
    let server = serve(&peer, &store);
    let own_tables = support::tables("node-1", 1);
    record_decision(&own_tables, 3_000, "a drain is in force");
    own_tables.members.put(member("node-2", &server.address));
    own_tables.members.put(member("node-4", "127.0.0.1:1"));
    let peers = Peers::new(own_tables.clone(), 1_000);
    let subject_ref = SubjectRef::parse("server", "s0").or_fail()?;
    let explanation = explain(&own_tables, &store.platform(), &peers, &subject_ref).await;
    let causes: Vec<&str> = explanation
        .events
        .iter()
        .map(|event| event.words.as_str())
        .collect();
    expect_that!(
        causes,
        elements_are![
            contains_substring("the owner before saw it fail"),
            contains_substring("the engine does not answer"),
            contains_substring("a drain is in force"),
        ]
    );
    expect_that!(
        explanation.answer,
        contains_substring("node-1 stopped new work since a drain")
    );
    expect_that!(
        explanation.unknown,
        elements_are![contains_substring("node-4 did not answer")]
    );
    server.stop().await;
    Ok(())
}

#[gtest]
#[actix_web::test]
async fn decisions_that_differ_only_in_inputs_are_listed_once_each() -> Result<()> {
    let store = MemoryPlatform::default();
    let tables = support::tables("node-1", 1);
    for input in ["1", "2"] {
        tables.decisions.record(Decision {
            unix_ms: 5,
            node: "node-1".to_owned(),
            kind: DecisionKind::Ordered,
            subjects: vec![Subject::Service("fittings-llm".to_owned())],
            cause: "its drain has ended".to_owned(),
            inputs: vec![("sequence".to_owned(), input.to_owned())],
            outcome: "the engine took it".to_owned(),
        });
    }
    let mut journal = Journal::new(tables.clone(), 8);
    journal.flush(&store).await.or_fail()?;
    let peers = Peers::new(tables.clone(), 1_000);
    let subject_ref = SubjectRef::parse("service", "fittings-llm").or_fail()?;
    let explanation = explain(&tables, &store.platform(), &peers, &subject_ref).await;
    expect_that!(explanation.events, len(eq(2)));
    Ok(())
}

#[gtest]
#[actix_web::test]
async fn the_journal_is_bounded_and_keeps_records_through_a_store_outage() -> Result<()> {
    let store = MemoryPlatform::default();
    let tables = support::tables("node-1", 7);
    let mut journal = Journal::new(tables.clone(), 2);
    for number in 0..4 {
        // Simulates a restart, after which the journal must adopt the existing objects.
        if number == 2 {
            journal = Journal::new(tables.clone(), 2);
        }
        record_decision(&tables, number, "cause");
        journal.flush(&store).await.or_fail()?;
    }
    expect_that!(store.object_names(), len(eq(2)));
    record_decision(&tables, 10, "while the store was down");
    store.set_down(true);
    expect_that!(journal.flush(&store).await, err(anything()));
    store.set_down(false);
    journal.flush(&store).await.or_fail()?;
    let (found, partial) = search(&store, &BTreeSet::new(), |record| record.unix_ms == 10)
        .await
        .or_fail()?;
    expect_that!(found, len(eq(1)));
    expect_that!(partial, eq(false));
    let now = tables.clock.unix_ms();
    expect_that!(remove_older(&store, now - 60_000, 100).await, ok(eq(&0)));
    expect_that!(remove_older(&store, now + 60_000, 100).await, ok(eq(&2)));
    expect_that!(store.object_names(), is_empty());
    Ok(())
}

#[gtest]
#[actix_web::test]
async fn a_plan_is_proposed_confirmed_and_explained_over_http() -> Result<()> {
    let store = platform().await;
    let tables = support::tables("node-1", 1);
    tables.directory.replace((0..4).map(entry).collect());
    let api = OperateApi::new(tables, OperateSettings::default(), store.platform());
    let app = test::init_service(App::new().configure(|service| configure(service, api))).await;
    let body = ProposeBody {
        intent: rollout("v2"),
        operator: "asha".to_owned(),
    };
    let call = test::TestRequest::post()
        .uri("/admin/v1/plans")
        .set_json(&body);
    let plan: PlanDocument = test::call_and_read_body_json(&app, call.to_request()).await;
    expect_that!(plan.phase, eq("proposed"));
    expect_that!(
        plan.body.changes[0].after,
        contains_substring("canary v2 on 25 %")
    );
    expect_that!(plan.body.steps, not(is_empty()));
    // The node resolves the lost response of the confirmation.
    store.fail_transactions([Some(Fault::LostAfterEffect)]);
    let path = format!("/admin/v1/plans/{}/confirm", plan.id);
    let call = test::TestRequest::post().uri(&path);
    let confirmed: PlanDocument = test::call_and_read_body_json(&app, call.to_request()).await;
    expect_that!(confirmed.phase, eq("running"));
    let call = test::TestRequest::get().uri("/admin/v1/status");
    let status: FleetStatus = test::call_and_read_body_json(&app, call.to_request()).await;
    expect_that!(status.plans, len(eq(1)));
    expect_that!(status.servers, len(eq(4)));
    let path = format!("/admin/v1/explain/plan/{}", plan.id);
    let call = test::TestRequest::get().uri(&path);
    let explanation: Explanation = test::call_and_read_body_json(&app, call.to_request()).await;
    expect_that!(
        explanation.state,
        contains(contains_substring("roll out v2"))
    );
    Ok(())
}

#[gtest]
#[actix_web::test]
async fn invalid_requests_get_an_error_with_advice() -> Result<()> {
    let store = platform().await;
    let tables = support::tables("node-1", 1);
    let api = OperateApi::new(tables, OperateSettings::default(), store.platform());
    let app = test::init_service(App::new().configure(|service| configure(service, api))).await;
    let cases = [
        (
            test::TestRequest::get().uri("/admin/v1/plans/plan-0"),
            404,
            "ctl get plans",
        ),
        (
            test::TestRequest::get().uri("/admin/v1/explain/moon/1"),
            400,
            "ask for a request",
        ),
        (
            test::TestRequest::get().uri("/admin/v1/nothing"),
            400,
            "there is no GET",
        ),
        (
            test::TestRequest::post()
                .uri("/admin/v1/plans")
                .set_payload("{"),
            400,
            "not as expected",
        ),
        (
            test::TestRequest::post()
                .uri("/admin/v1/plans")
                .set_json(ProposeBody {
                    intent: drain(dappleyard_operate::intent::DrainKind::Server, "s9"),
                    operator: String::new(),
                }),
            404,
            "ctl status",
        ),
    ];
    for (call, status, expected) in cases {
        let response = test::call_service(&app, call.to_request()).await;
        expect_that!(response.status().as_u16(), eq(status));
        let body: ErrorBody = test::read_body_json(response).await;
        expect_that!(body.error.message, contains_substring(expected));
    }
    Ok(())
}
