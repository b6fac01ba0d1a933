//! Prompt parts that crash servers, in simulated fleets: the servers that are lost, and the sound requests beside them.

mod fleet;

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_crashes::{
    Feature, Fingerprint, LONG_RUN, Ledger, MAX_ENDED_SERVERS, Permit, PromptPartId,
    RequestFeatures, RequestParts,
};
use fleet::{Fleet, Report, Traffic};
use googletest::prelude::*;

const SEEDS: u64 = 12;
/// Servers that may end under a part before its rule bounds further runs.
const ENDS_BEFORE_RULE: usize = 5;
/// Runs with the part that the rule allows after that.
const MAX_LATE_RUNS: usize = 3;
/// Time from the last end to a retry, and from its reservation to its begin.
const RETRY_DELAY: Duration = Duration::from_secs(3);
const RESERVATION_DELAY: Duration = Duration::from_millis(300);
/// Smallest share of sound requests that begin at their first attempt, relative to times without crashes.
const MIN_SOUND_SHARE: f64 = 0.5;

fn request(number: u64, parts: &[u64]) -> RequestFeatures {
    let fingerprint = Fingerprint::of(&RequestParts {
        caller: "",
        method: "POST",
        host: "shop.example",
        target: "/chat/x",
        body: &number.to_be_bytes(),
    });
    RequestFeatures::new(fingerprint, parts.iter().map(|part| PromptPartId(*part)))
}

fn part(id: u64) -> Feature {
    Feature::PromptPart(PromptPartId(id))
}

/// Runs a request on a server that ends during the run.
fn crash(ledger: &mut Ledger, request: &RequestFeatures, server: &str, now: Instant) {
    let permit = ledger.begin(request, server, now);
    expect_that!(permit, any![eq(Permit::Free), eq(Permit::LastRun)]);
    ledger.note_ended(request, server, None, now);
    ledger.end(request, server, now);
}

/// Begins the retry of a refused part; returns the time at which it begins.
fn retry(ledger: &mut Ledger, request: &RequestFeatures, server: &str, now: Instant) -> Instant {
    expect_that!(ledger.begin(request, server, now), eq(Permit::Wait));
    let later = now + RESERVATION_DELAY;
    expect_that!(ledger.begin(request, server, later), eq(Permit::LastRun));
    later
}

/// Exchanges the news of two nodes.
fn exchange(first: &mut Ledger, second: &mut Ledger, now: Instant) {
    let (news, other_news) = (first.updates(true, 24, now), second.updates(true, 24, now));
    for record in news.records {
        second.merge(record, false, now);
    }
    for record in other_news.records {
        first.merge(record, false, now);
    }
}

fn expect_rule_kept(report: &Report, seed: u64) {
    expect_that!(
        report.late_runs,
        le(MAX_LATE_RUNS),
        "seed {seed}: {report:?}"
    );
    expect_that!(
        report.refused_parts,
        le(report.guilty_parts),
        "seed {seed}: {report:?}"
    );
    expect_that!(
        report.sound_share(),
        ge(MIN_SOUND_SHARE),
        "seed {seed}: {report:?}"
    );
}

// Guards against a part that goes on crashing servers, and against sound requests that are refused beside it.
#[gtest]
fn guilty_part_among_sound_ones() {
    for seed in 0..SEEDS {
        let report = Fleet::new(seed).run(&Traffic::default());
        expect_rule_kept(&report, seed);
    }
}

// Guards against a guilty part that stands first, where sound requests have their common part.
#[gtest]
fn guilty_first_part() {
    for seed in 0..SEEDS {
        let traffic = Traffic {
            guilty_first: true,
            ..Traffic::default()
        };
        expect_rule_kept(&Fleet::new(seed).run(&traffic), seed);
    }
}

// Guards against two guilty parts that excuse each other's crashes.
#[gtest]
fn two_guilty_parts() {
    for seed in 0..SEEDS {
        let traffic = Traffic {
            guilty_parts: 2,
            ..Traffic::default()
        };
        expect_rule_kept(&Fleet::new(seed).run(&traffic), seed);
    }
}

// Guards against a guilty part that passes for innocent because servers are lost for another reason at the same time.
#[gtest]
fn guilty_part_beside_losses() {
    for seed in 0..SEEDS {
        let traffic = Traffic {
            losses: 6,
            ..Traffic::default()
        };
        let report = Fleet::new(seed).run(&traffic);
        expect_that!(
            report.late_runs,
            le(MAX_LATE_RUNS),
            "seed {seed}: {report:?}"
        );
    }
}

// Guards against sound parts that are refused because servers are lost in series.
#[gtest]
fn losses_without_a_guilty_part() {
    for seed in 0..SEEDS {
        let traffic = Traffic {
            guilty_parts: 0,
            losses: 6,
            ..Traffic::default()
        };
        let report = Fleet::new(seed).run(&traffic);
        expect_that!(report.refused_parts, eq(0), "seed {seed}: {report:?}");
    }
}

