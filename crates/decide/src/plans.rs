//! Division of a plan's disruptions into waves, with the capacity that remains during each wave.

use std::collections::BTreeMap;

use crate::disruption::Budget;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedServer {
    pub server: String,
    pub service: String,
    pub zone: String,
    /// Whether it currently serves requests.
    pub serving: bool,
}

/// State of the servers after their wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterWave {
    /// Back in service.
    Return,
    /// Remain out of service.
    StayOut,
}

/// Capacity of a service in a zone during a wave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Capacity {
    pub service: String,
    pub zone: String,
    /// Servers in service during the wave.
    pub serving: u32,
    /// Servers in service before the plan.
    pub before: u32,
}

/// Servers taken out of service together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    pub servers: Vec<String>,
    /// Remaining capacity of each affected service and zone.
    pub capacity: Vec<Capacity>,
}

/// Limits on the size of a wave.
#[derive(Debug, Clone)]
pub struct WaveBounds {
    /// Budgets by service; services without an entry have the default budget.
    pub budgets: BTreeMap<String, Budget>,
    /// Maximum servers per wave, independent of the budgets.
    pub concurrency: usize,
}

/// Divides the disruption of `targets` into waves within the budgets. Servers that are not serving
/// do not count and are part of the first wave.
pub fn waves(
    targets: &[PlannedServer],
    all: &[PlannedServer],
    bounds: &WaveBounds,
    after: AfterWave,
) -> Vec<Wave> {
    let affected = service_zones(targets);
    let before = serving(all, &affected);
    let mut now = before.clone();
    let mut waiting: Vec<&PlannedServer> = targets.iter().collect();
    let mut waves = Vec::new();
    while !waiting.is_empty() {
        let (wave, rest) = next_wave(&waiting, bounds);
        let mut during = now.clone();
        for server in wave.iter().filter(|server| server.serving) {
            if let Some(count) = during.get_mut(&service_zone(server)) {
                *count = count.saturating_sub(1);
            }
        }
        waves.push(Wave {
            servers: wave.iter().map(|server| server.server.clone()).collect(),
            capacity: capacity(&during, &before),
        });
        if after == AfterWave::StayOut {
            now = during;
        }
        waiting = rest;
    }
    waves
}

type ServiceZone = (String, String);

fn service_zone(server: &PlannedServer) -> ServiceZone {
    (server.service.clone(), server.zone.clone())
}

fn service_zones(servers: &[PlannedServer]) -> Vec<ServiceZone> {
    let mut service_zones: Vec<ServiceZone> = servers.iter().map(service_zone).collect();
    service_zones.sort();
    service_zones.dedup();
    service_zones
}

fn serving(all: &[PlannedServer], service_zones: &[ServiceZone]) -> BTreeMap<ServiceZone, u32> {
    let mut counts: BTreeMap<ServiceZone, u32> = service_zones
        .iter()
        .map(|service_zone| (service_zone.clone(), 0))
        .collect();
    for server in all.iter().filter(|server| server.serving) {
        if let Some(count) = counts.get_mut(&service_zone(server)) {
            *count += 1;
        }
    }
    counts
}

fn capacity(
    during: &BTreeMap<ServiceZone, u32>,
    before: &BTreeMap<ServiceZone, u32>,
) -> Vec<Capacity> {
    during
        .iter()
        .map(|((service, zone), serving)| Capacity {
            service: service.clone(),
            zone: zone.clone(),
            serving: *serving,
            before: before
                .get(&(service.clone(), zone.clone()))
                .copied()
                .unwrap_or(0),
        })
        .collect()
}

/// Takes servers in order up to the limits. The first server is always included, so planning
/// terminates even with an exhausted budget; the disruption is then delayed at execution.
fn next_wave<'a>(
    waiting: &[&'a PlannedServer],
    bounds: &WaveBounds,
) -> (Vec<&'a PlannedServer>, Vec<&'a PlannedServer>) {
    let mut in_zone: BTreeMap<ServiceZone, u32> = BTreeMap::new();
    let mut in_service: BTreeMap<&str, u32> = BTreeMap::new();
    let mut wave = Vec::new();
    let mut rest = Vec::new();
    for server in waiting {
        let budget = bounds
            .budgets
            .get(&server.service)
            .copied()
            .unwrap_or_else(|| Budget::of_row(0, 0));
        let zone_count = in_zone.entry(service_zone(server)).or_default();
        let service_count = in_service.entry(server.service.as_str()).or_default();
        let has_room = wave.len() < bounds.concurrency
            && *zone_count < budget.zone
            && *service_count < budget.total;
        if wave.is_empty() || has_room || !server.serving {
            *zone_count += u32::from(server.serving);
            *service_count += u32::from(server.serving);
            wave.push(*server);
        } else {
            rest.push(*server);
        }
    }
    (wave, rest)
}
