//! What a node that sums was told by the others, and which part of the fleet that is. Pure: time is an argument.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::counts::{NodeCounts, ZoneCounts};

/// Age of a node's last word up to which it counts as fresh: two heartbeats of 150 ms, and a late one.
const NODE_FRESH: Duration = Duration::from_millis(400);
/// The same of another zone, which is told of each 25 to 75 ms. Messages of another region come as often and
/// are longer under way: that time is added, as this node measured it.
const ZONE_FRESH: Duration = Duration::from_millis(250);
/// Age of a zone's last word from which credit is held back for it: one message and its delay. It is given
/// after all when the zone is heard while it still counts as fresh; when it is not, the parts of a fleet that
/// was cut have not all spent the same credit meanwhile.
const ZONE_PROMPT: Duration = Duration::from_millis(125);
/// Time after which the silence of others shows in the known part of the fleet.
const SILENCE_NOTED: Duration = Duration::from_millis(3_000);

/// Counts of the nodes of the own zone, and of the other zones.
#[derive(Debug, Default)]
pub(crate) struct Heard {
    pub(crate) nodes: HashMap<u64, NodeCounts>,
    pub(crate) zones: HashMap<u64, ZoneCounts>,
}

impl Heard {
    /// Part of the fleet that told a moment ago what it let pass.
    pub(crate) fn fresh_part(&self, now: Instant) -> f64 {
        self.part_within(ZONE_FRESH, now)
    }

    /// Part of it that told so without delay.
    pub(crate) fn prompt_part(&self, now: Instant) -> f64 {
        self.part_within(ZONE_PROMPT, now)
    }

    fn part_within(&self, age: Duration, now: Instant) -> f64 {
        let (mut fresh, mut known) = (self.own_zone_part(now), 1.0);
        let zones = self.zones.values();
        for zone in zones.filter(|zone| now.duration_since(zone.heard()) < SILENCE_NOTED) {
            known += 1.0;
            if now.duration_since(zone.heard()) < age + zone.later {
                fresh += zone.heard_part();
            }
        }
        fresh / known
    }

    /// Part of the nodes of this zone that told a moment ago what they let pass, this one included.
    pub(crate) fn own_zone_part(&self, now: Instant) -> f64 {
        let (mut fresh, mut known) = (1.0, 1.0);
        let ages = self.nodes.values().filter_map(NodeCounts::heard);
        for age in ages.map(|at| now.duration_since(at)) {
            fresh += f64::from(u8::from(age < NODE_FRESH));
            known += f64::from(u8::from(age < SILENCE_NOTED));
        }
        fresh / known
    }

    /// Forgets all: this node begins or ceases to sum.
    pub(crate) fn clear(&mut self) {
        self.nodes.clear();
        self.zones.clear();
    }
}
