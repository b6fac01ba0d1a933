//! What a view knows of the software versions of each service.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::{RunOrigin, ServerRecord, SoftwareVersion};
use dappleyard_streams::{Knowledge, VersionHistory, Versions};

use crate::view::{View, ViewState};

/// Age of the list of servers up to which it counts as current. A version that appeared later is not used by any node
/// yet, see [`dappleyard_streams::SETTLE_TIME`].
const MAX_LIST_AGE: Duration = Duration::from_millis(1_000);

/// The versions of services, and which of them the store has recorded as far as this node knows.
#[derive(Debug, Default)]
pub(crate) struct VersionState {
    history: VersionHistory,
    recorded: HashMap<String, Versions>,
    /// Those of `recorded` that no node has dropped from the record since it was read.
    confirmed: HashMap<String, Versions>,
}

impl VersionState {
    /// Notes the versions of the servers of a service that are listed now, and of those that are
    /// not draining; returns whether a version is new.
    pub(crate) fn note_listed(
        &mut self,
        service: &str,
        listed: &Versions,
        serving: &Versions,
    ) -> bool {
        let now = Instant::now();
        if let Some(confirmed) = self.confirmed.get_mut(service) {
            let retained = self.history.retained(service, now);
            confirmed.retain(|version| retained.contains(version));
        }
        self.history.note_listed(service, listed, serving, now)
    }

    /// Notes what the store has recorded for a service.
    fn set_recorded(&mut self, service: &str, recorded: Versions) {
        self.confirmed.insert(service.to_owned(), recorded.clone());
        self.recorded.insert(service.to_owned(), recorded);
    }

    /// Whether the store has recorded a version.
    fn is_recorded(&self, service: &str, version: &Option<SoftwareVersion>) -> bool {
        let confirmed = self.confirmed.get(service);
        confirmed.is_some_and(|confirmed| confirmed.contains(version))
    }

    /// Those of the listed versions of a service that the store has not recorded.
    pub(crate) fn unrecorded(&self, service: &str, listed: &Versions) -> Versions {
        let listed = listed.iter();
        let unrecorded = listed.filter(|version| !self.is_recorded(service, version));
        unrecorded.cloned().collect()
    }

    /// Versions of a service at which no streams begin yet, with the time from which they do.
    pub(crate) fn settling(&self, service: &str) -> Vec<(Option<SoftwareVersion>, Instant)> {
        self.history.settling(service, Instant::now())
    }
}

/// Whether servers of an origin may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginStatus {
    /// A server that is not draining is listed.
    Listed,
    /// The last one disappeared a moment ago without a drain, or the service has no server at all:
    /// one may come back.
    Lapsed,
    /// None is listed, or only draining ones.
    Gone,
}

/// Time for which a server whose entry has disappeared may come back: it may be restarting, and entries that lapsed
/// during an outage of the store return within two seconds after it.
const LAPSE_TIME: Duration = Duration::from_secs(5);

impl View {
    /// What is known of the versions of a service.
    pub fn version_knowledge(&self, service: &str) -> Knowledge {
        self.servers(service);
        let known = self.known.lock();
        let contact = known.servers_contact;
        let is_fresh = contact.is_some_and(|contact| contact.elapsed() < MAX_LIST_AGE);
        let history = &known.versions.history;
        history.knowledge(service, is_fresh, Instant::now())
    }

    /// Whether servers of an origin may be used.
    pub fn origin_status(&self, origin: &RunOrigin) -> OriginStatus {
        self.servers(&origin.service);
        let known = self.known.lock();
        let servers = known.servers.values().map(|(_, server)| server);
        let mut serving =
            servers.filter(|server| server.service == origin.service && !server.draining);
        if serving.clone().any(|server| origin.continues_at(server)) {
            return OriginStatus::Listed;
        }
        // All entries lapse together while the store is away.
        let all_lapsed = serving.next().is_none();
        let lapsed_for = known.versions.history.lapsed_for(origin, Instant::now());
        match all_lapsed || lapsed_for.is_some_and(|time| time < LAPSE_TIME) {
            true => OriginStatus::Lapsed,
            false => OriginStatus::Gone,
        }
    }

    /// Services whose versions differ from those that the store has recorded, or whose record has to be read anew.
    pub(crate) fn unrecorded_services(&self) -> Vec<String> {
        let services = self.known.lock().listed_services();
        let services = services.into_iter();
        let unrecorded = services.filter(|service| {
            // Brings the history up to date.
            let has_unrecorded = self.has_unrecorded_version(service);
            let known = self.known.lock();
            let versions = &known.versions;
            let current = versions.history.versions(service, Instant::now());
            has_unrecorded || versions.recorded.get(service) != Some(&current)
        });
        unrecorded.collect()
    }

    /// Whether a server of a version that the store has not recorded is listed.
    pub(crate) fn has_unrecorded_version(&self, service: &str) -> bool {
        !self.servers(service).unrecorded.is_empty()
    }

    /// Wakes the task that records versions if that of a listed server is not recorded.
    pub(crate) fn note_version(&self, known: &ViewState, server: &ServerRecord) {
        let versions = &known.versions;
        if !versions.is_recorded(&server.service, &server.version) {
            self.versions_changed.notify_one();
        }
    }

    /// Waits for a new version of a service.
    pub(crate) async fn versions_changed(&self) {
        self.versions_changed.notified().await;
    }

    /// Notes versions that the store had recorded when this node started.
    pub(crate) fn note_recorded_versions(&self, service: &str, recorded: Versions) {
        let mut known = self.known.lock();
        let versions = recorded.iter().cloned().collect();
        let history = &mut known.versions.history;
        history.note_recorded(service, versions, Instant::now());
        known.versions.set_recorded(service, recorded);
        Self::mark_stale(&mut known, service);
    }

    /// Notes that all recorded versions were read.
    pub(crate) fn note_versions_complete(&self) {
        self.known.lock().versions.history.note_complete();
    }

    /// The versions to record for a service. Versions that another node has recorded since are added; those that this
    /// node has seen expire are left out.
    pub(crate) fn merge_recorded_versions(&self, service: &str, recorded: &Versions) -> Versions {
        let now = Instant::now();
        let mut known = self.known.lock();
        let VersionState {
            history,
            recorded: before,
            ..
        } = &mut known.versions;
        let before = before.get(service).cloned().unwrap_or_default();
        let added = recorded.difference(&before).cloned().collect();
        history.note_recorded(service, added, now);
        history.versions(service, now)
    }

    /// Notes what the store has recorded.
    pub(crate) fn note_versions_written(&self, service: &str, recorded: Versions) {
        let mut known = self.known.lock();
        known.versions.set_recorded(service, recorded);
        Self::mark_stale(&mut known, service);
    }
}

impl ViewState {
    fn listed_services(&self) -> BTreeSet<String> {
        let servers = self.servers.values();
        servers.map(|(_, server)| server.service.clone()).collect()
    }

    /// Versions of the listed servers of a service, and of those that are not draining.
    pub(crate) fn listed_versions(&self, service: &str) -> (Versions, Versions) {
        let (mut listed, mut serving) = (Versions::new(), Versions::new());
        let servers = self.servers.values().map(|(_, server)| server);
        for server in servers.filter(|server| server.service == service) {
            if !listed.contains(&server.version) {
                listed.insert(server.version.clone());
            }
            if !server.draining && !serving.contains(&server.version) {
                serving.insert(server.version.clone());
            }
        }
        (listed, serving)
    }
}
