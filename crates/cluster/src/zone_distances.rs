//! Network cost from a node to the servers of each zone, from the configured region of each zone
//! and the measured connection times.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use dappleyard_model::{Distance, RegionName, Topology, ZoneName};

/// Weights of network distance in server selection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DistanceWeights {
    /// Cost of any zone but the own one.
    pub other_zone: f64,
    /// Milliseconds of additional round-trip time per unit of cost.
    pub ms_per_unit: f64,
}

/// Network costs from one node. With a single configured region, all zones are in it.
#[derive(Debug, Default)]
pub struct ZoneDistances {
    zone: String,
    places: Topology,
    /// Whether there is more than one region.
    multi_region: bool,
    /// Shortest connection setup time per zone in microseconds; 0 before the first. The minimum
    /// over the life of the process: load on a machine can only lengthen a single measurement.
    shortest_us: BTreeMap<ZoneName, AtomicU32>,
}

impl ZoneDistances {
    /// Costs from a zone without measurements.
    pub fn new(zone: &str, places: &Topology) -> Self {
        Self {
            zone: zone.to_owned(),
            multi_region: places.has_regions(),
            places: places.clone(),
            shortest_us: places
                .zones()
                .map(|(zone, _)| (zone.clone(), AtomicU32::new(0)))
                .collect(),
        }
    }

    /// Costs from a zone of a deployment without configured regions: all zones count as one region.
    pub fn single_region(zone: &str) -> Self {
        Self::new(zone, &Topology::default())
    }

    /// The configured region of each zone.
    pub fn places(&self) -> &Topology {
        &self.places
    }

    /// The own zone.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// The own region; `None` if there is only one.
    pub fn region(&self) -> Option<&RegionName> {
        let region = self.places.region(&self.zone);
        region.filter(|_| self.multi_region)
    }

    pub fn is_in(&self, zone: &str, region: &str) -> bool {
        let place = self.places.region(zone);
        place.is_some_and(|place| place.as_str() == region)
    }

    /// Distance to a zone; at most [`Distance::SameRegion`] if there is only one region.
    pub fn distance(&self, zone: &str) -> Distance {
        match self.places.distance(&self.zone, zone) {
            Distance::OtherRegion if !self.multi_region => Distance::SameRegion,
            distance => distance,
        }
    }

    /// Whether a zone is in the own region.
    pub fn is_near(&self, zone: &str) -> bool {
        self.distance(zone) != Distance::OtherRegion
    }

    pub fn has_regions(&self) -> bool {
        self.multi_region
    }

    /// Records the setup time of a connection to a zone: one round trip.
    pub fn note_connect_time(&self, zone: &str, took: Duration) {
        let took_us = u32::try_from(took.as_micros()).unwrap_or(u32::MAX).max(1);
        let Some(shortest) = self.shortest_us.get(zone) else {
            return;
        };
        let shorter = |held: u32| (held == 0 || took_us < held).then_some(took_us);
        // An error means that the stored time is not longer.
        let _ = shortest.fetch_update(Ordering::Relaxed, Ordering::Relaxed, shorter);
    }

    /// Additional round-trip time to a zone of another region, compared with the own region; zero
    /// within the own region and until both were measured.
    pub fn extra_rtt(&self, zone: &str) -> Duration {
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

    /// Cost of a zone.
    pub fn cost(&self, zone: &str, weights: DistanceWeights) -> f64 {
        if zone == self.zone {
            return 0.0;
        }
        weights.other_zone + self.rtt_cost(zone, weights)
    }

    /// Cost of the additional round-trip time alone.
    pub fn rtt_cost(&self, zone: &str, weights: DistanceWeights) -> f64 {
        let extra_ms = self.extra_rtt(zone).as_secs_f64() * 1_000.0;
        extra_ms / weights.ms_per_unit
    }
}
