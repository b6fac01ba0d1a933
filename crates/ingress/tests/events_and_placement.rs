//! Event splitting, placement and error kinds.

use std::sync::Arc;

use dappleyard_cluster::{LoadSummary, ZoneDistances};
use dappleyard_ingress::{
    Candidate, ErrorKind, EventSplitter, PromptShape, affinity_server, choose, is_healthy, sample,
};

use dappleyard_model::{PromptPart, ServerRecord};
use googletest::prelude::*;
use rand::SeedableRng;

fn server(id: &str, zone: &str) -> Arc<ServerRecord> {
    Arc::new(ServerRecord {
        id: id.to_owned(),
        instance: id.to_owned(),
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone.to_owned(),
        version: "v1".parse().ok(),
        slots: 4,
        draining: false,
        cold_left_ms: 0,
    })
}

fn candidate(id: &str, zone: &str, load: LoadSummary) -> Candidate {
    Candidate {
        server: server(id, zone),
        load,
    }
}

#[gtest]
fn events_are_complete_for_any_piece_size() {
    let bytes =
        b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversion: 3\nid: 3\ndata: c\ndata: d\n\ntail";
    for size in 1..bytes.len() {
        let mut splitter = EventSplitter::default();
        let mut ids = Vec::new();
        let mut data = Vec::new();
        let mut passed = Vec::new();
        for piece in bytes.chunks(size) {
            splitter.push(piece);
            while let Some(event) = splitter.next_event() {
                ids.push(event.id);
                data.push(event.data());
                passed.extend_from_slice(&event.bytes);
            }
        }
        expect_that!(ids, eq(&[Some(1), Some(2), Some(3)]), "pieces of {size}");
        expect_that!(data[2], some(eq("c\nd")));
        passed.extend_from_slice(&splitter.rest());
        expect_that!(passed, eq(bytes));
    }
}

#[gtest]
fn the_least_loaded_server_of_the_zone_is_chosen() {
    let busy = LoadSummary {
        online: 3,
        ..Default::default()
    };
    let candidates = [
        candidate("far", "south", LoadSummary::default()),
        candidate("busy", "north", busy),
        candidate("free", "north", LoadSummary::default()),
    ];
    let chosen = choose(&candidates, &ZoneDistances::single_region("north"), None)
        .map(|chosen| chosen.server.id.clone());
    expect_that!(chosen, some(eq("free")));
}

#[gtest]
fn an_overloaded_zone_sends_its_requests_elsewhere() {
    let full = LoadSummary {
        online: 8,
        ..Default::default()
    };
    let candidates = [
        candidate("near", "north", full),
        candidate("far", "south", LoadSummary::default()),
    ];
    let chosen = choose(&candidates, &ZoneDistances::single_region("north"), None)
        .map(|chosen| chosen.server.id.clone());
    expect_that!(chosen, some(eq("far")));
}

#[gtest]
fn a_suspect_server_is_chosen_only_when_there_is_no_other() {
    let suspect = LoadSummary {
        suspect: true,
        ..Default::default()
    };
    let full = LoadSummary {
        online: 12,
        ..Default::default()
    };
    let both = [
        candidate("suspect", "north", suspect),
        candidate("full", "south", full),
    ];
    let chosen = choose(&both, &ZoneDistances::single_region("north"), None)
        .map(|chosen| chosen.server.id.clone());
    expect_that!(chosen, some(eq("full")));
    let chosen = choose(&both[..1], &ZoneDistances::single_region("north"), None)
        .map(|chosen| chosen.server.id.clone());
    expect_that!(chosen, some(eq("suspect")));
}

#[gtest]
fn long_shared_prompts_keep_their_affinity_server() {
    let part = |id, tokens| PromptPart { id, tokens };
    let short = PromptShape::new(&[part(1, 150), part(2, 400)], 550);
    expect_that!(short.shared, none());
    let servers: Vec<_> = (0..12)
        .map(|n| server(&format!("i-{n}"), "north"))
        .collect();
    let mut moved = 0;
    for key in 0..200 {
        let shape = PromptShape::new(&[part(key, 2_500), part(9, 400)], 2_900);
        expect_that!(
            (shape.uncached_tokens(true), shape.uncached_tokens(false)),
            eq((400, 2_900))
        );
        let shared = shape.shared.expect("a long shared part");
        let before = affinity_server(&servers, shared)
            .expect("an affinity server")
            .id
            .clone();
        let after = affinity_server(&servers[1..], shared)
            .expect("an affinity server")
            .id
            .clone();
        moved += usize::from(before != after && before != "i-0");
    }
    expect_that!(moved, eq(0));
}

