//! What a controller sees of its servers: bounded looks at the engines, those of interest first.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dappleyard_decide::rollout::ServerView;
use dappleyard_decide::time::Millis;
use dappleyard_engine::{Engine, EngineReport};
use dappleyard_tables::NodeTables;
use dappleyard_tables::directory::ServerEntry;
use futures::StreamExt;

/// Looks at servers of interest in one round.
const MAX_PRIORITY_POLLS: usize = 64;
/// Looks at other servers in one round: all are observed in turn, at a bounded cost.
const MAX_ROTATING_POLLS: usize = 16;
/// Looks that are open at once.
const CONCURRENCY: usize = 16;
/// Longest time for one look.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// One server as last observed.
#[derive(Debug, Clone)]
pub struct ObservedServer {
    /// Where it is.
    pub entry: ServerEntry,
    /// Its view for decisions.
    pub view: ServerView,
    /// Adapters loaded.
    pub adapters: Vec<String>,
    /// The engine takes new work, by its own word.
    pub accepting: bool,
    /// When it was looked at; `None` before the first time.
    pub observed_at: Option<Millis>,
    /// Since when it has carried its version.
    pub version_since: Millis,
}

impl ObservedServer {
    fn new(entry: ServerEntry, now: Millis) -> ObservedServer {
        ObservedServer {
            view: ServerView {
                server: entry.server.to_string(),
                zone: entry.zone.to_string(),
                reachable: false,
                leaving: entry.leaving,
                version: String::new(),
                loading: String::new(),
                load_failure: String::new(),
                step_ms: 0.0,
                failed_looks: 0,
                looks: 0,
            },
            entry,
            adapters: Vec::new(),
            accepting: true,
            observed_at: None,
            version_since: now,
        }
    }

    fn apply_report(&mut self, report: EngineReport, failing: bool, now: Millis) {
        let version = report.model.as_ref().map_or("", |model| &model.version);
        if version != self.view.version {
            self.view.version = version.to_owned();
            self.view.looks = 0;
            self.view.failed_looks = 0;
            self.version_since = now;
        }
        self.view.reachable = true;
        self.view.loading = report.loading;
        self.view.load_failure = report.load_failure;
        self.view.step_ms = report.step_ms;
        self.view.looks += 1;
        self.view.failed_looks += u32::from(failing);
        self.adapters = report.model.map_or_else(Vec::new, |model| model.adapters);
        self.accepting = report.accepting;
        self.observed_at = Some(now);
    }

    fn mark_unreachable(&mut self, now: Millis) {
        self.view.reachable = false;
        self.view.looks += 1;
        self.view.failed_looks += 1;
        self.observed_at = Some(now);
    }
}

/// All servers of a service, as last observed.
#[derive(Debug, Default)]
pub struct Observations {
    observed: BTreeMap<String, ObservedServer>,
}

impl Observations {
    /// Takes over the directory: new servers come, lost ones go, drained ones are marked.
    pub fn update_servers(&mut self, tables: &NodeTables, service: &str) {
        let now = tables.clock.now();
        let configuration = tables.configuration.current();
        let entries = tables.directory.all();
        let mut next = BTreeMap::new();
        for entry in entries
            .into_iter()
            .filter(|entry| entry.service.as_str() == service)
        {
            let id = entry.server.to_string();
            let known = self.observed.remove(&id);
            let mut observed = match known {
                Some(observed) if observed.entry.base_url == entry.base_url => observed,
                _ => ObservedServer::new(entry.clone(), now),
            };
            observed.view.leaving =
                entry.leaving || configuration.is_draining(&id, &entry.hall, entry.zone.as_str());
            observed.entry = entry;
            next.insert(id, observed);
        }
        self.observed = next;
    }

    /// Looks at the engines: all `prioritized`, and some of the others in turn. `failing` are servers
    /// of which their owners say that calls fail.
    pub async fn poll(
        &mut self,
        tables: &NodeTables,
        engine: &dyn Engine,
        prioritized: &BTreeSet<String>,
        failing: &BTreeSet<String>,
    ) {
        let targets = self.targets(prioritized);
        let polls = targets.into_iter().map(|(id, base)| async move {
            let result = tokio::time::timeout(POLL_TIMEOUT, engine.status(&base)).await;
            (id, result)
        });
        let responses: Vec<_> = futures::stream::iter(polls)
            .buffer_unordered(CONCURRENCY)
            .collect()
            .await;
        let now = tables.clock.now();
        for (id, answer) in responses {
            let is_failing = failing.contains(&id);
            if let Some(observed) = self.observed.get_mut(&id) {
                match answer {
                    Ok(Ok(report)) => observed.apply_report(report, is_failing, now),
                    Ok(Err(_)) | Err(_) => observed.mark_unreachable(now),
                }
            }
        }
    }

    fn targets(&self, prioritized: &BTreeSet<String>) -> Vec<(String, String)> {
        let mut priority = Vec::new();
        let mut others = Vec::new();
        for (id, observed) in &self.observed {
            let unsettled = observed.observed_at.is_none()
                || !observed.view.reachable
                || !observed.view.loading.is_empty()
                || observed.view.version.is_empty();
            let target = (
                observed.observed_at,
                id.clone(),
                observed.entry.base_url.clone(),
            );
            if unsettled || prioritized.contains(id) {
                priority.push(target);
            } else {
                others.push(target);
            }
        }
        priority.sort();
        others.sort();
        let priority = priority.into_iter().take(MAX_PRIORITY_POLLS);
        priority
            .chain(others.into_iter().take(MAX_ROTATING_POLLS))
            .map(|(_, id, base)| (id, base))
            .collect()
    }

    /// Views for decisions. Servers that were never looked at are left out.
    pub fn views(&self) -> Vec<ServerView> {
        let observed = self
            .observed
            .values()
            .filter(|observed| observed.observed_at.is_some());
        observed.map(|observed| observed.view.clone()).collect()
    }

    /// Whether every server was looked at.
    pub fn is_complete(&self) -> bool {
        self.observed
            .values()
            .all(|observed| observed.observed_at.is_some())
    }

    /// One server.
    pub fn get(&self, server: &str) -> Option<&ObservedServer> {
        self.observed.get(server)
    }

    /// All servers.
    pub fn all(&self) -> impl Iterator<Item = &ObservedServer> {
        self.observed.values()
    }

    /// Notes that an order to load was given, before the engine shows it.
    pub fn mark_loading(&mut self, server: &str, version: &str) {
        if let Some(observed) = self.observed.get_mut(server) {
            observed.view.loading = version.to_owned();
        }
    }
}
