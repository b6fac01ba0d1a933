//! Polls the engines of a service. The number of polls per round is bounded; servers that are
//! changing come first.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dappleyard_decide::rollout::ServerView;
use dappleyard_decide::time::Millis;
use dappleyard_engine::{Engine, EngineReport};
use dappleyard_tables::NodeTables;
use dappleyard_tables::directory::ServerEntry;
use futures::StreamExt;

/// Limit on polls of prioritized servers per round.
const MAX_PRIORITY_POLLS: usize = 64;
/// Limit on polls of the other servers per round; they take turns.
const MAX_ROTATING_POLLS: usize = 16;
/// Concurrent polls.
const CONCURRENCY: usize = 16;
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Last observed state of a server.
#[derive(Debug, Clone)]
pub struct ObservedServer {
    /// Entry in the machine directory.
    pub entry: ServerEntry,
    /// State used for rollout decisions.
    pub view: ServerView,
    pub adapters: Vec<String>,
    /// Whether the engine reports that it accepts new work.
    pub accepting: bool,
    /// Time of the last poll.
    pub observed_at: Option<Millis>,
    /// Time at which the current version was first observed.
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
                failed_observations: 0,
                observations: 0,
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
            self.view.observations = 0;
            self.view.failed_observations = 0;
            self.version_since = now;
        }
        self.view.reachable = true;
        self.view.loading = report.loading;
        self.view.load_failure = report.load_failure;
        self.view.step_ms = report.step_ms;
        self.view.observations += 1;
        self.view.failed_observations += u32::from(failing);
        self.adapters = report.model.map_or_else(Vec::new, |model| model.adapters);
        self.accepting = report.accepting;
        self.observed_at = Some(now);
    }

    fn mark_unreachable(&mut self, now: Millis) {
        self.view.reachable = false;
        self.view.observations += 1;
        self.view.failed_observations += 1;
        self.observed_at = Some(now);
    }
}

/// Last observed state of all servers of a service.
#[derive(Debug, Default)]
pub struct Observations {
    observed: BTreeMap<String, ObservedServer>,
}

impl Observations {
    /// Synchronizes the set of servers with the directory and marks drained ones as leaving.
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

    /// Polls the prioritized engines first, then some of the others in turn. `failing` are servers
    /// whose owners report failed calls.
    pub async fn poll(
        &mut self,
        tables: &NodeTables,
        engine: &dyn Engine,
        prioritized: &BTreeSet<String>,
        failing: &BTreeSet<String>,
    ) {
        let targets = self.targets(prioritized);
        let polls = targets.into_iter().map(|(id, base)| async move {
            let poll = tokio::time::timeout(POLL_TIMEOUT, engine.status(&base)).await;
            (id, poll)
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

    /// State for rollout decisions, without servers that were never polled.
    pub fn views(&self) -> Vec<ServerView> {
        let observed = self
            .observed
            .values()
            .filter(|observed| observed.observed_at.is_some());
        observed.map(|observed| observed.view.clone()).collect()
    }

    /// Whether every server was polled at least once.
    pub fn is_complete(&self) -> bool {
        self.observed
            .values()
            .all(|observed| observed.observed_at.is_some())
    }

    pub fn get(&self, server: &str) -> Option<&ObservedServer> {
        self.observed.get(server)
    }

    pub fn all(&self) -> impl Iterator<Item = &ObservedServer> {
        self.observed.values()
    }

    /// Marks a server as loading before the engine reports it.
    pub fn mark_loading(&mut self, server: &str, version: &str) {
        if let Some(observed) = self.observed.get_mut(server) {
            observed.view.loading = version.to_owned();
        }
    }
}
