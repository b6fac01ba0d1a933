//! Records of streams, and what follows from them and from answers.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::RunOrigin;
use dappleyard_streams::{
    Answer, Knowledge, MAX_STREAMS, StreamKey, StreamLedger, StreamNews, resolve,
};
use googletest::prelude::*;

const LIFETIME: Duration = Duration::from_secs(5);

fn origin(version: &str) -> RunOrigin {
    RunOrigin {
        service: "llm".to_owned(),
        version: version.parse().ok(),
    }
}

#[gtest]
fn keys_differ_by_tenant() {
    let key = StreamKey::of("a", "r1");
    expect_that!(key, eq(StreamKey::of("a", "r1")));
    expect_that!(key, not(eq(StreamKey::of("b", "r1"))));
    expect_that!(StreamKey::of("ab", "c"), not(eq(StreamKey::of("a", "bc"))));
}

#[gtest]
fn told_streams_are_known_elsewhere() {
    let now = Instant::now();
    let (mut here, mut there) = (StreamLedger::default(), StreamLedger::default());
    let streams = [(1, "v1"), (2, "v2"), (3, "v1")];
    for (number, version) in streams {
        here.note_begun(StreamKey(number), &origin(version), LIFETIME, now);
    }
    expect_that!(here.untold_services(), elements_are![eq("llm")]);
    let news: StreamNews = here.take_untold("llm", 10, now).into_iter().collect();
    expect_that!(news.origins, len(eq(2)));
    there.learn(news, now);
    for (number, version) in streams {
        expect_that!(there.find(StreamKey(number)), some(eq(&origin(version))));
    }
    // Each stream is told of once, and what was learnt is not passed on.
    expect_that!(here.take_untold("llm", 10, now), is_empty());
    expect_that!(there.untold_services(), is_empty());
}

#[gtest]
fn first_record_stays() {
    let now = Instant::now();
    let mut ledger = StreamLedger::default();
    ledger.note_begun(StreamKey(1), &origin("v1"), LIFETIME, now);
    ledger.note_begun(StreamKey(1), &origin("v2"), LIFETIME, now);
    expect_that!(ledger.find(StreamKey(1)), some(eq(&origin("v1"))));
}

#[gtest]
fn records_are_bounded() {
    let now = Instant::now();
    let mut ledger = StreamLedger::default();
    for number in 0..=MAX_STREAMS as u64 {
        let lifetime = LIFETIME + Duration::from_micros(number);
        ledger.note_begun(StreamKey(number), &origin("v1"), lifetime, now);
    }
    expect_that!(ledger.len(), eq(MAX_STREAMS));
    // The one that would expire first is gone.
    expect_that!(ledger.find(StreamKey(0)), none());
    ledger.sweep(now + LIFETIME * 2);
    expect_that!(ledger.is_empty(), eq(true));
    expect_that!(ledger.untold_services(), is_empty());
}

#[gtest]
fn expired_streams_are_not_told() {
    let now = Instant::now();
    let mut ledger = StreamLedger::default();
    ledger.note_begun(StreamKey(1), &origin("v1"), LIFETIME, now);
    expect_that!(ledger.take_untold("llm", 10, now + LIFETIME), is_empty());
}

// Guards against a guess at the version of a stream.
#[gtest]
fn only_certain_origins_are_resolved() {
    let incomplete = |version: &str| Knowledge::Incomplete {
        listed: Some(origin(version)),
    };
    let single = |version: &str| Answer::Single(origin(version));
    let began = |version: &str| Answer::Began(origin(version));
    // A record decides, whatever else is known.
    let answers = [Answer::Unknown, began("v1")];
    expect_that!(
        resolve(&Knowledge::Several, &answers),
        some(eq(&origin("v1")))
    );
    // What others say of the service does not count for a node that has seen several versions.
    expect_that!(resolve(&Knowledge::Several, &[single("v1")]), none());
    // A node whose own knowledge is incomplete needs the word of every node that answers.
    let told = [single("v1"), single("v1")];
    expect_that!(resolve(&incomplete("v1"), &told), some(eq(&origin("v1"))));
    expect_that!(resolve(&incomplete("v1"), &[]), none());
    let disagreeing = [
        [single("v1"), single("v2")],
        [single("v1"), Answer::Several],
    ];
    for answers in disagreeing {
        expect_that!(resolve(&incomplete("v1"), &answers), none());
    }
    expect_that!(resolve(&incomplete("v2"), &told), none());
    // Nodes that have just started say nothing.
    let started = [Answer::Unknown, single("v1")];
    expect_that!(
        resolve(&incomplete("v1"), &started),
        some(eq(&origin("v1")))
    );
    expect_that!(resolve(&incomplete("v1"), &started[..1]), none());
    // All lists of servers may be old, since the store is away.
    let stale = Knowledge::Stale(origin("v1"));
    expect_that!(resolve(&stale, &told), some(eq(&origin("v1"))));
    expect_that!(resolve(&stale, &[Answer::Several]), none());
}
