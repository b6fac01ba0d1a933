//! The in-memory platform follows the contract of the traits.

use dappleyard_store::{Expect, Fault, MemoryPlatform, StoreError, TableStore, Transaction};
use googletest::prelude::*;

#[gtest]
#[tokio::test]
async fn atomic_transactions_and_conflict_rows() -> Result<()> {
    let store = MemoryPlatform::default();
    let first = Transaction::default().put("a", "1").put("b", "1");
    expect_that!(store.transact(first).await, ok(eq(&1)));
    let second = Transaction::default()
        .expect("a", Expect::Revision(1))
        .expect("b", Expect::Absent)
        .put("a", "2");
    let conflict = StoreError::Conflict {
        key: "b".to_owned(),
        actual: Some(1),
    };
    expect_that!(store.transact(second).await, err(eq(&conflict)));
    expect_that!(store.row("a").or_fail()?.revision, eq(1));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn lost_answers_before_and_after_effect() -> Result<()> {
    let store = MemoryPlatform::default();
    store.fail_transactions([Some(Fault::LostBeforeEffect), Some(Fault::LostAfterEffect)]);
    for key in ["before", "after"] {
        let answer = store.transact(Transaction::default().put(key, "1")).await;
        expect_that!(answer, err(pat!(StoreError::Ambiguous { .. })));
    }
    expect_that!(store.row("before"), none());
    expect_that!(store.row("after"), some(anything()));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn change_feed_is_ordered_and_reports_compaction() -> Result<()> {
    let store = MemoryPlatform::default();
    store
        .transact(Transaction::default().put("config/a", "1"))
        .await
        .or_fail()?;
    store
        .transact(Transaction::default().put("job/x", "1").delete("config/a"))
        .await
        .or_fail()?;
    let changes = store.changes("config/", 0, 0).await.or_fail()?;
    let revisions: Vec<u64> = changes
        .rows
        .iter()
        .map(|(_, revision, _)| *revision)
        .collect();
    expect_that!(revisions, elements_are![eq(&1), eq(&2)]);
    expect_that!(changes.up_to, eq(2));
    store.compact();
    let compacted = store.changes("config/", 1, 0).await.or_fail()?;
    expect_that!(compacted.compacted, eq(true));
    Ok(())
}
