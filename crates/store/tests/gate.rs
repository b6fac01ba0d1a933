//! Store gate with a scripted store, in virtual time.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dappleyard_settings::PlatformSettings;
use dappleyard_store::gate::{Admission, Breaker, CallClass, Limiter, RetryBudget, StoreGate};
use dappleyard_store::tables::Expect;
use dappleyard_store::{
    Changes, Machine, MachineList, ObjectData, ObjectStore, Platform, Row, StoreError, TableStore,
    Transaction,
};
use googletest::prelude::*;
use tokio::task::LocalSet;

/// Returns the given answers in order, then success, and records the transactions.
#[derive(Default)]
struct Scripted {
    answers: RefCell<VecDeque<Result<u64, StoreError>>>,
    sent: RefCell<Vec<Transaction>>,
    calls: Cell<u32>,
    down: Cell<bool>,
}

struct Client(Rc<Scripted>);

fn unavailable() -> StoreError {
    StoreError::Unavailable {
        reason: "down".to_owned(),
    }
}

#[async_trait(?Send)]
impl TableStore for Client {
    async fn transact(&self, transaction: Transaction) -> Result<u64, StoreError> {
        self.0.calls.set(self.0.calls.get() + 1);
        self.0.sent.borrow_mut().push(transaction);
        if self.0.down.get() {
            return Err(unavailable());
        }
        self.0.answers.borrow_mut().pop_front().unwrap_or(Ok(7))
    }

    async fn get(&self, _key: &str) -> Result<Option<Row>, StoreError> {
        self.0.calls.set(self.0.calls.get() + 1);
        if self.0.down.get() {
            Err(unavailable())
        } else {
            Ok(None)
        }
    }

    async fn range(&self, _p: &str, _a: &str, _l: usize) -> Result<Vec<Row>, StoreError> {
        Ok(Vec::new())
    }

    async fn changes(&self, _p: &str, _a: u64, wait_ms: u32) -> Result<Changes, StoreError> {
        tokio::time::sleep(Duration::from_millis(u64::from(wait_ms))).await;
        if self.0.down.get() {
            Err(unavailable())
        } else {
            Ok(Changes::default())
        }
    }
}

#[async_trait(?Send)]
impl ObjectStore for Client {
    async fn create(&self, _name: &str, _bytes: Bytes) -> Result<(), StoreError> {
        Ok(())
    }

    async fn read(&self, _n: &str, _o: u64, _l: u64) -> Result<Option<ObjectData>, StoreError> {
        Ok(None)
    }

    async fn delete(&self, _name: &str) -> Result<(), StoreError> {
        Ok(())
    }

    async fn list(&self, _p: &str, _a: &str, _l: usize) -> Result<Vec<(String, u64)>, StoreError> {
        Ok(Vec::new())
    }
}

#[async_trait(?Send)]
impl MachineList for Client {
    async fn machines(&self) -> Result<Vec<Machine>, StoreError> {
        Ok(Vec::new())
    }
}

/// Returns a platform behind a gate and its scripted store. The script is passed in a thread-local, since the factory must
/// be `Send`.
fn gated(settings: &PlatformSettings) -> (Platform, Rc<Scripted>) {
    thread_local! {
        static SCRIPT: RefCell<Rc<Scripted>> = RefCell::default();
    }
    let script = Rc::new(Scripted::default());
    SCRIPT.set(script.clone());
    let gate = StoreGate::new(settings, &prometheus::Registry::new());
    let factory = gate.wrap(Arc::new(|| {
        let script = SCRIPT.with_borrow(Rc::clone);
        Platform {
            tables: Rc::new(Client(script.clone())),
            objects: Rc::new(Client(script.clone())),
            machines: Rc::new(Client(script)),
        }
    }));
    (factory(), script)
}

