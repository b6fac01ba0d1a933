//! Evacuated zones in a view: their servers and the work still in flight there.

use std::collections::{BTreeMap, HashMap};

use dappleyard_clock::Instant;
use parking_lot::Mutex;

use crate::eligibility::Exclusion;
use crate::evacuations::{Evacuation, EvacuationChange, Evacuations};
use crate::loads::{LoadTable, node_number, server_number};
use crate::messages::ZoneWork;
use crate::peers::PeerTable;
use crate::server_loads::HEARTBEAT_LIFE;
use crate::view::View;

impl View {
    /// Whether the service has servers and all that are not draining are in evacuated zones.
    pub fn is_evacuated(&self, service: &str) -> bool {
        let known = self.known.lock();
        let servers = known.servers.values().map(|(_, server)| server);
        let mut exclusions = servers
            .filter(|server| server.service == service)
            .map(|server| Self::exclusion_of(&known, server))
            .filter(|exclusion| *exclusion != Some(Exclusion::Draining))
            .peekable();
        exclusions.peek().is_some() && exclusions.all(|why| why == Some(Exclusion::ZoneEvacuated))
    }

    pub fn evacuations(&self) -> Vec<Evacuation> {
        self.known.lock().evacuations.active().collect()
    }

    /// When this node learned that an evacuated zone was restored; see
    /// [`Evacuations::restored_at`].
    pub fn restored_at(&self, zone: &str) -> Option<Instant> {
        self.known.lock().evacuations.restored_at(zone)
    }

    /// Number of servers in each zone, including draining ones.
    pub fn servers_by_zone(&self) -> BTreeMap<String, u32> {
        let known = self.known.lock();
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        for (_, server) in known.servers.values() {
            *zones.entry(server.zone.clone()).or_default() += 1;
        }
        zones
    }

    /// Hashes of the identifiers of a zone's servers.
    fn server_hashes_in(&self, zone: &str) -> Vec<u32> {
        let known = self.known.lock();
        let servers = known.servers.values();
        servers
            .filter(|(_, server)| server.zone == zone)
            .map(|(_, server)| server_number(&server.id))
            .collect()
    }

    /// Applies a change to the evacuation orders. Any change invalidates the server sets of all
    /// services.
    pub(crate) fn change_zones(
        &self,
        change: impl FnOnce(&mut Evacuations) -> Vec<EvacuationChange>,
    ) {
        let mut known = self.known.lock();
        let changes = change(&mut known.evacuations);
        if changes.is_empty() {
            return;
        }
        Self::mark_all_stale(&mut known);
        drop(known);
        for change in &changes {
            let kind = match change.evacuated {
                true => "zone_evacuated",
                false => "zone_restored",
            };
            self.log().write(kind, || {
                serde_json::json!({"zone": change.zone.to_string(), "revision": change.revision,
                    "servers": self.server_hashes_in(change.zone.as_str()).len()})
            });
        }
        self.changed.notify_waiters();
    }

    /// Work in flight in each evacuated zone over all nodes, according to the local load table.
    pub(crate) fn evacuated_work(&self, loads: &LoadTable) -> Vec<ZoneWork> {
        let zones = self.evacuations().into_iter();
        zones
            .map(|evacuation| self.work_in(evacuation.zone.as_str(), loads))
            .collect()
    }

    fn work_in(&self, zone: &str, loads: &LoadTable) -> ZoneWork {
        let (online, batch) = loads.in_flight_at(&self.server_hashes_in(zone));
        ZoneWork {
            zone: node_number(zone),
            online,
            batch,
        }
    }

    /// Work in flight in a zone over all nodes; `None` if it is not known. In a large fleet only
    /// delegates receive the loads of all servers; they report evacuated zones to the other nodes.
    pub fn zone_work(&self, zone: &str, loads: &LoadTable, peers: &PeerTable) -> Option<ZoneWork> {
        match peers.is_large() && !peers.is_delegate() {
            true => loads.zones.reported(zone),
            false => Some(self.work_in(zone, loads)),
        }
    }
}

/// Work in evacuated zones as reported by a delegate.
#[derive(Default)]
pub struct ReportedZoneWork(Mutex<HashMap<u64, (Instant, ZoneWork)>>);

impl ReportedZoneWork {
    pub(crate) fn note(&self, reported: Vec<ZoneWork>) {
        let now = Instant::now();
        let mut entries = self.0.lock();
        entries.retain(|_, (at, _)| now.duration_since(*at) < HEARTBEAT_LIFE);
        entries.extend(reported.into_iter().map(|work| (work.zone, (now, work))));
    }

    fn reported(&self, zone: &str) -> Option<ZoneWork> {
        let entries = self.0.lock();
        let (at, work) = entries.get(&node_number(zone))?;
        (at.elapsed() < HEARTBEAT_LIFE).then(|| work.clone())
    }
}
