//! Process settings and initial configuration, derived from the scenario.

use dappleyard_settings::{
    BatchSettings, FleetSettings, Location, NodeSettings, PlatformSettings, SidecarSettings,
};
use dappleyard_store::Transaction;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{ServiceRow, TenantRow};
use prost::Message;

use super::{Fleet, Instance};
use crate::load::plan::ONCE_TENANT;
use crate::scenario::{Policy, Scenario};

/// Loopback address with a port chosen by the operating system.
pub const ANY_PORT: &str = "127.0.0.1:0";
/// Rate limit that the load of an experiment never reaches.
const HIGH_RATE_LIMIT: f64 = 100_000.0;
/// Jobs up to this many items need no operator approval.
const AUTO_APPROVED_ITEMS: u32 = 400_000;

/// The rows written before the first node starts, as one transaction.
pub fn initial_configuration(scenario: &Scenario, policy: Policy) -> Transaction {
    let mut change = Transaction::default().put(keys::CONFIGURATION_HEAD, "0");
    for name in scenario.services(policy) {
        let service = service(scenario, name);
        change = change.put(keys::service(&service.name), service.encode_to_vec());
    }
    for tenant in tenants(scenario) {
        change = change.put(keys::tenant(&tenant.name), tenant.encode_to_vec());
    }
    change
}

fn service(scenario: &Scenario, name: String) -> ServiceRow {
    ServiceRow {
        name,
        version: scenario.service.version.clone(),
        online_slowdown_percent: scenario.service.online_slowdown_percent,
        max_unavailable_zone: 1,
        max_unavailable_total: 2,
        max_prompt_tokens: 8_192,
        max_output_tokens: 4_096,
        ..ServiceRow::default()
    }
}

fn tenants(scenario: &Scenario) -> Vec<TenantRow> {
    let with_high_limits = |name: &str| TenantRow {
        name: name.to_owned(),
        requests_per_s: HIGH_RATE_LIMIT,
        requests_burst: HIGH_RATE_LIMIT,
        concurrent_tokens: 0,
        batch_weight: 1,
        standing_batch_items: AUTO_APPROVED_ITEMS,
    };
    let mut tenants = vec![
        with_high_limits(&scenario.online.tenant),
        with_high_limits(ONCE_TENANT),
    ];
    tenants.extend(
        scenario
            .batch
            .tenants
            .iter()
            .map(|name| with_high_limits(name)),
    );
    tenants.push(TenantRow {
        requests_per_s: scenario.refused.allowed_per_s,
        requests_burst: scenario.refused.allowed_per_s.max(1.0),
        ..with_high_limits(&scenario.refused.tenant)
    });
    tenants
}

pub fn node(fleet: &Fleet, instance: &Instance) -> NodeSettings {
    let processes = &fleet.scenario.processes;
    NodeSettings {
        id: instance.name.clone(),
        place: place(instance),
        link_listen: ANY_PORT.to_owned(),
        gossip_listen: ANY_PORT.to_owned(),
        admin_listen: ANY_PORT.to_owned(),
        workers: processes.node_workers,
        stop_bound_ms: processes.stop_bound_ms,
        platform: PlatformSettings {
            tables_url: fleet.platform.tables_url(),
            objects_url: fleet.platform.objects_url(),
            machines_url: fleet.platform.machines_url(),
            ..PlatformSettings::default()
        },
        fleet: FleetSettings {
            seeds: fleet.gossip_addresses(),
            ..FleetSettings::default()
        },
        batch: batch(fleet.policy, &fleet.scenario),
        ..NodeSettings::default()
    }
}

fn batch(policy: Policy, scenario: &Scenario) -> BatchSettings {
    BatchSettings {
        policy: policy.batch_policy(),
        chunk_target_ms: scenario.processes.chunk_target_ms,
        online_slowdown_percent: scenario.service.online_slowdown_percent,
        ..BatchSettings::default()
    }
}

pub fn sidecar(fleet: &Fleet, instance: &Instance) -> SidecarSettings {
    SidecarSettings {
        id: instance.name.clone(),
        place: place(instance),
        listen: ANY_PORT.to_owned(),
        nodes: fleet.link_addresses(),
        workers: fleet.scenario.processes.sidecar_workers,
        ..SidecarSettings::default()
    }
}

fn place(instance: &Instance) -> Location {
    Location {
        zone: instance.location.zone.clone(),
        region: instance.location.region.clone(),
    }
}
