//! State of the platform services, without HTTP.

use std::time::Instant;

use bytes::Bytes;
use dappleyard_standin::platform::PlatformStandInSettings;
use dappleyard_standin::platform::machines::MachineState;
use dappleyard_standin::platform::tables::TableState;
use dappleyard_standin::platform::weights::WeightState;
use dappleyard_store::{Expect, Machine, MachineRole, StoreError, Transaction};
use googletest::prelude::*;

fn tables() -> TableState {
    TableState::new(&PlatformStandInSettings {
        maximum_feed_answer: 3,
        feed_changes: 10,
        ..PlatformStandInSettings::default()
    })
}

fn put(key: &str, value: &'static str) -> Transaction {
    Transaction::default().put(key, value)
}

#[gtest]
fn transactions_are_atomic() {
    let mut tables = tables();
    tables.transact(put("a", "1")).expect("applied");
    let both = Transaction::default()
        .expect("a", Expect::Revision(1))
        .expect("b", Expect::Present)
        .put("a", "2")
        .put("c", "2");
    expect_that!(
        tables.transact(both),
        err(eq(&StoreError::Conflict {
            key: "b".to_owned(),
            actual: None
        }))
    );
    expect_that!(tables.peek("c"), none());
    expect_that!(tables.revision(), eq(1));

    let both = Transaction::default()
        .expect("a", Expect::Revision(1))
        .expect("b", Expect::Absent)
        .put("b", "2")
        .delete("a");
    expect_that!(tables.transact(both), ok(eq(&2)));
    expect_that!(tables.peek("a"), none());
    let row = tables.peek("b").expect("written");
    expect_that!((row.revision, row.value), eq(&(2, Bytes::from("2"))));
}

#[gtest]
fn transaction_without_writes_keeps_the_revision() {
    let mut tables = tables();
    tables.transact(put("a", "1")).expect("applied");
    let only = Transaction::default().expect("a", Expect::Present);
    expect_that!(tables.transact(only), ok(eq(&1)));
    expect_that!(tables.revision(), eq(1));
}

#[gtest]
fn recreated_row_has_a_new_revision() {
    let mut tables = tables();
    tables.transact(put("a", "1")).expect("applied");
    tables
        .transact(Transaction::default().delete("a"))
        .expect("applied");
    tables.transact(put("a", "1")).expect("applied");
    let old = Transaction::default().expect("a", Expect::Revision(1));
    expect_that!(
        tables.transact(old),
        err(matches_pattern!(StoreError::Conflict {
            actual: some(eq(&3)),
            ..
        }))
    );
}

#[gtest]
fn range_continues_after_a_key_within_its_prefix() {
    let mut tables = tables();
    for key in ["job/a/1", "job/a/2", "job/a/3", "job0", "jo", "job/b"] {
        tables.transact(put(key, "x")).expect("applied");
    }
    let keys = |rows: Vec<dappleyard_store::Row>| -> Vec<String> {
        rows.into_iter().map(|row| row.key).collect()
    };
    let first = keys(tables.range("job/", "", 2));
    expect_that!(first, eq(&["job/a/1", "job/a/2"]));
    let rest = keys(tables.range("job/", "job/a/2", 10));
    expect_that!(rest, eq(&["job/a/3", "job/b"]));
    expect_that!(tables.range("job/", "job/z", 10), is_empty());
}

#[gtest]
fn feed_does_not_split_transactions() {
    let mut tables = tables();
    tables
        .transact(put("c/1", "x").put("c/2", "x"))
        .expect("applied");
    tables.transact(put("other", "x")).expect("applied");
    tables
        .transact(put("c/3", "x").put("c/4", "x").delete("c/1"))
        .expect("applied");
    tables.transact(put("c/5", "x")).expect("applied");

    let first = tables.changes("c/", 0);
    let revisions: Vec<u64> = first.rows.iter().map(|row| row.1).collect();
    expect_that!(
        revisions,
        eq(&[1, 1, 3, 3, 3]),
        "transactions are not split"
    );
    expect_that!(first.rows[4].2, none());
    expect_that!(first.up_to, eq(3));
    let second = tables.changes("c/", first.up_to);
    expect_that!(second.rows, len(eq(1)));
    expect_that!(second.up_to, eq(4));
    expect_that!(tables.changes("c/", 4).rows, is_empty());
}

#[gtest]
fn feed_reports_compaction() {
    let mut tables = tables();
    for number in 0..12 {
        tables
            .transact(put(&format!("c/{number}"), "x"))
            .expect("applied");
    }
    expect_true!(tables.changes("c/", 1).compacted);
    expect_false!(tables.changes("c/", 2).compacted);
    tables.compact_to(7);
    expect_true!(tables.changes("c/", 6).compacted);
    expect_that!(
        tables.changes("c/", 7).rows.first().map(|row| row.1),
        some(eq(8))
    );
}

#[gtest]
fn history_lists_writes_in_order() {
    let started = Instant::now();
    let mut tables = tables();
    tables
        .transact(put("job/1", "x").put("chunk/1", "x"))
        .expect("applied");
    tables.transact(put("other", "x")).expect("applied");
    tables
        .transact(Transaction::default().delete("job/1").delete("job/2"))
        .expect("applied");
    let history = tables.history(&["job/", "chunk/"], started);
    let rows: Vec<(u64, &str, bool)> = history
        .iter()
        .map(|row| (row.revision, row.key.as_str(), row.value.is_some()))
        .collect();
    expect_that!(
        rows,
        eq(&[
            (1, "job/1", true),
            (1, "chunk/1", true),
            (3, "job/1", false)
        ])
    );
    expect_true!(history.is_sorted_by_key(|row| row.at_ms));
}

fn machine(name: &str) -> Machine {
    Machine {
        name: name.to_owned(),
        role: MachineRole::Server,
        region: "bengal".into(),
        zone: "howrah".into(),
        hall: "howrah".to_owned(),
        address: String::new(),
        service: "service".into(),
        leaving: false,
    }
}

#[gtest]
fn machine_list_lags() {
    let mut machines = MachineState::new(2_000_000);
    machines.set_initial(vec![machine("a")]);
    expect_that!(
        machines.visible(0),
        len(eq(1)),
        "the initial list has no lag"
    );
    machines.change(1_000_000, |list| {
        list.insert("b".to_owned(), machine("b"));
    });
    machines.change(1_500_000, |list| {
        list.remove("a");
    });
    expect_that!(machines.current().len(), eq(1));
    expect_that!(machines.visible(2_900_000), len(eq(1)));
    expect_that!(machines.visible(3_000_000), len(eq(2)));
    let later = machines.visible(3_500_000);
    expect_that!(later, elements_are![field!(Machine.name, eq("b"))]);
}

#[gtest]
fn loads_share_the_bandwidth_of_the_weight_store() {
    let mut weights = WeightState::new(1_000.0, 500.0, &["broken".to_owned()]);
    expect_that!(weights.load(0, "v1"), ok(eq(&2_000_000)));
    expect_that!(weights.load(500_000, "v1"), ok(eq(&3_500_000)));
    expect_true!(weights.load(600_000, "broken").is_err());
    expect_that!(weights.load(9_000_000, "v1"), ok(eq(&2_000_000)));
}
