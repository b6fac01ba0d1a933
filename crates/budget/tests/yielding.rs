//! Which messages yield when the memory for them is used up.

use std::time::Duration;

use dappleyard_budget::{BudgetLimits, Charge, Ledger, MemoryBudget, MemoryShort};
use dappleyard_clock::Instant;
use googletest::prelude::*;

const KB: usize = 1_024;
const LIMITS: BudgetLimits = BudgetLimits {
    total_bytes: 1_000 * KB,
    reserve_bytes: 200 * KB,
};
/// Long enough for a message without progress to be given up.
const STALLED: Duration = Duration::from_secs(2);

#[gtest]
fn largest_stalled_first() {
    let (mut ledger, start) = (Ledger::new(LIMITS), Instant::now());
    let [small, large, new] = [(); 3].map(|()| ledger.open(start));
    expect_that!(ledger.charge(small, 300 * KB, start), eq(&Charge::Granted));
    expect_that!(ledger.charge(large, 500 * KB, start), eq(&Charge::Granted));
    let later = start + STALLED;
    let charge = ledger.charge(new, 100 * KB, later);
    expect_that!(charge, eq(&Charge::GrantedAfter(vec![large])));
    expect_that!(ledger.used_bytes(), eq(400 * KB));
}

#[gtest]
fn progress_protects() {
    let (mut ledger, start) = (Ledger::new(LIMITS), Instant::now());
    let [active, new] = [(); 2].map(|()| ledger.open(start));
    expect_that!(ledger.charge(active, 700 * KB, start), eq(&Charge::Granted));
    let later = start + STALLED;
    expect_that!(ledger.charge(active, 100 * KB, later), eq(&Charge::Granted));
    expect_that!(ledger.charge(new, 100 * KB, later), eq(&Charge::Refused));
}

// Guards against callers that keep what they hold by sending a byte now and then.
#[gtest]
fn trickle_is_no_progress() {
    let (mut ledger, start) = (Ledger::new(LIMITS), Instant::now());
    let [slow, new] = [(); 2].map(|()| ledger.open(start));
    expect_that!(
        ledger.charge(slow, 800 * KB - 10, start),
        eq(&Charge::Granted)
    );
    let later = start + STALLED;
    expect_that!(ledger.charge(slow, 10, later), eq(&Charge::Granted));
    let charge = ledger.charge(new, 100 * KB, later);
    expect_that!(charge, eq(&Charge::GrantedAfter(vec![slow])));
}

#[gtest]
fn whole_messages_stay() {
    let (mut ledger, start) = (Ledger::new(LIMITS), Instant::now());
    let [whole, new] = [(); 2].map(|()| ledger.open(start));
    expect_that!(ledger.charge(whole, 800 * KB, start), eq(&Charge::Granted));
    ledger.complete(whole);
    let later = start + STALLED;
    expect_that!(ledger.charge(new, 100 * KB, later), eq(&Charge::Refused));
    // A refused charge costs nothing.
    expect_that!(ledger.used_bytes(), eq(800 * KB));
    ledger.close(whole);
    expect_that!(ledger.charge(new, 100 * KB, later), eq(&Charge::Granted));
}

#[gtest]
fn reserve_for_small_messages() {
    let (mut ledger, start) = (Ledger::new(LIMITS), Instant::now());
    let [large, small, other] = [(); 3].map(|()| ledger.open(start));
    expect_that!(ledger.charge(large, 800 * KB, start), eq(&Charge::Granted));
    expect_that!(ledger.charge(large, KB, start), eq(&Charge::Refused));
    expect_that!(ledger.charge(small, 64 * KB, start), eq(&Charge::Granted));
    expect_that!(ledger.charge(small, KB, start), eq(&Charge::Refused));
    expect_that!(ledger.charge(other, KB, start), eq(&Charge::Granted));
}

#[gtest]
fn next_message_of_an_account() {
    let budget = MemoryBudget::new(LIMITS);
    let account = budget.open();
    expect_that!(account.charge(700 * KB), eq(Ok(())));
    account.give_up();
    expect_that!(account.is_given_up(), eq(true));
    expect_that!(account.charge(KB), eq(Err(MemoryShort)));
    account.restart();
    expect_that!(account.charge(KB), eq(Ok(())));
    drop(account);
    expect_that!(budget.used_bytes(), eq(0));
}
