//! The two clocks move apart. One test: what it pretends holds for the whole process.

use std::time::Duration;

use dappleyard_clock::{Instant, TimeOver, pretend_suspension, sleep_until, suspended, timeout};
use googletest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

#[gtest]
fn ages_and_waits() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        expect_that!(suspended(), eq(Duration::ZERO));
        let before = Instant::now();
        tokio::time::advance(SECOND).await;
        expect_that!(before.elapsed(), eq(SECOND));
        pretend_suspension(8 * SECOND);
        expect_that!(before.elapsed(), eq(9 * SECOND));
        expect_that!(suspended(), eq(8 * SECOND));
        // Virtual time goes on as before.
        tokio::time::advance(SECOND).await;
        expect_that!(before.elapsed(), eq(10 * SECOND));

        // A wait of five seconds, suspended for four after the first, is over within the sixth.
        let waiting = tokio::spawn(timeout(5 * SECOND, std::future::pending::<()>()));
        tokio::time::sleep(SECOND).await;
        pretend_suspension(4 * SECOND);
        let timer = tokio::time::Instant::now();
        expect_that!(waiting.await.expect("a result"), err(eq(TimeOver)));
        expect_that!(timer.elapsed(), le(SECOND / 2));

        let until = Instant::now() + SECOND;
        sleep_until(until).await;
        expect_that!(Instant::now(), ge(until));
        expect_that!(timeout(SECOND, async { 7 }).await, ok(eq(7)));
    });
}
