//! The reports that an aggregating node has received, and the fraction of the fleet that they cover. Pure; time is an
//! argument.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::counts::{NodeCounts, ZoneCounts};

/// Age up to which the last report of a node is recent: two heartbeats of 150 ms and some delay.
const MAX_NODE_REPORT_AGE: Duration = Duration::from_millis(400);
/// The same for another zone, which reports every 25 to 75 ms. For a zone of another region, the measured extra
/// delay is added.
const MAX_ZONE_REPORT_AGE: Duration = Duration::from_millis(250);
/// Age from which a zone's report is late and credit is withheld for it: one interval and the delay. The credit is
/// released if the zone reports while its last report is still recent; otherwise the zone may be partitioned, and
/// both sides must not spend the same credit.
const MAX_PROMPT_REPORT_AGE: Duration = Duration::from_millis(125);
/// Time after which a silent node or zone is no longer counted as part of the fleet here; by then the fleet share
/// reflects its silence.
const SILENCE_DETECTION_TIME: Duration = Duration::from_millis(3_000);

/// Counts of the nodes of the own zone and of the other zones.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    pub(crate) nodes: HashMap<u64, NodeCounts>,
    pub(crate) zones: HashMap<u64, ZoneCounts>,
}

impl Reports {
    /// Fraction of the fleet with a recent report.
    pub(crate) fn fresh_fraction(&self, now: Instant) -> f64 {
        self.fraction_within(MAX_ZONE_REPORT_AGE, now)
    }

    /// Fraction of the fleet whose report is not late.
    pub(crate) fn prompt_fraction(&self, now: Instant) -> f64 {
        self.fraction_within(MAX_PROMPT_REPORT_AGE, now)
    }

    /// Fraction of the fleet whose last report is recent; for other zones, newer than `age` plus their extra delay.
    fn fraction_within(&self, age: Duration, now: Instant) -> f64 {
        let (mut fresh, mut known) = (self.own_zone_fraction(now), 1.0);
        let zones = self.zones.values();
        for zone in
            zones.filter(|zone| now.duration_since(zone.last_heard()) < SILENCE_DETECTION_TIME)
        {
            known += 1.0;
            if now.duration_since(zone.last_heard()) < age + zone.extra_delay {
                fresh += zone.heard_fraction();
            }
        }
        fresh / known
    }

    /// Fraction of the nodes of this zone, including this one, with a recent report.
    pub(crate) fn own_zone_fraction(&self, now: Instant) -> f64 {
        let (mut fresh, mut known) = (1.0, 1.0);
        let ages = self.nodes.values().filter_map(NodeCounts::last_heard);
        for age in ages.map(|at| now.duration_since(at)) {
            fresh += f64::from(u8::from(age < MAX_NODE_REPORT_AGE));
            known += f64::from(u8::from(age < SILENCE_DETECTION_TIME));
        }
        fresh / known
    }

    /// Discards all reports, when this node starts or stops aggregating.
    pub(crate) fn clear(&mut self) {
        self.nodes.clear();
        self.zones.clear();
    }
}
