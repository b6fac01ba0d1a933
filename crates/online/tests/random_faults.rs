//! Random faults of engines, store and callers on virtual time. A request refused as "not run" must not
//! have run, and no idempotency key may run twice.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use dappleyard_store::Fault;
use dappleyard_wire::messages::frame;
use dappleyard_wire::{ErrorKind, Ran};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::*;

const SEEDS: u64 = 150;
const SERVERS: usize = 3;
const REQUESTS: usize = 24;
const KEYS: usize = 6;

fn random_script(generator: &mut StdRng) -> Script {
    let tokens = generator.random_range(0..TOKENS);
    match generator.random_range(0..10) {
        0 => Script::Unreachable,
        1 => Script::Refuse(429),
        2 => Script::Refuse(404),
        3 => Script::LostAtCall,
        4 => Script::SilentAtCall,
        5 => Script::Steps(vec![Step::Accept, Step::Tokens(tokens), Step::Lose]),
        6 => Script::Steps(vec![Step::Accept, Step::Tokens(tokens), Step::Hang]),
        7 => Script::Steps(vec![Step::Lose]),
        _ => Script::full_answer(),
    }
}

fn random_fault(generator: &mut StdRng) -> Option<Fault> {
    match generator.random_range(0..8) {
        0 => Some(Fault::Unavailable),
        1 => Some(Fault::LostBeforeEffect),
        2 => Some(Fault::LostAfterEffect),
        3 => Some(Fault::RateLimited),
        _ => None,
    }
}

/// Reads the answer of a request; the caller may cancel or disconnect before the end.
async fn call(mut client: Client, disconnect_after: Option<Duration>, cancels: bool) -> Answer {
    let Some(disconnect_after) = disconnect_after else {
        return client.full_answer().await;
    };
    if let Ok(answer) = tokio::time::timeout(disconnect_after, client.full_answer()).await {
        return answer;
    }
    if cancels {
        client.send(frame::Body::Cancel(Default::default()));
        return client.full_answer().await;
    }
    Answer::default()
}

async fn run_seed(seed: u64) {
    let mut generator = StdRng::seed_from_u64(seed);
    let node = Node::new(SERVERS);
    for server in 0..SERVERS {
        let scripts: Vec<Script> = (0..12).map(|_| random_script(&mut generator)).collect();
        node.engine.script(&format!("s{server}"), scripts);
    }
    let faults: Vec<Option<Fault>> = (0..60).map(|_| random_fault(&mut generator)).collect();
    node.platform.fail_transactions(faults);
    let mut tasks = Vec::new();
    let mut keys = BTreeMap::new();
    for index in 0..REQUESTS {
        let id = format!("r{index}");
        let at_most_once = generator.random_bool(0.6);
        let key = format!("key-{}", generator.random_range(0..KEYS));
        let mut submit = if at_most_once {
            at_most_once_request(&id, &key)
        } else {
            request(&id)
        };
        submit.budget_ms = generator.random_range(50..2_000);
        if at_most_once {
            keys.insert(id.clone(), key);
        }
        let disconnects = generator.random_bool(0.3);
        let disconnect_after = Duration::from_millis(generator.random_range(0..60));
        let cancels = generator.random_bool(0.5);
        let client = node.submit(submit);
        let task = call(client, disconnects.then_some(disconnect_after), cancels);
        tasks.push((id, tokio::task::spawn_local(task)));
        tokio::time::sleep(Duration::from_millis(generator.random_range(0..80))).await;
        for server in 0..SERVERS {
            let id = format!("s{server}");
            node.tables
                .servers
                .with(&id.as_str().into(), |state| state.withdrawn = None);
            node.report(&id, VERSION);
        }
    }
    let mut answers = Vec::new();
    for (id, task) in tasks {
        answers.push((id, task.await.expect("no panic")));
    }
    tokio::time::sleep(Duration::from_secs(60)).await;
    check(seed, &node, &keys, &answers);
}

fn check(seed: u64, node: &Node, keys: &BTreeMap<String, String>, answers: &[(String, Answer)]) {
    let runs = node.engine.runs.borrow();
    let mut runs_by_key: BTreeMap<&str, usize> = BTreeMap::new();
    for id in runs.iter() {
        if let Some(key) = keys.get(id) {
            *runs_by_key.entry(key).or_default() += 1;
        }
    }
    for (key, count) in runs_by_key {
        expect_that!(count, le(1), "{key} of seed {seed} ran more than once");
    }
    for (id, answer) in answers {
        if answer.finish.is_some() {
            expect_that!(answer.text(), eq(&full_text()), "{id} of seed {seed}");
        }
        let Some(refused) = &answer.refused else {
            continue;
        };
        let did_not_run = !runs.contains(id);
        if refused.ran() == Ran::No {
            expect_that!(
                did_not_run,
                is_true(),
                "{id} of seed {seed} was reported as not run"
            );
        }
        expect_that!(refused.kind, not(eq(ErrorKind::Internal as u32)));
    }
    expect_that!(
        node.online_in_flight(),
        eq(0),
        "in flight after seed {seed}"
    );
    expect_that!(
        node.shared.active_streams(),
        eq(0),
        "streams left after seed {seed}"
    );
}

#[gtest]
fn refusals_are_accurate_and_no_key_runs_twice_under_random_faults() {
    for seed in 0..SEEDS {
        run(run_seed(seed));
    }
}
