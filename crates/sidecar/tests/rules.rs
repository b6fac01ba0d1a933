//! Retry policy, node selection and the canonical prompt.

use dappleyard_settings::Location;
use dappleyard_sidecar::forward::retry_policy::{Decision, FailureContext, decide};
use dappleyard_sidecar::node_selection::{Candidate, SelectionPolicy, select_node};
use dappleyard_sidecar::prompt::{PromptMessage, chat_prompt, completion_prompt};
use dappleyard_wire::{ErrorKind, Ran, Repeat};
use googletest::prelude::*;

const NODE_LOST_ONCE: FailureContext = FailureContext {
    kind: ErrorKind::NodeLost,
    ran: Ran::Maybe,
    repeat: Repeat::Allowed,
    attempts: 1,
    maximum_attempts: 4,
    accepted: false,
    released: false,
};

#[gtest]
fn never_request_is_not_rerun_once_it_may_have_run() {
    let never = FailureContext {
        repeat: Repeat::Never,
        ..NODE_LOST_ONCE
    };
    for kind in ErrorKind::ALL {
        for ran in [Ran::Maybe, Ran::Yes] {
            let decision = decide(&FailureContext {
                kind: *kind,
                ran,
                accepted: true,
                attempts: 2,
                ..never
            });
            // A node that is not ready has not read the record, so another node is polled.
            let reads_record = matches!(
                kind,
                ErrorKind::NodeLost | ErrorKind::InProgress | ErrorKind::NotReady
            );
            expect_that!(
                decision == Decision::Fail,
                eq(!reads_record),
                "{kind:?} {ran:?}"
            );
        }
    }
}

#[gtest]
fn accepted_request_is_resumed_after_node_loss() {
    expect_that!(decide(&NODE_LOST_ONCE), eq(Decision::Retry));
    let accepted = FailureContext {
        accepted: true,
        ..NODE_LOST_ONCE
    };
    expect_that!(decide(&accepted), eq(Decision::Resume));
}

#[gtest]
fn attempts_are_bounded() {
    let last = FailureContext {
        attempts: 4,
        accepted: true,
        ..NODE_LOST_ONCE
    };
    expect_that!(decide(&last), eq(Decision::Fail));
}

#[gtest]
fn overloaded_request_is_retried_once() {
    let overloaded = FailureContext {
        kind: ErrorKind::Overloaded,
        ran: Ran::No,
        ..NODE_LOST_ONCE
    };
    expect_that!(decide(&overloaded), eq(Decision::Retry));
    let again = FailureContext {
        attempts: 2,
        ..overloaded
    };
    expect_that!(decide(&again), eq(Decision::Fail));
}

#[gtest]
fn request_restarts_on_another_version_only_before_text_is_released() {
    let gone = FailureContext {
        kind: ErrorKind::VersionGone,
        ran: Ran::Yes,
        accepted: true,
        ..NODE_LOST_ONCE
    };
    expect_that!(decide(&gone), eq(Decision::Restart));
    let released = FailureContext {
        released: true,
        ..gone
    };
    expect_that!(decide(&released), eq(Decision::Fail));
    let never = FailureContext {
        repeat: Repeat::Never,
        ..gone
    };
    expect_that!(decide(&never), eq(Decision::Fail));
}

fn node(name: &str, zone: &str, wait_ms: u32) -> Candidate {
    Candidate {
        node: name.to_owned(),
        zone: zone.to_owned(),
        region: "region-1".to_owned(),
        wait_ms,
        open_streams: 0,
    }
}

#[gtest]
fn same_zone_is_preferred_and_failed_nodes_are_last() {
    let here = Location::default();
    let nodes = [node("far", "zone-2", 0), node("near", "zone-1", 900)];
    expect_that!(
        select_node(&here, 1, SelectionPolicy::LessLoaded, &nodes, &[]),
        some(eq(1))
    );
    expect_that!(
        select_node(
            &here,
            1,
            SelectionPolicy::LessLoaded,
            &nodes,
            &["near".to_owned()]
        ),
        some(eq(0))
    );
    let all = ["near".to_owned(), "far".to_owned()];
    expect_that!(
        select_node(&here, 1, SelectionPolicy::LessLoaded, &nodes, &all),
        some(eq(1))
    );
    expect_that!(
        select_node(&here, 1, SelectionPolicy::LessLoaded, &[], &[]),
        none()
    );
}

#[gtest]
fn key_selects_the_less_loaded_of_two_nodes() {
    let here = Location::default();
    let mut nodes: Vec<Candidate> = (0..8)
        .map(|index| node(&format!("n{index}"), "zone-1", 10))
        .collect();
    let first = select_node(&here, 77, SelectionPolicy::LessLoaded, &nodes, &[]).unwrap();
    expect_that!(
        select_node(&here, 77, SelectionPolicy::LessLoaded, &nodes, &[]),
        some(eq(first))
    );
    nodes[first].wait_ms = 500;
    let second = select_node(&here, 77, SelectionPolicy::LessLoaded, &nodes, &[]).unwrap();
    expect_that!(second, not(eq(first)));
    expect_that!(
        select_node(&here, 77, SelectionPolicy::First, &nodes, &[]),
        some(eq(first))
    );
    nodes[second].wait_ms = 900;
    expect_that!(
        select_node(&here, 77, SelectionPolicy::LessLoaded, &nodes, &[]),
        some(eq(first))
    );
}

fn message(role: &str, text: &str) -> PromptMessage {
    PromptMessage {
        role: role.to_owned(),
        text: text.to_owned(),
    }
}

#[gtest]
fn chat_prompt_is_canonical_text() {
    let chat = [
        message("system", "Match parts."),
        message("user", "Which one?"),
    ];
    let prompt = chat_prompt(&chat, "");
    expect_that!(prompt.text, eq("system: Match parts.\nuser: Which one?\n"));
    expect_that!(prompt.tokens, eq(6));
    expect_that!(prompt.prefix_tokens, eq(3));
}

#[gtest]
fn prefix_hash_is_equal_for_shared_prefixes() {
    let ask = |text: &str, session: &str| {
        chat_prompt(
            &[message("system", "Match parts."), message("user", text)],
            session,
        )
    };
    expect_that!(ask("a", "").prefix_hash, eq(ask("b", "").prefix_hash));
    expect_that!(ask("a", "s").prefix_hash, eq(ask("b", "s").prefix_hash));
    expect_that!(
        ask("a", "s").prefix_hash,
        not(eq(ask("a", "t").prefix_hash))
    );
    let long: String = "word ".repeat(40);
    let first = completion_prompt(&format!("{long} one"), "");
    let second = completion_prompt(&format!("{long} two"), "");
    expect_that!(first.prefix_hash, eq(second.prefix_hash));
    expect_that!(first.prefix_tokens, eq(32));
}
