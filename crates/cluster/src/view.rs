//! The active configuration and the servers of each service.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use dappleyard_model::{
    Configuration, EventLog, Row, RunOrigin, ServerRecord, SoftwareVersion, may_run_at,
};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::eligibility::Exclusion;
use crate::evacuations::Evacuations;
use crate::follow::Contact;
use crate::loads::server_number;
use crate::servers::{ServerSelector, ServerSet};
use crate::versions::VersionState;
use crate::zone_distances::ZoneDistances;
use dappleyard_clock::Instant;

/// The server set of one service, as last built.
struct CachedSet {
    set: Arc<ServerSet>,
    /// A server of the service has changed since the set was built.
    stale: bool,
}

#[derive(Default)]
pub(crate) struct ViewState {
    configuration: Option<Arc<Configuration>>,
    pub(crate) evacuations: Evacuations,
    /// Listed servers with their revisions, by name; server sets are built in this order.
    pub(crate) servers: BTreeMap<String, (u64, Arc<ServerRecord>)>,
    /// The previous run of a listed server, by name.
    pub(crate) previous_runs: HashMap<String, Arc<ServerRecord>>,
    /// Invalid entries by name, with the cause.
    pub(crate) refused: HashMap<String, String>,
    pub(crate) versions: VersionState,
    sets_by_service: HashMap<String, CachedSet>,
    sets_built: u64,
    pub(crate) servers_read: bool,
    /// Time up to which all configuration changes are known.
    configuration_contact: Option<Instant>,
    /// Revision of the store up to which the configuration table is known.
    configuration_revision: u64,
    /// Time up to which all server changes are known.
    pub(crate) servers_contact: Option<Instant>,
}

impl ViewState {
    /// The last entry of a server whose name another run has now.
    fn was_replaced_by_name(&self, server: &ServerRecord) -> Option<&ServerRecord> {
        let earlier = self.previous_runs.get(&server.instance)?;
        (earlier.id == server.id).then_some(earlier)
    }

    fn has_other_at_address(&self, server: &ServerRecord) -> bool {
        let mut others = self.servers.values();
        others.any(|(_, other)| other.address == server.address && other.id != server.id)
    }

    /// Finds a listed run of a server by its identifier.
    fn server(&self, id: &str) -> Option<&Arc<ServerRecord>> {
        let names = [id, ServerRecord::instance_of(id)];
        let mut listed = names.into_iter().filter_map(|name| self.servers.get(name));
        let (_, server) = listed.find(|(_, server)| server.id == id)?;
        Some(server)
    }
}

/// The active configuration and the servers, shared by all threads.
pub struct View {
    pub(crate) known: Mutex<ViewState>,
    pub(crate) changed: Notify,
    /// Notified of a new software version of a service.
    pub(crate) versions_changed: Notify,
    selector: ServerSelector,
    log: Arc<EventLog>,
}

impl View {
    /// Creates an empty view for a node in a deployment of one region.
    pub fn new(node: &str, zone: &str, log: Arc<EventLog>) -> Self {
        Self::with_zone_distances(node, Arc::new(ZoneDistances::single_region(zone)), log)
    }

    /// Creates an empty view for a node with the given distances to other zones.
    pub fn with_zone_distances(
        node: &str,
        zone_distances: Arc<ZoneDistances>,
        log: Arc<EventLog>,
    ) -> Self {
        Self {
            selector: ServerSelector::with_zone_distances(node, zone_distances),
            known: Mutex::default(),
            changed: Notify::new(),
            versions_changed: Notify::new(),
            log,
        }
    }

    /// Distances from this node to the servers of each zone.
    pub fn zone_distances(&self) -> &Arc<ZoneDistances> {
        self.selector.zone_distances()
    }

    pub(crate) fn log(&self) -> &EventLog {
        &self.log
    }

