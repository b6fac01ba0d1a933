//! Reports of zones in other regions, whose messages take longer.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::{QuotaBounds, RateLimit, Tenant, Tenants};
use dappleyard_tenants::{Ledger, ZonePassed, tenant_number};
use googletest::prelude::*;

const BOUNDS: QuotaBounds = QuotaBounds {
    window_ms: 5_000,
    over: 0.1,
    slack: 20.0,
};
const TENANT: &str = "a";
const QUOTA_PER_S: f64 = 100.0;
/// Message delay between two regions.
const REGION_DELAY: Duration = Duration::from_millis(20);
const ZONE: u64 = 7;
const DELEGATE: (u64, u64) = (8, 1);

fn tenants() -> Tenants {
    let mut tenants = Tenants::default();
    let tenant = Tenant {
        name: TENANT.parse().expect("a name"),
        limit: Some(RateLimit {
            per_s: QUOTA_PER_S,
            burst: 100.0,
        }),
        priority: None,
        home_regions: Vec::new(),
    };
    tenants.add(tenant, &[]).expect("a tenant without a key");
    tenants
}

/// Credit that is added within 10 ms, at the given time after the last report of another zone.
fn growth(after: Duration, extra_delay: Duration) -> f64 {
    let number = tenant_number(TENANT);
    let mut now = Instant::now();
    let mut ledger = Ledger::new(BOUNDS, 1, now);
    ledger.set_limits(Some(&tenants()), now);
    ledger.set_role(true, 1.0, now);
    now += Duration::from_secs(10);
    while ledger.take(number, now).is_ok() {}
    let report = ZonePassed {
        counts: &[],
        heard_fraction: 1.0,
    };
    ledger.note_zone(ZONE, DELEGATE, &report, now);
    ledger.set_extra_delay(ZONE, extra_delay);
    now += after;
    // Updates the fraction of the fleet that counts as heard.
    ledger.zone_passed(false, now);
    let before = ledger.level(number, now).expect("a level");
    now += Duration::from_millis(10);
    ledger.level(number, now).expect("a level") - before
}

#[gtest]
fn reports_of_remote_zones_expire_later() {
    let ms = Duration::from_millis;
    let full_growth = QUOTA_PER_S / 100.0;
    let near = |value: f64, expected: f64| (value - expected).abs() < 1e-6;
    for (after, extra_delay, expected) in [
        (ms(230), Duration::ZERO, full_growth),
        (ms(255), Duration::ZERO, full_growth / 2.0),
        (ms(255), REGION_DELAY, full_growth),
        // The age limit is extended by exactly the extra delay.
        (ms(275), REGION_DELAY, full_growth / 2.0),
    ] {
        let grown = growth(after, extra_delay);
        expect_that!(
            near(grown, expected),
            eq(true),
            "{after:?}, {extra_delay:?}: {grown}"
        );
    }
}
