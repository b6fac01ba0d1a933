//! Instants and waits across a simulated suspension. A single test, since the simulation affects the whole process.

use std::time::Duration;

use dappleyard_clock::{Elapsed, Instant, simulate_suspension, sleep_until, suspended, timeout};
use googletest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

#[gtest]
fn instants_and_timeouts_include_suspensions() {
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
        simulate_suspension(8 * SECOND);
        expect_that!(before.elapsed(), eq(9 * SECOND));
        expect_that!(suspended(), eq(8 * SECOND));
        // Virtual time still advances normally.
        tokio::time::advance(SECOND).await;
        expect_that!(before.elapsed(), eq(10 * SECOND));

        // A timeout of 5 s with a suspension of 4 s after the first second ends at most half a second later.
        let waiting = tokio::spawn(timeout(5 * SECOND, std::future::pending::<()>()));
        tokio::time::sleep(SECOND).await;
        simulate_suspension(4 * SECOND);
        let timer = tokio::time::Instant::now();
        expect_that!(waiting.await.expect("a result"), err(eq(Elapsed)));
        expect_that!(timer.elapsed(), le(SECOND / 2));

        let deadline = Instant::now() + SECOND;
        sleep_until(deadline).await;
        expect_that!(Instant::now(), ge(deadline));
        expect_that!(timeout(SECOND, async { 7 }).await, ok(eq(7)));
    });
}
