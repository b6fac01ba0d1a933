//! Requests that are deferred: they are retried however many servers end under them, one at a time.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_crashes::{
    Feature, Fingerprint, Ledger, MAX_ENDED_SERVERS, Permit, PromptPartId, RequestFeatures,
    RequestParts,
};
use googletest::prelude::*;

const PART: u64 = 1;
/// Longest time to the retry of a deferred request.
const MAX_DELAY: Duration = Duration::from_secs(12);
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Retries of a refused part: two, and the three that the operators' rule allows after the fifth end.
const MAX_PART_RETRIES: usize = 5;

fn request(number: u64, parts: &[u64]) -> RequestFeatures {
    let fingerprint = Fingerprint::of(&RequestParts {
        caller: "",
        method: "POST",
        host: "shop.example",
        target: "/chat/x",
        body: &number.to_be_bytes(),
    });
    RequestFeatures::new(fingerprint, parts.iter().copied().map(PromptPartId))
}

fn item(number: u64, parts: &[u64]) -> RequestFeatures {
    request(number, parts).deferred()
}

/// Ends a server under a run of a request that has begun.
fn end_server(ledger: &mut Ledger, request: &RequestFeatures, server: &str, now: Instant) {
    ledger.note_ended(request, server, None, now);
    ledger.end(request, server, now);
}

/// Ends servers under a request until it is refused.
fn refuse(ledger: &mut Ledger, request: &RequestFeatures, name: &str, now: Instant) {
    for number in 0..MAX_ENDED_SERVERS {
        let server = format!("{name}-{number}");
        ledger.begin(request, &server, now);
        end_server(ledger, request, &server, now);
    }
}

/// Begins the next run of a request at a server; returns when that was, or `None` if it is not permitted in time.
fn begin(
    ledger: &mut Ledger,
    request: &RequestFeatures,
    server: &str,
    mut now: Instant,
) -> Option<Instant> {
    let last = now + MAX_DELAY + Duration::from_secs(1);
    while now < last {
        if matches!(ledger.begin(request, server, now), Permit::LastRun) {
            return Some(now);
        }
        now += LOOK_INTERVAL;
    }
    None
}

/// Guards against an item that is never placed again since servers ended under it, however many; and against an online
/// request that takes a fourth.
#[gtest]
fn many_ends_under_an_item() {
    let (mut ledger, mut now) = (Ledger::new(1), Instant::now());
    let (deferred, online) = (item(1, &[]), request(2, &[]));
    refuse(&mut ledger, &deferred, "a", now);
    refuse(&mut ledger, &online, "b", now);
    for number in 0..40 {
        let server = format!("c-{number}");
        now = begin(&mut ledger, &deferred, &server, now).expect("a retry");
        // Only one at a time.
        expect_that!(ledger.permit(&deferred, now), eq(Permit::Refused));
        end_server(&mut ledger, &deferred, &server, now);
        expect_that!(ledger.permit(&online, now), eq(Permit::Refused));
    }
    now = begin(&mut ledger, &deferred, "d", now).expect("a retry");
    ledger.note_served(&deferred, now);
    ledger.end(&deferred, "d", now);
    expect_that!(ledger.permit(&deferred, now), eq(Permit::Free));
}

/// Guards against an item that its new owner never places, since it has read the counts of the one before.
#[gtest]
fn change_of_owner() {
    let (mut before, mut after, now) = (Ledger::new(1), Ledger::new(2), Instant::now());
    let deferred = item(1, &[]);
    refuse(&mut before, &deferred, "a", now);
    for record in before.updates(true, 100, now).records {
        after.merge(record, false, now);
    }
    expect_that!(after.permit(&deferred, now), eq(Permit::Refused));
    let begun = begin(&mut after, &deferred, "b", now);
    expect_that!(begun, some(ge(now + Duration::from_secs(3))));
}

/// Guards against an item that waits for good since restarts of one server ended under it.
#[gtest]
fn restarts_of_one_server() {
    let (mut ledger, now) = (Ledger::new(1), Instant::now());
    let deferred = item(1, &[]);
    for number in 0..MAX_ENDED_SERVERS as u64 {
        let at = now + Duration::from_secs(number);
        ledger.begin(&deferred, "a", at);
        ledger.note_run_ended(&deferred, "a", at, None, at);
        ledger.end(&deferred, "a", at);
    }
    expect_that!(begin(&mut ledger, &deferred, "b", now), some(anything()));
}

