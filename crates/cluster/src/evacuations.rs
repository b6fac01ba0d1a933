//! Zones that the operators have evacuated: as long as the order stands, their servers get no new work. Pure:
//! time is passed in.
//!
//! An order is a row of the operators' table, and its revision decides: an older row never overrides a newer one,
//! also where the newer one is a withdrawal. Age ends no order: a node that hears nothing keeps what it knows.

use std::collections::BTreeMap;

use dappleyard_clock::Instant;
use dappleyard_model::ZoneName;

/// Zones whose withdrawn orders are remembered. A deployment has tens of zones; the bound keeps orders for names
/// that are no zones from growing the table.
const WITHDRAWN_KEPT: usize = 64;

/// How a zone stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// The order stands; this node knows since then.
    Evacuated(Instant),
    /// The order was withdrawn; this node knows since then.
    Restored(Instant),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    revision: u64,
    standing: Standing,
}

/// An order that stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// Zone.
    pub zone: ZoneName,
    /// Revision of the order.
    pub revision: u64,
    /// Since when this node knows of it.
    pub since: Instant,
}

/// What has changed for a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Zone.
    pub zone: ZoneName,
    /// Revision that changed it; that of the read where a row was seen to be gone.
    pub revision: u64,
    /// The zone is evacuated now; otherwise it is restored.
    pub evacuated: bool,
}

/// One row of the operators' table about a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRow {
    /// Zone.
    pub zone: ZoneName,
    /// Revision of the row.
    pub revision: u64,
    /// The row is an order; otherwise it cannot be read, and what was known of the zone holds.
    pub readable: bool,
}

/// Which zones are evacuated.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    zones: BTreeMap<ZoneName, Held>,
    /// Rows up to this revision are older than what is known of zones that are not held.
    forgotten: u64,
}

impl Evacuations {
    /// Takes an order; the change, when it is one. An order that is given again while another one stands was
    /// withdrawn in between: it counts from now on.
    pub fn give(
        &mut self,
        zone: &ZoneName,
        revision: u64,
        now: Instant,
    ) -> Option<EvacuationChange> {
        self.set(zone, revision, Standing::Evacuated(now))
    }

    /// Takes the withdrawal of an order; the change, when it is one.
    pub fn withdraw(
        &mut self,
        zone: &ZoneName,
        revision: u64,
        now: Instant,
    ) -> Option<EvacuationChange> {
        let change = self.set(zone, revision, Standing::Restored(now));
        self.forget();
        change
    }

    /// Takes all rows about zones as of a revision. An order that is not among them was withdrawn, unless it is
    /// newer than the read.
    pub fn replace(
        &mut self,
        rows: &[ZoneRow],
        revision: u64,
        now: Instant,
    ) -> Vec<EvacuationChange> {
        let gone: Vec<ZoneName> = self
            .standing()
            .filter(|held| held.revision <= revision)
            .filter(|held| rows.iter().all(|row| row.zone != held.zone))
            .map(|held| held.zone)
            .collect();
        let given = rows.iter().filter(|row| row.readable);
        let mut changes: Vec<EvacuationChange> = given
            .filter_map(|row| self.give(&row.zone, row.revision, now))
            .collect();
        changes.extend(
            gone.iter()
                .filter_map(|zone| self.withdraw(zone, revision, now)),
        );
        self.forgotten = self.forgotten.max(revision);
        changes
    }

    /// Whether the servers of a zone get no new work.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let held = self.zones.get(zone);
        held.is_some_and(|held| matches!(held.standing, Standing::Evacuated(_)))
    }

    /// When this node learnt that the zone was taken back; `None` where no order is remembered, and while one
    /// stands. The servers of the zone may have turned cold shortly before: until they are heard of, nothing that
    /// was known of their temperature holds.
    pub fn restored_at(&self, zone: &str) -> Option<Instant> {
        match self.zones.get(zone)?.standing {
            Standing::Restored(at) => Some(at),
            Standing::Evacuated(_) => None,
        }
    }

    /// The orders that stand.
    pub fn standing(&self) -> impl Iterator<Item = Evacuation> + '_ {
        self.zones
            .iter()
            .filter_map(|(zone, held)| match held.standing {
                Standing::Evacuated(since) => Some(Evacuation {
                    zone: zone.clone(),
                    revision: held.revision,
                    since,
                }),
                Standing::Restored(_) => None,
            })
    }

    fn set(
        &mut self,
        zone: &ZoneName,
        revision: u64,
        standing: Standing,
    ) -> Option<EvacuationChange> {
        let known = self.zones.get(zone);
        if revision <= known.map_or(self.forgotten, |held| held.revision) {
            return None;
        }
        self.zones.insert(zone.clone(), Held { revision, standing });
        Some(EvacuationChange {
            zone: zone.clone(),
            revision,
            evacuated: matches!(standing, Standing::Evacuated(_)),
        })
    }

    /// Forgets the oldest withdrawals above the bound; rows as old as these count as old from then on.
    fn forget(&mut self) {
        let withdrawn = |held: &Held| matches!(held.standing, Standing::Restored(_));
        let mut revisions: Vec<u64> = self
            .zones
            .values()
            .filter(|held| withdrawn(held))
            .map(|held| held.revision)
            .collect();
        if revisions.len() <= WITHDRAWN_KEPT {
            return;
        }
        revisions.sort_unstable();
        let last = revisions[revisions.len() - WITHDRAWN_KEPT - 1];
        self.zones
            .retain(|_, held| !withdrawn(held) || held.revision > last);
        self.forgotten = self.forgotten.max(last);
    }
}