    /// The active configuration; `None` before the first one.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.known.lock().configuration.clone()
    }

    /// Servers of a service that accept new work.
    pub fn servers(&self, service: &str) -> Arc<ServerSet> {
        let mut known = self.known.lock();
        match known.sets_by_service.get(service) {
            None => Arc::default(),
            Some(cached) if !cached.stale => cached.set.clone(),
            Some(_) => self.build_set(&mut known, service),
        }
    }

    /// Number of server sets built so far. Building one iterates over all servers, so sets are
    /// built lazily instead of at each change.
    pub fn sets_built(&self) -> u64 {
        self.known.lock().sets_built
    }

    fn build_set(&self, known: &mut ViewState, service: &str) -> Arc<ServerSet> {
        let servers = known.servers.values().map(|(_, server)| server);
        let accepting = servers.filter(|server| {
            server.service == service && Self::exclusion_of(known, server).is_none()
        });
        let mut set = self.selector.servers(accepting.cloned().collect());
        let (listed, serving) = known.listed_versions(service);
        if known.versions.note_listed(service, &listed, &serving) {
            self.versions_changed.notify_one();
        }
        set.settling = known.versions.settling(service);
        set.unrecorded = known.versions.unrecorded(service, &listed);
        let set = Arc::new(set);
        let cached = CachedSet {
            set: set.clone(),
            stale: false,
        };
        known.sets_by_service.insert(service.to_owned(), cached);
        known.sets_built += 1;
        set
    }

    /// Finds a server by its identifier, including draining ones.
    pub fn server(&self, id: &str) -> Option<Arc<ServerRecord>> {
        self.known.lock().server(id).cloned()
    }

    /// Why a server gets no new work; `None` if it may get some.
    pub fn exclusion(&self, id: &str) -> Option<Exclusion> {
        let known = self.known.lock();
        match known.server(id) {
            None => Some(Exclusion::Gone),
            Some(server) => Self::exclusion_of(&known, server),
        }
    }

    /// Whether a run may continue at a server as it is listed now. Its software version may have
    /// changed since it was selected.
    pub fn may_run_at(&self, origin: Option<&RunOrigin>, id: &str) -> bool {
        let known = self.known.lock();
        known
            .server(id)
            .is_some_and(|server| may_run_at(origin, server))
    }

    /// Whether another run with the name or the address of a server is listed, so that the server has ended.
    pub fn has_successor(&self, server: &ServerRecord) -> bool {
        let known = self.known.lock();
        known.was_replaced_by_name(server).is_some() || known.has_other_at_address(server)
    }

    /// Whether a server that was not draining has been replaced by another run with its name or
    /// address.
    pub fn is_replaced(&self, server: &ServerRecord) -> bool {
        let known = self.known.lock();
        if let Some(earlier) = known.was_replaced_by_name(server) {
            return !earlier.draining;
        }
        let is_draining = known
            .server(&server.id)
            .is_some_and(|listed| listed.draining);
        !is_draining && known.has_other_at_address(server)
    }

    /// Why a listed server gets no new work.
    pub(crate) fn exclusion_of(known: &ViewState, server: &ServerRecord) -> Option<Exclusion> {
        if server.draining {
            return Some(Exclusion::Draining);
        }
        let evacuated = known.evacuations.is_evacuated(&server.zone);
        evacuated.then_some(Exclusion::ZoneEvacuated)
    }

    /// Hashes of the servers used by this node, for services of which it does not use all.
    pub(crate) fn used_servers(&self) -> Vec<u32> {
        let known = self.known.lock();
        let sets = known.sets_by_service.values().map(|cached| &cached.set);
        let used = sets
            .filter(|set| set.is_large())
            .flat_map(|set| set.used.iter());
        used.map(|server| server_number(&server.id)).collect()
    }

    /// Whether configuration and servers are known, so that requests can be served.
    pub fn is_ready(&self) -> bool {
        let known = self.known.lock();
        known.configuration.is_some() && known.servers_read
    }

    /// Age of the configuration or the servers, whichever is older; `None` before both are known.
    pub fn store_age(&self) -> Option<Duration> {
        let known = self.known.lock();
        let older = known.configuration_contact?.min(known.servers_contact?);
        Some(older.elapsed())
    }

    /// Age of the configuration; `None` before it is known.
    pub fn configuration_age(&self) -> Option<Duration> {
        let known = self.known.lock();
        known.configuration_contact.map(|at| at.elapsed())
    }

    /// Records the time up to which the configuration table is known.
    pub(crate) fn note_contact(&self, contact: &Contact) {
        let mut known = self.known.lock();
        if contact.known_at() >= known.configuration_contact {
            known.configuration_contact = contact.known_at();
            known.configuration_revision = contact.revision;
        }
    }

    /// Whether every configuration that the store had at a revision is known here, so that what is missing is gone.
    pub fn has_configurations_until(&self, revision: u64) -> bool {
        self.known.lock().configuration_revision >= revision
    }

    /// Waits for the next change of configuration, servers or evacuated zones.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    pub(crate) fn apply_configuration(&self, configuration: Configuration, revision: u64) {
        let mut known = self.known.lock();
        let current = known.configuration.as_ref().map_or(0, |held| held.version);
        if configuration.version <= current && known.configuration.is_some() {
            return;
        }
        let version = configuration.version;
        let routes = configuration.routes.len();
        let unknown = configuration.unknown_home_regions(self.zone_distances().places());
        known.configuration = Some(Arc::new(configuration));
        drop(known);
        for (place, region) in unknown {
            self.log.write("home_region_unknown", || {
                serde_json::json!({"place": place, "region": region.as_str(), "version": version})
            });
        }
        self.log.write("configuration_applied", || {
            serde_json::json!({"version": version, "previous": current, "routes": routes,
                "revision": revision, "source": "store"})
        });
        self.changed.notify_waiters();
    }

    /// Applies a server entry; returns whether anything besides its revision changed.
    pub(crate) fn put_server(known: &mut ViewState, server: ServerRecord, revision: u64) -> bool {
        let mut server = server;
        if let Some((at, held)) = known.servers.get_mut(&server.instance) {
            if *at >= revision {
                return false;
            }
            *at = revision;
            if held.id == server.id {
                // A draining run never becomes ready again.
                server.draining |= held.draining;
            } else {
                let earlier = held.clone();
                known.previous_runs.insert(server.instance.clone(), earlier);
            }
            if **held == server {
                return false;
            }
        }
        let entry = (revision, Arc::new(server));
        known.servers.insert(entry.1.instance.clone(), entry);
        true
    }

    /// Removes a server; returns whether it was listed.
    pub(crate) fn remove_server(known: &mut ViewState, instance: &str) -> bool {
        known.previous_runs.remove(instance);
        known.servers.remove(instance).is_some()
    }

    /// Marks the server sets of all services for rebuilding, including those of new services.
    pub(crate) fn mark_all_stale(known: &mut ViewState) {
        known
            .sets_by_service
            .values_mut()
            .for_each(|cached| cached.stale = true);
        let services: Vec<String> = known
            .servers
            .values()
            .map(|(_, server)| &server.service)
            .filter(|service| !known.sets_by_service.contains_key(*service))
            .cloned()
            .collect();
        for service in services {
            Self::mark_stale(known, &service);
        }
    }

    /// Marks the server set of a service for rebuilding; adds the service if it is new.
    pub(crate) fn mark_stale(known: &mut ViewState, service: &str) {
        match known.sets_by_service.get_mut(service) {
            Some(cached) => cached.stale = true,
            None => {
                let cached = CachedSet {
                    set: Arc::default(),
                    stale: true,
                };
                known.sets_by_service.insert(service.to_owned(), cached);
            }
        }
    }

    pub(crate) fn log_server(&self, row: &Row, server: Option<&ServerRecord>) {
        self.log.write("server_changed", || {
            let state = match server {
                None => "gone",
                Some(server) if server.draining => "draining",
                Some(_) => "ready",
            };
            let version = server.and_then(|server| server.version.as_ref());
            serde_json::json!({"server": row.key, "state": state, "revision": row.revision,
                "address": server.map(|server| server.address.to_string()),
                "version": version.map(SoftwareVersion::as_str)})
        });
    }
}
