//! What a plan will do to capacity: the waves in which servers go out, and what serves meanwhile.

use std::collections::BTreeMap;

use crate::disruption::Budget;

/// A server as planning sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedServer {
    /// Server id.
    pub server: String,
    /// Service that it carries.
    pub service: String,
    /// Zone.
    pub zone: String,
    /// It serves at present.
    pub serving: bool,
}

/// What becomes of the servers of a wave once the wave is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterWave {
    /// They serve again.
    Return,
    /// They stay out.
    StayOut,
}

/// Servers of one service and zone that serve during a wave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Capacity {
    /// Service.
    pub service: String,
    /// Zone.
    pub zone: String,
    /// Servers that serve while the wave is out.
    pub serving: u32,
    /// Servers that serve before the plan.
    pub before: u32,
}

/// Servers that go out together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Server ids.
    pub servers: Vec<String>,
    /// What serves meanwhile, for each service and zone that the plan touches.
    pub capacity: Vec<Capacity>,
}

/// Bounds on a wave.
#[derive(Debug, Clone)]
pub struct WaveBounds {
    /// Budget of each service; a service without one has the default budget.
    pub budgets: BTreeMap<String, Budget>,
    /// Most servers of a wave, whatever the budgets allow.
    pub concurrency: usize,
}

/// Cuts the disruption of `targets` into waves that keep the budgets. Servers that do not serve
/// anyway cost nothing and go with the first wave.
pub fn waves(
    targets: &[PlannedServer],
    all: &[PlannedServer],
    bounds: &WaveBounds,
    after: AfterWave,
) -> Vec<Wave> {
    let touched = places(targets);
    let before = serving(all, &touched);
    let mut now = before.clone();
    let mut waiting: Vec<&PlannedServer> = targets.iter().collect();
    let mut waves = Vec::new();
    while !waiting.is_empty() {
        let (wave, rest) = next_wave(&waiting, bounds);
        let mut during = now.clone();
        for server in wave.iter().filter(|server| server.serving) {
            if let Some(count) = during.get_mut(&place(server)) {
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

type Place = (String, String);

fn place(server: &PlannedServer) -> Place {
    (server.service.clone(), server.zone.clone())
}

fn places(servers: &[PlannedServer]) -> Vec<Place> {
    let mut places: Vec<Place> = servers.iter().map(place).collect();
    places.sort();
    places.dedup();
    places
}

fn serving(all: &[PlannedServer], places: &[Place]) -> BTreeMap<Place, u32> {
    let mut counts: BTreeMap<Place, u32> = places.iter().map(|place| (place.clone(), 0)).collect();
    for server in all.iter().filter(|server| server.serving) {
        if let Some(count) = counts.get_mut(&place(server)) {
            *count += 1;
        }
    }
    counts
}

fn capacity(during: &BTreeMap<Place, u32>, before: &BTreeMap<Place, u32>) -> Vec<Capacity> {
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

/// Takes servers in order while the bounds have room. The first one always goes, so that a budget
/// of nothing still makes a plan; it is then held back when it runs.
fn next_wave<'a>(
    waiting: &[&'a PlannedServer],
    bounds: &WaveBounds,
) -> (Vec<&'a PlannedServer>, Vec<&'a PlannedServer>) {
    let mut in_zone: BTreeMap<Place, u32> = BTreeMap::new();
    let mut in_service: BTreeMap<&str, u32> = BTreeMap::new();
    let mut wave = Vec::new();
    let mut rest = Vec::new();
    for server in waiting {
        let budget = bounds
            .budgets
            .get(&server.service)
            .copied()
            .unwrap_or_else(|| Budget::of_row(0, 0));
        let zone_count = in_zone.entry(place(server)).or_default();
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
