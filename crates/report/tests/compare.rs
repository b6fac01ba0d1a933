//! Comparison and grouping of runs, and the HTML page.

use dappleyard_report::compare::{Significance, compare, median, table};
use dappleyard_report::page;
use dappleyard_report::runs::group;
use dappleyard_report::summary::{
    DecisionLine, EventSpan, Measures, Percentiles, QuantilePoint, Series, Summary, Verdict,
};
use googletest::prelude::*;

fn run(policy: &str, seed: u64, ttft_p99: f64) -> Summary {
    Summary {
        scenario: "small".to_owned(),
        seed,
        policy: policy.to_owned(),
        seconds: 2,
        faults: "node-kill".to_owned(),
        started_unix_s: 0,
        invariants: [("exactly_once".to_owned(), Verdict::default())].into(),
        measures: Measures {
            ttft_ms: Percentiles {
                p99: ttft_p99,
                ..Percentiles::default()
            },
            ttft_curve: vec![QuantilePoint {
                quantile: 0.5,
                value: ttft_p99,
            }],
            ..Measures::default()
        },
        not_done: Vec::new(),
        series: Series {
            interval_s: 1.0,
            online_sent: vec![1, 9],
            ..Series::default()
        },
        events: vec![EventSpan {
            what: "node kill".to_owned(),
            place: "node-1".to_owned(),
            from_s: 0.5,
            to_s: 1.0,
        }],
        decisions: vec![DecisionLine {
            at_s: 0.7,
            node: "node-2".to_owned(),
            kind: "TakenOver".to_owned(),
            subjects: vec!["job j".to_owned()],
            cause: "<its holder is dead>".to_owned(),
            outcome: "taken over".to_owned(),
        }],
    }
}

fn ttft(baseline: &[f64], other: &[f64]) -> (f64, Significance) {
    let runs = |policy, values: &[f64]| -> Vec<Summary> {
        (1..)
            .zip(values)
            .map(|(seed, value)| run(policy, seed, *value))
            .collect()
    };
    let rows = compare(&runs("a", baseline), &runs("b", other));
    let row = rows
        .iter()
        .find(|row| row.name == "TTFT p99, ms")
        .expect("the measure is compared");
    (row.ratio, row.significance)
}

#[gtest]
fn difference_is_significant_only_if_all_seeds_agree() {
    let differs = ttft(&[10.0, 10.0, 20.0], &[11.0, 12.0, 26.0]);
    expect_that!(differs, (near(1.2, 1e-9), eq(Significance::Differs)));
    let noise = ttft(&[10.0, 10.0, 10.0], &[11.0, 12.0, 9.0]);
    expect_that!(noise.1, eq(Significance::Noise));
    let few = ttft(&[10.0], &[11.0]);
    expect_that!(few.1, eq(Significance::TooFewSeeds));
}

#[gtest]
fn only_the_same_seeds_are_compared() {
    let baseline = [run("a", 1, 10.0), run("a", 2, 10.0)];
    let rows = compare(&baseline, &[run("b", 2, 30.0), run("b", 3, 90.0)]);
    expect_that!(rows.iter().map(|row| row.seeds).max(), some(eq(1)));
    expect_that!(table(&rows).to_string(), contains_substring("3.000"));
}

#[gtest]
fn median_of_an_even_count_is_the_midpoint() {
    expect_that!(median(&[]), none());
    expect_that!(median(&[3.0, 1.0]), some(near(2.0, 1e-9)));
}

#[gtest]
fn page_lists_unchecked_invariants_and_escapes_text() {
    let groups = group(vec![run("online-only", 1, 10.0), run("preempt", 1, 12.0)]);
    expect_that!(groups, len(eq(1)));
    let page = page::render(&groups).expect("the page is made");
    expect_that!(page, contains_substring("not checked"));
    expect_that!(page, contains_substring("&lt;its holder is dead&gt;"));
    expect_that!(page, contains_substring("1.200 (1.200 to 1.200)"));
    expect_that!(page, contains_substring("<svg"));
    expect_that!(page, not(contains_substring("http://localhost")));
}
