//! Caller identification by key, and its dependence on the age of the configuration.

use std::time::Duration;

use dappleyard_model::{
    Bounds, Configuration, KeyDigest, QuotaBounds, Tenant, TenantHeader, TenantName, Tenants,
    TrafficLimits,
};
use dappleyard_tenants::{Caller, ConfigurationStatus, KeyRefusal, identify};
use googletest::prelude::*;

const BOUNDS: Bounds = Bounds {
    grace_ms: 8_000,
    directory_ttl_ms: 5_000,
    status_ms: 120_000,
    settle_ms: 1_000,
    config_apply_ms: 3_000,
    revoke_ms: 5_000,
    revoke_strict: false,
    quota: QuotaBounds {
        window_ms: 5_000,
        over: 0.1,
        slack: 20.0,
    },
    evacuation_ms: 5_000,
    cold: None,
};

fn tenant(name: &str) -> Tenant {
    Tenant {
        name: name.parse::<TenantName>().expect("a name"),
        priority: None,
        limit: None,
        home_regions: Vec::new(),
    }
}

fn configuration(tenants: Option<Tenants>) -> Configuration {
    Configuration {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        limits: TrafficLimits {
            max_body_bytes: 1,
            idle_timeout_ms: 1,
        },
        tenants,
    }
}

fn two_tenants() -> Configuration {
    let mut tenants = Tenants::default();
    let keys = ["one", "other"].map(KeyDigest::of);
    tenants.add(tenant("a"), &keys).expect("keys of its own");
    let keys = ["third"].map(KeyDigest::of);
    tenants.add(tenant("b"), &keys).expect("keys of its own");
    configuration(Some(tenants))
}

fn aged(seconds: u64, in_majority: bool) -> ConfigurationStatus {
    ConfigurationStatus {
        age: Some(Duration::from_secs(seconds)),
        in_majority,
    }
}

fn identify_name(
    key: Option<&str>,
    public: bool,
    status: ConfigurationStatus,
) -> Result<String, KeyRefusal> {
    let key = key.map(KeyDigest::of);
    let caller = identify(&two_tenants(), public, key.as_ref(), status, &BOUNDS);
    caller.map(|caller| caller.tenant_name().to_owned())
}

#[gtest]
fn key_identifies_tenant() {
    let recent = aged(1, true);
    expect_that!(identify_name(Some("one"), false, recent), ok(eq("a")));
    expect_that!(identify_name(Some("other"), false, recent), ok(eq("a")));
    expect_that!(identify_name(Some("third"), false, recent), ok(eq("b")));
    expect_that!(
        identify_name(Some("nothing"), false, recent),
        err(eq(&KeyRefusal::Unknown))
    );
    expect_that!(
        identify_name(None, false, recent),
        err(eq(&KeyRefusal::Unknown))
    );
}

#[gtest]
fn public_routes_need_no_key() {
    let recent = aged(1, true);
    expect_that!(identify_name(None, true, recent), ok(eq("")));
    expect_that!(identify_name(Some("nothing"), true, recent), ok(eq("")));
    expect_that!(identify_name(Some("one"), true, recent), ok(eq("a")));
    let caller = identify(&two_tenants(), true, None, recent, &BOUNDS).expect("a caller");
    expect_that!(caller.tenant_header(), eq(TenantHeader::NoTenant));
}

#[gtest]
fn configuration_without_tenants() {
    let plain = configuration(None);
    let caller = identify(&plain, false, None, aged(60, false), &BOUNDS).expect("a caller");
    expect_that!(&caller, eq(&Caller::TenantsDisabled));
    expect_that!(caller.tenant_header(), eq(TenantHeader::Unchanged));
}

#[gtest]
fn old_configuration_rejects_no_key() {
    let old = aged(4, true);
    expect_that!(
        identify_name(Some("nothing"), false, old),
        err(eq(&KeyRefusal::Unverifiable))
    );
    expect_that!(
        identify_name(None, false, old),
        err(eq(&KeyRefusal::Unverifiable))
    );
    expect_that!(identify_name(Some("one"), false, old), ok(eq("a")));
}

#[gtest]
fn isolated_node_accepts_no_key() {
    let unsure = err(eq(&KeyRefusal::Unverifiable));
    expect_that!(
        identify_name(Some("one"), false, aged(4, false)),
        ok(eq("a"))
    );
    expect_that!(identify_name(Some("one"), false, aged(6, false)), unsure);
    // A node in the majority accepts keys of an old configuration: while the store is down, no newer one takes effect.
    expect_that!(
        identify_name(Some("one"), false, aged(60, true)),
        ok(eq("a"))
    );
    let strict = Bounds {
        revoke_strict: true,
        ..BOUNDS
    };
    let key = KeyDigest::of("one");
    let status = aged(6, true);
    let result = identify(&two_tenants(), false, Some(&key), status, &strict);
    expect_that!(result, err(eq(&KeyRefusal::Unverifiable)));
}

#[gtest]
fn keys_are_never_printed() {
    let text = format!("{:?}", KeyDigest::of("secret"));
    expect_that!(text, eq("KeyDigest(redacted)"));
    let shown = format!("{:?}", two_tenants());
    expect_that!(shown, not(contains_substring("third")));
}

#[gtest]
fn duplicate_key_is_rejected() {
    let mut tenants = Tenants::default();
    let keys = ["one", "other"].map(KeyDigest::of);
    tenants.add(tenant("a"), &keys).expect("keys of its own");
    let keys = ["new", "other"].map(KeyDigest::of);
    let refused = tenants.add(tenant("b"), &keys).expect_err("a shared key");
    expect_that!(refused.position, eq(1));
    expect_that!(refused.holder.as_str(), eq("a"));
}