/// Guards against many items that crash servers and are all retried at the same moment.
#[gtest]
fn crashing_items() {
    let (mut ledger, start) = (Ledger::new(1), Instant::now());
    let items: Vec<RequestFeatures> = (0..20).map(|number| item(number, &[])).collect();
    for (number, deferred) in items.iter().enumerate() {
        refuse(&mut ledger, deferred, &format!("a{number}"), start);
    }
    let (mut now, mut ended) = (start, 0);
    while now < start + Duration::from_secs(30) {
        now += LOOK_INTERVAL;
        for deferred in &items {
            let server = format!("b-{ended}");
            if ledger.begin(deferred, &server, now) == Permit::LastRun {
                end_server(&mut ledger, deferred, &server, now);
                ended += 1;
            }
        }
    }
    expect_that!(ended, all![ge(5), le(10)]);
}

/// Guards against sound items that are retried one after the other although the first ones are served.
#[gtest]
fn sound_items() {
    let (mut ledger, mut now) = (Ledger::new(1), Instant::now());
    let items: Vec<RequestFeatures> = (0..20).map(|number| item(number, &[])).collect();
    for (number, deferred) in items.iter().enumerate() {
        refuse(&mut ledger, deferred, &format!("a{number}"), now);
    }
    now += Duration::from_secs(3);
    let mut waiting = items.clone();
    for round in 0..8 {
        let begun = |deferred: &RequestFeatures, ledger: &mut Ledger| {
            let server = format!("b{round}-{:?}", deferred.request());
            (ledger.begin(deferred, &server, now) == Permit::LastRun).then_some(server)
        };
        let begun: Vec<_> = waiting
            .iter()
            .filter_map(|deferred| Some((deferred.clone(), begun(deferred, &mut ledger)?)))
            .collect();
        now += Duration::from_millis(500);
        for (deferred, server) in begun {
            ledger.note_served(&deferred, now);
            ledger.end(&deferred, &server, now);
            waiting.retain(|other| other.request() != deferred.request());
        }
    }
    expect_that!(waiting.len(), eq(0));
}

/// Retries items with a refused part until none is permitted; returns how many ended a server. Before each end `around` is
/// called.
fn retry_part(
    ledger: &mut Ledger,
    mut now: Instant,
    around: impl Fn(&mut Ledger, Instant),
) -> usize {
    for number in 0..20 {
        let deferred = item(100 + number, &[PART]);
        let server = format!("c-{number}");
        let Some(begun) = begin(ledger, &deferred, &server, now) else {
            return number as usize;
        };
        around(ledger, begun);
        end_server(ledger, &deferred, &server, begun);
        now = begun;
    }
    20
}

/// Guards against items with a refused part that crash one server after the other.
#[gtest]
fn crashing_part() {
    let (mut ledger, now) = (Ledger::new(1), Instant::now());
    for number in 0..MAX_ENDED_SERVERS as u64 {
        let (deferred, server) = (item(number, &[PART]), format!("a-{number}"));
        ledger.begin(&deferred, &server, now);
        end_server(&mut ledger, &deferred, &server, now);
    }
    let ended = retry_part(&mut ledger, now, |_, _| ());
    expect_that!(ended, eq(MAX_PART_RETRIES));
    let part = Feature::PromptPart(PromptPartId(PART));
    expect_that!(ledger.ended_under(&part).len(), eq(3 + MAX_PART_RETRIES));
}

/// Guards against items that wait for good since a part of theirs was at servers that went down one after the other.
#[gtest]
fn part_beside_other_ends() {
    let (mut ledger, now) = (Ledger::new(1), Instant::now());
    for number in 0..MAX_ENDED_SERVERS as u64 {
        let (deferred, server) = (item(number, &[PART]), format!("a-{number}"));
        ledger.begin(&deferred, &server, now);
        end_server(&mut ledger, &deferred, &server, now);
    }
    let others_end = |ledger: &mut Ledger, now: Instant| {
        for number in 0..2 {
            let other = request(1_000 + number, &[]);
            let server = format!("other-{number}-{now:?}");
            ledger.note_ended(&other, &server, Some(Duration::from_millis(100)), now);
        }
    };
    expect_that!(retry_part(&mut ledger, now, others_end), eq(20));
}
