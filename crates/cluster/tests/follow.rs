//! Following a table through outages and compaction, in virtual time.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use dappleyard_clock::Instant;
use dappleyard_cluster::{Contact, TableSink, follow};
use dappleyard_emulator::EmulatedRows;
use dappleyard_model::{Committed, EventLog, Feed, Row, RowStore, Rows, StoreError, Transaction};
use googletest::prelude::*;

const TABLE: &str = "things";

#[derive(Default)]
struct Sink {
    rows: RefCell<BTreeMap<String, u64>>,
    contact: Cell<Option<Instant>>,
    newest: Cell<u64>,
    revision_decreased: Cell<bool>,
    min_poll_interval: Cell<Duration>,
    partitioned: Cell<bool>,
}

impl TableSink for Sink {
    fn table(&self) -> &'static str {
        TABLE
    }

    fn is_partitioned(&self) -> bool {
        self.partitioned.get()
    }

    fn min_poll_interval(&self) -> Duration {
        self.min_poll_interval.get()
    }

    fn replace(&self, rows: Vec<Row>, _revision: u64) {
        let rows = rows.into_iter().map(|row| (row.key, row.revision));
        *self.rows.borrow_mut() = rows.collect();
    }

    fn change(&self, row: Row) {
        match row.value {
            Some(_) => self.rows.borrow_mut().insert(row.key, row.revision),
            None => self.rows.borrow_mut().remove(&row.key),
        };
    }

    fn contact(&self, contact: &Contact) {
        let revision = contact.revision;
        self.revision_decreased
            .set(self.revision_decreased.get() || revision < self.newest.get());
        self.newest.set(revision);
        self.contact.set(Some(Instant::now()));
    }
}

fn in_virtual_time<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

fn start(rows: &EmulatedRows) -> Rc<Sink> {
    let sink = Rc::new(Sink::default());
    let (rows, followed) = (rows.clone(), sink.clone());
    tokio::task::spawn_local(async move {
        follow(&rows, followed.as_ref(), &EventLog::silent()).await;
    });
    sink
}

fn keys(sink: &Sink) -> Vec<String> {
    sink.rows.borrow().keys().cloned().collect()
}

#[gtest]
fn contact_resumes_after_an_outage() {
    in_virtual_time(async {
        let rows = EmulatedRows::default();
        let sink = start(&rows);
        tokio::time::sleep(Duration::from_secs(1)).await;
        rows.set_down(true);
        tokio::time::sleep(Duration::from_secs(5)).await;
        rows.set_down(false);
        let back = Instant::now();
        // The table does not change in between.
        tokio::time::sleep(Duration::from_millis(600)).await;
        expect_that!(sink.contact.get().is_some_and(|at| at >= back), eq(true));
    });
}

#[gtest]
fn compaction_loses_no_change() {
    in_virtual_time(async {
        let rows = EmulatedRows::default();
        rows.write(TABLE, "", "a", "1");
        let sink = start(&rows);
        tokio::time::sleep(Duration::from_millis(100)).await;
        rows.set_down(true);
        tokio::time::sleep(Duration::from_secs(3)).await;
        rows.write(TABLE, "", "b", "1");
        rows.remove(TABLE, "", "a");
        rows.compact_history();
        rows.set_down(false);
        tokio::time::sleep(Duration::from_secs(1)).await;
        expect_that!(keys(&sink), eq(&["b"]));
        rows.write(TABLE, "", "c", "1");
        tokio::time::sleep(Duration::from_millis(100)).await;
        expect_that!(keys(&sink), eq(&["b", "c"]));
        expect_that!(sink.revision_decreased.get(), eq(false));
    });
}

#[gtest]
fn table_with_many_pages() {
    in_virtual_time(async {
        let rows = EmulatedRows::default();
        for number in 0..1_203 {
            rows.write(TABLE, "", &format!("key-{number:05}"), "1");
        }
        let sink = start(&rows);
        tokio::time::sleep(Duration::from_secs(1)).await;
        expect_that!(keys(&sink).len(), eq(1_203));
    });
}

#[gtest]
fn table_with_many_pages_and_failing_reads() {
    in_virtual_time(async {
        let rows = EmulatedRows::default();
        for number in 0..10_000 {
            rows.write(TABLE, "", &format!("key-{number:05}"), "1");
        }
        rows.refuse_reads_at_random(3, 0.5);
        let sink = start(&rows);
        tokio::time::sleep(Duration::from_secs(6)).await;
        expect_that!(keys(&sink).len(), eq(10_000));
    });
}

#[gtest]
fn busy_table_is_polled_at_its_min_interval() {
    in_virtual_time(async {
        let rows = EmulatedRows::default();
        let sink = start(&rows);
        sink.min_poll_interval.set(Duration::from_millis(200));
        tokio::time::sleep(Duration::from_millis(50)).await;
        let before = rows.feed_calls();
        for number in 0..400 {
            rows.write(TABLE, "", &format!("key-{}", number % 7), "1");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        // Two seconds of changes, with 200 ms between calls.
        expect_that!(rows.feed_calls() - before, le(11));
        tokio::time::sleep(Duration::from_millis(210)).await;
        expect_that!(keys(&sink).len(), eq(7));
        expect_that!(sink.newest.get(), eq(400));
    });
}

/// A store that gains a partition right after the partitions are listed.
struct AddsPartitionAfterListing(EmulatedRows);

#[async_trait(?Send)]
impl RowStore for AddsPartitionAfterListing {
    async fn transact(&self, transaction: &Transaction) -> Result<Committed, StoreError> {
        self.0.transact(transaction).await
    }

    async fn read(
        &self,
        table: &'static str,
        part: &str,
        from: &str,
        to: &str,
        limit: usize,
    ) -> Result<Rows, StoreError> {
        self.0.read(table, part, from, to, limit).await
    }

    async fn parts(&self, table: &'static str) -> Result<Vec<String>, StoreError> {
        let parts = self.0.parts(table).await;
        self.0.write(table, "new", "b", "1");
        parts
    }

    async fn feed(
        &self,
        table: &'static str,
        after: u64,
        wait_ms: u64,
    ) -> Result<Feed, StoreError> {
        self.0.feed(table, after, wait_ms).await
    }
}

#[gtest]
fn partition_created_during_the_first_read() {
    in_virtual_time(async {
        let rows = EmulatedRows::default();
        rows.write(TABLE, "old", "a", "1");
        let sink = Rc::new(Sink::default());
        sink.partitioned.set(true);
        let (store, followed) = (AddsPartitionAfterListing(rows), sink.clone());
        tokio::task::spawn_local(async move {
            follow(&store, followed.as_ref(), &EventLog::silent()).await;
        });
        tokio::time::sleep(Duration::from_secs(1)).await;
        expect_that!(keys(&sink), elements_are![eq("a"), eq("b")]);
    });
}
