//! What the way from a node to the servers of each zone costs: by the settings' places, and by the
//! time that connections took to come up.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use dappleyard_model::{Distance, Places, RegionName, ZoneName};

/// How a choice among servers weighs the ways to them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WayWeights {
    /// Weight of any other zone than the own one.
    pub other_zone: f64,
    /// Milliseconds of a longer way that weigh one unit more.
    pub ms_per_unit: f64,
}

/// The ways from one node. Where the settings name one region only, each of them is within it.
#[derive(Debug, Default)]
pub struct Ways {
    zone: String,
    places: Places,
    /// The places are of more than one region.
    regions: bool,
    /// Shortest time in which a connection to a server of the zone came up, microseconds; 0 before the
    /// first. The minimum is taken since a busy machine makes single connections slow, never fast. It
    /// holds for the life of the process.
    shortest_us: BTreeMap<ZoneName, AtomicU32>,
}

impl Ways {
    /// Ways from a zone of these places; no connection was seen yet.
    pub fn new(zone: &str, places: &Places) -> Self {
        Self {
            zone: zone.to_owned(),
            regions: places.has_regions(),
            places: places.clone(),
            shortest_us: places
                .zones()
                .map(|(zone, _)| (zone.clone(), AtomicU32::new(0)))
                .collect(),
        }
    }

    /// Ways from a zone of a deployment whose places are not known: all are within one region.
    pub fn within(zone: &str) -> Self {
        Self::new(zone, &Places::default())
    }

    /// The places that they are between.
    pub fn places(&self) -> &Places {
        &self.places
    }

    /// The zone that they begin at.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// The own region, where there are several.
    pub fn region(&self) -> Option<&RegionName> {
        let region = self.places.region(&self.zone);
        region.filter(|_| self.regions)
    }

    /// Whether a zone is in a region.
    pub fn is_in(&self, zone: &str, region: &str) -> bool {
        let place = self.places.region(zone);
        place.is_some_and(|place| place.as_str() == region)
    }

    /// How far a zone is; in a deployment of one region none is farther than that.
    pub fn distance(&self, zone: &str) -> Distance {
        match self.places.distance(&self.zone, zone) {
            Distance::OtherRegion if !self.regions => Distance::SameRegion,
            distance => distance,
        }
    }

    /// Whether a zone is in the own region.
    pub fn is_near(&self, zone: &str) -> bool {
        self.distance(zone) != Distance::OtherRegion
    }

    /// Whether the settings name more than one region.
    pub fn has_regions(&self) -> bool {
        self.regions
    }

    /// Notes how long a connection to a server of a zone took to come up: one round trip.
    pub fn note(&self, zone: &str, took: Duration) {
        let took_us = u32::try_from(took.as_micros()).unwrap_or(u32::MAX).max(1);
        let Some(shortest) = self.shortest_us.get(zone) else {
            return;
        };
        let shorter = |held: u32| (held == 0 || took_us < held).then_some(took_us);
        // An error means that the held time is as short.
        let _ = shortest.fetch_update(Ordering::Relaxed, Ordering::Relaxed, shorter);
    }

    /// Time by which a round trip to a zone of another region is longer than one within the own
    /// region; zero for zones of the own region, and until both were measured.
    pub fn extra(&self, zone: &str) -> Duration {
        if self.is_near(zone) {
            return Duration::ZERO;
        }
        let measured = |shortest: &AtomicU32| match shortest.load(Ordering::Relaxed) {
            0 => None,
            us => Some(Duration::from_micros(u64::from(us))),
        };
        let near = self.shortest_us.iter();
        let near = near.filter(|(zone, _)| self.is_near(zone.as_str()));
        let within = near.filter_map(|(_, shortest)| measured(shortest)).min();
        let there = self.shortest_us.get(zone).and_then(measured);
        match (there, within) {
            (Some(there), Some(within)) => there.saturating_sub(within),
            _ => Duration::ZERO,
        }
    }

    /// Weight of the way to a zone.
    pub fn weigh(&self, zone: &str, weights: WayWeights) -> f64 {
        if zone == self.zone {
            return 0.0;
        }
        weights.other_zone + self.weigh_time(zone, weights)
    }

    /// Weight of the time alone by which the way to a zone is longer than one within the region.
    pub fn weigh_time(&self, zone: &str, weights: WayWeights) -> f64 {
        let extra_ms = self.extra(zone).as_secs_f64() * 1_000.0;
        extra_ms / weights.ms_per_unit
    }
}