#[gtest]
fn only_not_run_statuses_have_a_retry_delay() {
    let kinds = [
        ErrorKind::NotReady,
        ErrorKind::NoRoute,
        ErrorKind::NoRequestId,
        ErrorKind::Malformed,
        ErrorKind::BodyTooLong,
        ErrorKind::NoServer,
        ErrorKind::ExpiredBeforeRun,
        ErrorKind::Expired,
        ErrorKind::ServerFailed,
        ErrorKind::StoreUnavailable,
        ErrorKind::StoreInDoubt,
        ErrorKind::QuotaExceeded,
        ErrorKind::NoJob,
    ];
    for kind in kinds {
        let promises = matches!(kind.status(), 429 | 503);
        expect_that!(kind.retry_after_ms().is_some(), eq(promises), "{kind}");
    }
    expect_that!(ErrorKind::ServerFailed.status(), eq(502));
    expect_that!(ErrorKind::StoreInDoubt.status(), eq(500));
    expect_that!(ErrorKind::Expired.status(), eq(504));
}

#[gtest]
fn samples_differ_and_keep_the_affinity_server() {
    let servers: Vec<Arc<ServerRecord>> = (0..40)
        .map(|number| server(&format!("i-{number}"), ["north", "south"][number % 2]))
        .collect();
    let servers: Vec<&Arc<ServerRecord>> = servers.iter().collect();
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let mut seen = std::collections::HashSet::new();
    for _ in 0..200 {
        let sampled = sample(
            &servers,
            &ZoneDistances::single_region("north"),
            Some("i-7"),
            &mut random,
        );
        let near = sampled.iter().filter(|server| server.zone == "north");
        expect_that!(near.count(), eq(4));
        expect_that!(sampled.iter().any(|server| server.id == "i-7"), eq(true));
        seen.extend(sampled.iter().map(|server| server.id.clone()));
    }
    expect_that!(seen.len(), eq(40));
    // A small zone is sampled completely.
    let few = sample(
        &servers[..3],
        &ZoneDistances::single_region("north"),
        None,
        &mut random,
    );
    expect_that!(few.len(), eq(3));
}

#[gtest]
fn full_servers_of_a_sample_are_healthy() {
    let load = |online, suspect| LoadSummary {
        online,
        suspect,
        ..Default::default()
    };
    expect_that!(
        is_healthy(&candidate("a", "north", load(3, false))),
        eq(true)
    );
    expect_that!(
        is_healthy(&candidate("a", "north", load(9, false))),
        eq(true)
    );
    expect_that!(
        is_healthy(&candidate("a", "north", load(0, true))),
        eq(false)
    );
}

#[gtest]
fn nodes_with_the_same_information_choose_differently() {
    let full = |number: u32| {
        let load = LoadSummary {
            online: 6 + number % 3,
            ..Default::default()
        };
        candidate(&format!("i-{number}"), "north", load)
    };
    let all: Vec<Candidate> = (0..24).map(full).collect();
    let servers: Vec<&Arc<ServerRecord>> = all.iter().map(|candidate| &candidate.server).collect();
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let mut chosen = std::collections::HashMap::new();
    for _node in 0..20 {
        let sampled: Vec<Candidate> = sample(
            &servers,
            &ZoneDistances::single_region("north"),
            None,
            &mut random,
        )
        .into_iter()
        .filter_map(|server| all.iter().find(|held| held.server.id == server.id).cloned())
        .collect();
        let choice =
            choose(&sampled, &ZoneDistances::single_region("north"), None).expect("a server");
        *chosen.entry(choice.server.id.clone()).or_insert(0) += 1;
    }
    expect_that!(chosen.values().max(), some(le(&5)));
    // Without sampling, all nodes make the same choice.
    let first = choose(&all, &ZoneDistances::single_region("north"), None).expect("a server");
    expect_that!(first.server.id, eq("i-0"));
}