// Guards against a part that is not counted because it was sound until a moment ago.
#[gtest]
fn part_that_was_sound_before() {
    let (mut ledger, begun) = (Ledger::new(1), Instant::now());
    ledger.note_served(&request(0, &[1, 2]), begun);
    let (mut now, mut number) = (begun, 0);
    while ledger.permit(&request(999, &[2]), now) != Permit::Refused {
        number += 1;
        crash(
            &mut ledger,
            &request(number, &[2]),
            &format!("i-{number}"),
            now,
        );
        now += Duration::from_secs(2);
        assert_that!(number, le(MAX_ENDED_SERVERS as u64));
    }
}

// Guards against a part, sound until a moment ago, that crashes servers so often that all ends count as one incident.
#[gtest]
fn ends_in_quick_succession() {
    // At the shorter interval a second has more ends than a record holds.
    for interval in [300, 40].map(Duration::from_millis) {
        let (mut ledger, begun) = (Ledger::new(1), Instant::now());
        ledger.note_served(&request(0, &[1, 2]), begun);
        let (mut now, mut number) = (begun, 0);
        while ledger.permit(&request(999, &[2]), now) != Permit::Refused {
            number += 1;
            crash(
                &mut ledger,
                &request(number, &[2]),
                &format!("i-{number}"),
                now,
            );
            now += interval;
            // The rule bounds further runs from three seconds after the fifth end.
            assert_that!(now, le(begun + 4 * interval + Duration::from_secs(3)));
        }
    }
}

// Guards against a common part that is held back because a rare one beside it crashes servers.
#[gtest]
fn common_part_is_never_held_back() {
    let (mut ledger, now) = (Ledger::new(1), Instant::now());
    let (mut other, common) = (Ledger::new(2), 1);
    ledger.note_served(&request(0, &[common, 3]), now);
    for number in 1..=MAX_ENDED_SERVERS as u64 {
        let guilty = request(number, &[common, 2]);
        let server = format!("i-{number}");
        other.begin(&guilty, &server, now);
        other.note_ended(&guilty, &server, None, now);
        other.end(&guilty, &server, now);
    }
    for record in other.updates(false, 24, now).records {
        ledger.merge(record, false, now);
    }
    expect_that!(
        ledger.permit(&request(9, &[common, 2]), now),
        eq(Permit::Refused)
    );
    // Any number of sound requests may run at the same time.
    for number in 10..40 {
        let server = format!("i-{number}");
        let permit = ledger.begin(&request(number, &[common, 3]), &server, now);
        expect_that!(permit, eq(Permit::Free));
    }
    // The node that has not served it hears of it.
    for record in ledger.updates(false, 24, now).records {
        other.merge(record, false, now);
    }
    expect_that!(
        other.permit(&request(9, &[common, 3]), now),
        eq(Permit::Free)
    );
}

// Guards against parts that are blamed for servers which ended long after the answer had begun.
#[gtest]
fn long_runs_do_not_count() {
    let (mut ledger, now) = (Ledger::new(1), Instant::now());
    for number in 0..9 {
        let (request, server) = (request(number, &[1]), format!("i-{number}"));
        ledger.begin(&request, &server, now);
        ledger.note_ended(&request, &server, Some(LONG_RUN), now);
        ledger.end(&request, &server, now);
    }
    expect_that!(ledger.ended_under(&part(1)).len(), eq(0));
    // A run that goes on for long clears the part of other ends.
    crash(&mut ledger, &request(20, &[1]), "i-20", now);
    let cleared = ledger.note_long_run(&request(21, &[1]), now);
    expect_that!(cleared, elements_are![eq(&part(1))]);
}

// Guards against one request that retries for several parts: it could not tell which of them is the cause.
#[gtest]
fn single_suspects_are_retried_first() {
    let (mut ledger, now) = (Ledger::new(1), Instant::now());
    for number in 0..MAX_ENDED_SERVERS as u64 {
        crash(
            &mut ledger,
            &request(number, &[1, 2]),
            &format!("i-{number}"),
            now,
        );
    }
    let later = now + RETRY_DELAY;
    expect_that!(
        ledger.permit(&request(8, &[1, 2]), later),
        eq(Permit::Refused)
    );
    let later = retry(&mut ledger, &request(9, &[1]), "i-9", later);
    expect_that!(ledger.note_served(&request(9, &[1]), later).len(), eq(1));
    ledger.end(&request(9, &[1]), "i-9", later);
    // Now only one suspect is left.
    expect_that!(
        ledger.permit(&request(8, &[1, 2]), later),
        eq(Permit::LastRun)
    );
}

