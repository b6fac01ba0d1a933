//! Evacuation orders: servers of an evacuated zone get no new work. Pure: time is an argument.
//!
//! An order is a row of the operators' table. The higher revision wins, including when it is a
//! withdrawal. Orders never expire: a node that loses contact with the store keeps the last known
//! state.

use std::collections::BTreeMap;

use dappleyard_clock::Instant;
use dappleyard_model::ZoneName;

/// Withdrawn orders that are remembered. Bounds the memory used by orders for nonexistent zones.
const MAX_WITHDRAWN: usize = 64;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ZoneState {
    /// The order is active; this node learned of it at this time.
    Evacuated(Instant),
    /// The order was withdrawn; this node learned of it at this time.
    Restored(Instant),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OrderEntry {
    revision: u64,
    state: ZoneState,
}

/// An active order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    pub zone: ZoneName,
    /// Revision of the order.
    pub revision: u64,
    /// When this node learned of it.
    pub since: Instant,
}

/// A change of a zone's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    pub zone: ZoneName,
    /// Revision of the change; the revision of the read if a row had disappeared.
    pub revision: u64,
    /// Whether the zone is evacuated now; otherwise it was restored.
    pub evacuated: bool,
}

/// A row of the operators' table for a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRow {
    pub zone: ZoneName,
    /// Revision of the row.
    pub revision: u64,
    /// Whether the row could be parsed. An unreadable row leaves the state of the zone unchanged.
    pub readable: bool,
}

/// State of all zones with orders.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    zones: BTreeMap<ZoneName, OrderEntry>,
    /// Rows up to this revision are stale for zones without an entry.
    stale_up_to: u64,
}

impl Evacuations {
    /// Applies an order and returns the change, if any. An order with a new revision replaces an
    /// active one, since the old one was withdrawn in between.
    pub fn issue(
        &mut self,
        zone: &ZoneName,
        revision: u64,
        now: Instant,
    ) -> Option<EvacuationChange> {
        self.set(zone, revision, ZoneState::Evacuated(now))
    }

    /// Applies a withdrawal and returns the change, if any.
    pub fn withdraw(
        &mut self,
        zone: &ZoneName,
        revision: u64,
        now: Instant,
    ) -> Option<EvacuationChange> {
        let change = self.set(zone, revision, ZoneState::Restored(now));
        self.prune_withdrawn();
        change
    }

    /// Applies a full read of the table. Active orders missing from it were withdrawn, unless they
    /// are newer than the read.
    pub fn replace(
        &mut self,
        rows: &[ZoneRow],
        revision: u64,
        now: Instant,
    ) -> Vec<EvacuationChange> {
        let gone: Vec<ZoneName> = self
            .active()
            .filter(|held| held.revision <= revision)
            .filter(|held| rows.iter().all(|row| row.zone != held.zone))
            .map(|held| held.zone)
            .collect();
        let valid_rows = rows.iter().filter(|row| row.readable);
        let mut changes: Vec<EvacuationChange> = valid_rows
            .filter_map(|row| self.issue(&row.zone, row.revision, now))
            .collect();
        changes.extend(
            gone.iter()
                .filter_map(|zone| self.withdraw(zone, revision, now)),
        );
        self.stale_up_to = self.stale_up_to.max(revision);
        changes
    }

    pub fn is_evacuated(&self, zone: &str) -> bool {
        let held = self.zones.get(zone);
        held.is_some_and(|held| matches!(held.state, ZoneState::Evacuated(_)))
    }

    /// When this node learned that the zone was restored; `None` without a known order or while one
    /// is active. Warm-up states from before that time are invalid, since the servers may have
    /// become cold during the evacuation.
    pub fn restored_at(&self, zone: &str) -> Option<Instant> {
        match self.zones.get(zone)?.state {
            ZoneState::Restored(at) => Some(at),
            ZoneState::Evacuated(_) => None,
        }
    }

    /// The active orders.
    pub fn active(&self) -> impl Iterator<Item = Evacuation> + '_ {
        self.zones
            .iter()
            .filter_map(|(zone, held)| match held.state {
                ZoneState::Evacuated(since) => Some(Evacuation {
                    zone: zone.clone(),
                    revision: held.revision,
                    since,
                }),
                ZoneState::Restored(_) => None,
            })
    }

    fn set(
        &mut self,
        zone: &ZoneName,
        revision: u64,
        state: ZoneState,
    ) -> Option<EvacuationChange> {
        let known = self.zones.get(zone);
        if revision <= known.map_or(self.stale_up_to, |held| held.revision) {
            return None;
        }
        self.zones
            .insert(zone.clone(), OrderEntry { revision, state });
        Some(EvacuationChange {
            zone: zone.clone(),
            revision,
            evacuated: matches!(state, ZoneState::Evacuated(_)),
        })
    }

    /// Drops the oldest withdrawals above the limit. Their revision becomes the lower bound for new
    /// rows, so that a stale row cannot activate a withdrawn order.
    fn prune_withdrawn(&mut self) {
        let withdrawn = |held: &OrderEntry| matches!(held.state, ZoneState::Restored(_));
        let mut revisions: Vec<u64> = self
            .zones
            .values()
            .filter(|held| withdrawn(held))
            .map(|held| held.revision)
            .collect();
        if revisions.len() <= MAX_WITHDRAWN {
            return;
        }
        revisions.sort_unstable();
        let newest_dropped = revisions[revisions.len() - MAX_WITHDRAWN - 1];
        self.zones
            .retain(|_, held| !withdrawn(held) || held.revision > newest_dropped);
        self.stale_up_to = self.stale_up_to.max(newest_dropped);
    }
}