fn put(key: &str) -> Transaction {
    Transaction::default()
        .expect(key, Expect::Absent)
        .put(key, "value")
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn writes_of_different_rows_are_merged() {
    LocalSet::new()
        .run_until(async {
            let (platform, script) = gated(&PlatformSettings::default());
            let tables = &platform.tables;
            let (first, second, third) = tokio::join!(
                tables.transact(put("chunk/a")),
                tables.transact(put("chunk/b")),
                tables.transact(put("chunk/a")),
            );
            expect_that!([first, second, third], each(ok(eq(&7))));
            // The third writes the same row as the first and is sent separately.
            expect_that!(script.calls.get(), eq(2));
            expect_that!(script.sent.borrow()[0].writes.len(), eq(2));
        })
        .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn conflict_fails_only_its_own_transaction() {
    LocalSet::new()
        .run_until(async {
            let (platform, script) = gated(&PlatformSettings::default());
            script
                .answers
                .borrow_mut()
                .push_back(Err(StoreError::Conflict {
                    key: "chunk/b".to_owned(),
                    actual: Some(3),
                }));
            let tables = &platform.tables;
            let (first, second) = tokio::join!(
                tables.transact(put("chunk/a")),
                tables.transact(put("chunk/b"))
            );
            expect_that!(first, ok(eq(&7)));
            expect_that!(second, err(anything()));
            expect_that!(script.sent.borrow().len(), eq(2));
            expect_that!(script.sent.borrow()[1].writes.len(), eq(1));
        })
        .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn ambiguous_write_is_not_retried() {
    LocalSet::new()
        .run_until(async {
            let (platform, script) = gated(&PlatformSettings::default());
            let lost = StoreError::Ambiguous {
                reason: "lost".to_owned(),
            };
            script.answers.borrow_mut().push_back(Err(lost.clone()));
            expect_that!(platform.tables.transact(put("job/a")).await, err(eq(&lost)));
            expect_that!(script.calls.get(), eq(1));
        })
        .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn breaker_limits_calls_during_an_outage_and_recovers() {
    LocalSet::new()
        .run_until(async {
            let settings = PlatformSettings::default();
            let (platform, script) = gated(&settings);
            script.down.set(true);
            let until = dappleyard_clock::Instant::now() + Duration::from_secs(120);
            let mut calls_made = 0;
            while dappleyard_clock::Instant::now() < until {
                calls_made += 1;
                expect_that!(platform.tables.get("job/a").await, err(anything()));
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            expect_that!(calls_made, gt(3_000));
            // About one probe per second, plus the calls before the breaker opened.
            expect_that!(script.calls.get(), lt(260));
            script.down.set(false);
            tokio::time::sleep(Duration::from_millis(2 * settings.breaker_probe_ms)).await;
            expect_that!(platform.tables.get("job/a").await, ok(none()));
        })
        .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn long_poll_does_not_keep_the_breaker_open() {
    LocalSet::new()
        .run_until(async {
            let settings = PlatformSettings::default();
            let (platform, script) = gated(&settings);
            script.down.set(true);
            for _ in 0..20 {
                let _ = platform.tables.get("job/a").await;
            }
            script.down.set(false);
            tokio::time::sleep(Duration::from_millis(2 * settings.breaker_probe_ms)).await;
            let calls_made = dappleyard_clock::Instant::now();
            let probe = platform.tables.changes("active-job/", 0, 10_000).await;
            expect_that!(probe, ok(anything()));
            expect_that!(calls_made.elapsed().as_millis(), lt(100));
            expect_that!(platform.tables.get("job/a").await, ok(none()));
        })
        .await;
}

#[gtest]
fn low_classes_leave_tokens_to_critical_calls() {
    let mut limiter = Limiter::new(10.0, 20.0, 0);
    let mut journal = 0;
    while limiter.take(CallClass::Journal, 0).is_ok() {
        journal += 1;
    }
    let mut critical = 0;
    while limiter.take(CallClass::Critical, 0).is_ok() {
        critical += 1;
    }
    expect_that!(journal, eq(10));
    expect_that!(critical, eq(10));
    expect_that!(limiter.take(CallClass::Critical, 0), err(eq(100)));
    expect_that!(limiter.take(CallClass::Critical, 100), ok(anything()));
}

#[gtest]
fn class_follows_from_keys() {
    let commit = Transaction::default()
        .expect("chunk/a/0", Expect::Revision(1))
        .expect("job/t/a", Expect::Revision(1))
        .put("chunk/a/0", "done");
    expect_that!(CallClass::of_transaction(&commit), eq(CallClass::Critical));
    let claim = put("chunk/a/0");
    expect_that!(CallClass::of_transaction(&claim), eq(CallClass::Batch));
    expect_that!(
        CallClass::of_key("config/service/a"),
        eq(CallClass::Control)
    );
    expect_that!(CallClass::of_key("once/t/key"), eq(CallClass::Critical));
}

#[gtest]
fn breaker_opens_after_consecutive_failures_and_probes() {
    let mut breaker = Breaker::new(3, 1_000);
    expect_that!(breaker.record_failure(0, 0.5), eq(false));
    breaker.record_success();
    for expected in [false, false, true] {
        expect_that!(breaker.record_failure(0, 0.5), eq(expected));
    }
    expect_that!(
        breaker.admit(500, 0.5),
        eq(Admission::No {
            retry_after_ms: 500
        })
    );
    expect_that!(breaker.admit(1_000, 0.5), eq(Admission::Probe));
    expect_that!(
        breaker.admit(1_000, 0.5),
        eq(Admission::No {
            retry_after_ms: 1_000
        })
    );
    expect_that!(breaker.record_success(), eq(true));
    expect_that!(breaker.admit(1_001, 0.5), eq(Admission::Yes));
}

#[gtest]
fn retries_are_limited_to_a_share_of_first_calls() {
    let mut budget = RetryBudget::new(20);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.credit_call();
        retries += u32::from(budget.take_retry());
    }
    expect_that!(retries, le(210));
    expect_that!(retries, ge(190));
}