// Guards against retries without end.
#[gtest]
fn retries_of_a_part_are_limited() {
    let (mut ledger, mut now) = (Ledger::new(1), Instant::now());
    for number in 0..MAX_ENDED_SERVERS as u64 {
        crash(
            &mut ledger,
            &request(number, &[1]),
            &format!("i-{number}"),
            now,
        );
    }
    let mut ended = MAX_ENDED_SERVERS;
    for number in 10..100 {
        now += RETRY_DELAY;
        let (request, server) = (request(number, &[1]), format!("i-{number}"));
        if ledger.permit(&request, now) != Permit::Refused {
            now = retry(&mut ledger, &request, &server, now);
            ledger.note_ended(&request, &server, None, now);
            ledger.end(&request, &server, now);
            ended += 1;
        }
    }
    expect_that!(ended, eq(ENDS_BEFORE_RULE));
}

// Guards against two nodes that retry a refused part at the same moment.
#[gtest]
fn one_node_retries() {
    let (mut low, mut high, now) = (Ledger::new(1), Ledger::new(2), Instant::now());
    for number in 0..MAX_ENDED_SERVERS as u64 {
        crash(
            &mut low,
            &request(number, &[1]),
            &format!("i-{number}"),
            now,
        );
    }
    exchange(&mut low, &mut high, now);
    let later = now + RETRY_DELAY;
    for ledger in [&mut low, &mut high] {
        expect_that!(
            ledger.begin(&request(9, &[1]), "i-9", later),
            eq(Permit::Wait)
        );
    }
    exchange(&mut low, &mut high, later);
    let later = later + RESERVATION_DELAY;
    expect_that!(
        high.begin(&request(9, &[1]), "i-9", later),
        eq(Permit::Refused)
    );
    expect_that!(
        low.begin(&request(9, &[1]), "i-9", later),
        eq(Permit::LastRun)
    );
    expect_that!(low.permit(&request(10, &[1]), later), eq(Permit::Refused));
    // The node that reserved a retry may be gone before it begins.
    let (mut lost, much_later) = (Ledger::new(0), later + Duration::from_secs(10));
    exchange(&mut low, &mut lost, later);
    low.end(&request(9, &[1]), "i-9", later);
    exchange(&mut low, &mut high, later);
    exchange(&mut lost, &mut high, later);
    expect_that!(
        high.permit(&request(9, &[1]), much_later),
        eq(Permit::LastRun)
    );
}

// Guards against a reservation that is not heard because many other nodes have reported before.
#[gtest]
fn reservation_in_a_large_fleet() {
    let (mut own, now) = (Ledger::new(100), Instant::now());
    for number in 0..MAX_ENDED_SERVERS as u64 {
        crash(
            &mut own,
            &request(number, &[1]),
            &format!("i-{number}"),
            now,
        );
    }
    let mut others: Vec<Ledger> = (1..20).map(Ledger::new).collect();
    for other in &mut others {
        exchange(&mut own, other, now);
        // A run of some other request with the part is over.
        other.end(&request(50, &[1]), "i-9", now);
        exchange(&mut own, other, now);
    }
    let later = now + RETRY_DELAY;
    expect_that!(
        others[18].begin(&request(8, &[1]), "i-9", later),
        eq(Permit::Wait)
    );
    for other in &mut others {
        exchange(&mut own, other, later);
    }
    expect_that!(own.permit(&request(9, &[1]), later), eq(Permit::Refused));
}

// Guards against callers that push parts out of the ledger by sending many different requests or parts.
#[gtest]
fn full_ledger_keeps_refused_parts() {
    let (mut ledger, now) = (Ledger::new(1), Instant::now());
    for number in 0..MAX_ENDED_SERVERS as u64 {
        crash(
            &mut ledger,
            &request(number, &[7]),
            &format!("i-{number}"),
            now,
        );
    }
    for number in 100..5_000 {
        let later = now + Duration::from_millis(number);
        let parts: Vec<u64> = (0..4).map(|at| 1_000 + 4 * number + at).collect();
        crash(&mut ledger, &request(number, &parts), "i-9", later);
    }
    expect_that!(
        ledger.permit(&request(9_999, &[7]), now),
        eq(Permit::Refused)
    );
    // One request may not bring any number of parts.
    let many: Vec<u64> = (0..10_000).collect();
    expect_that!(request(1, &many).iter().count(), le(40));
}

// Guards against messages of other versions of the program that are taken for something else.
#[gtest]
fn unknown_kinds_are_ignored() {
    let mut ledger = Ledger::new(1);
    let unknown = dappleyard_crashes::CrashRecord::default();
    expect_that!(unknown.feature(), none());
    let merged = ledger.merge(unknown, true, Instant::now());
    expect_that!(merged.is_new, eq(false));
    expect_that!(
        "part-5c1e07a2".parse::<Feature>(),
        ok(eq(&part(0x5c1e_07a2)))
    );
    expect_that!(part(0x5c1e_07a2).to_string(), eq("part-5c1e07a2"));
    expect_that!("part-".parse::<Feature>(), err(anything()));
    expect_that!("5c1e07a2".parse::<Feature>(), err(anything()));
}
