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
const MOST_LOOKS: usize = 64;
/// Looks at other servers in one round: all are seen in turn, at a bounded cost.
const ROTATING_LOOKS: usize = 16;
/// Looks that are open at once.
const CONCURRENCY: usize = 16;
/// Longest time for one look.
const LOOK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// One server as last seen.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Where it is.
    pub entry: ServerEntry,
    /// Its view for decisions.
    pub view: ServerView,
    /// Adapters loaded.
    pub adapters: Vec<String>,
    /// The engine takes new work, by its own word.
    pub accepting: bool,
    /// When it was looked at; `None` before the first time.
    pub looked_at: Option<Millis>,
    /// Since when it has carried its version.
    pub version_since: Millis,
}

impl Seen {
    fn new(entry: ServerEntry, now: Millis) -> Seen {
        Seen {
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
            looked_at: None,
            version_since: now,
        }
    }

    fn take(&mut self, report: EngineReport, failing: bool, now: Millis) {
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
        self.looked_at = Some(now);
    }

    fn miss(&mut self, now: Millis) {
        self.view.reachable = false;
        self.view.observations += 1;
        self.view.failed_observations += 1;
        self.looked_at = Some(now);
    }
}

/// All servers of a service, as last seen.
#[derive(Debug, Default)]
pub struct Observations {
    seen: BTreeMap<String, Seen>,
}

impl Observations {
    /// Takes over the directory: new servers come, lost ones go, drained ones are marked.
    pub fn follow(&mut self, tables: &NodeTables, service: &str) {
        let now = tables.clock.now();
        let configuration = tables.configuration.current();
        let entries = tables.directory.all();
        let mut next = BTreeMap::new();
        for entry in entries
            .into_iter()
            .filter(|entry| entry.service.as_str() == service)
        {
            let id = entry.server.to_string();
            let known = self.seen.remove(&id);
            let mut seen = match known {
                Some(seen) if seen.entry.base_url == entry.base_url => seen,
                _ => Seen::new(entry.clone(), now),
            };
            seen.view.leaving =
                entry.leaving || configuration.is_draining(&id, &entry.hall, entry.zone.as_str());
            seen.entry = entry;
            next.insert(id, seen);
        }
        self.seen = next;
    }

    /// Looks at the engines: all `of_interest`, and some of the others in turn. `failing` are servers
    /// of which their owners say that calls fail.
    pub async fn look(
        &mut self,
        tables: &NodeTables,
        engine: &dyn Engine,
        of_interest: &BTreeSet<String>,
        failing: &BTreeSet<String>,
    ) {
        let targets = self.targets(of_interest);
        let looks = targets.into_iter().map(|(id, base)| async move {
            let look = tokio::time::timeout(LOOK_TIMEOUT, engine.status(&base)).await;
            (id, look)
        });
        let answers: Vec<_> = futures::stream::iter(looks)
            .buffer_unordered(CONCURRENCY)
            .collect()
            .await;
        let now = tables.clock.now();
        for (id, answer) in answers {
            let is_failing = failing.contains(&id);
            if let Some(seen) = self.seen.get_mut(&id) {
                match answer {
                    Ok(Ok(report)) => seen.take(report, is_failing, now),
                    Ok(Err(_)) | Err(_) => seen.miss(now),
                }
            }
        }
    }

    fn targets(&self, of_interest: &BTreeSet<String>) -> Vec<(String, String)> {
        let mut interesting = Vec::new();
        let mut others = Vec::new();
        for (id, seen) in &self.seen {
            let unsettled = seen.looked_at.is_none()
                || !seen.view.reachable
                || !seen.view.loading.is_empty()
                || seen.view.version.is_empty();
            let target = (seen.looked_at, id.clone(), seen.entry.base_url.clone());
            if unsettled || of_interest.contains(id) {
                interesting.push(target);
            } else {
                others.push(target);
            }
        }
        interesting.sort();
        others.sort();
        let interesting = interesting.into_iter().take(MOST_LOOKS);
        interesting
            .chain(others.into_iter().take(ROTATING_LOOKS))
            .map(|(_, id, base)| (id, base))
            .collect()
    }

    /// Views for decisions. Servers that were never looked at are left out.
    pub fn views(&self) -> Vec<ServerView> {
        let seen = self.seen.values().filter(|seen| seen.looked_at.is_some());
        seen.map(|seen| seen.view.clone()).collect()
    }

    /// Whether every server was looked at.
    pub fn is_complete(&self) -> bool {
        self.seen.values().all(|seen| seen.looked_at.is_some())
    }

    /// One server.
    pub fn get(&self, server: &str) -> Option<&Seen> {
        self.seen.get(server)
    }

    /// All servers.
    pub fn all(&self) -> impl Iterator<Item = &Seen> {
        self.seen.values()
    }

    /// Notes that an order to load was given, before the engine shows it.
    pub fn note_loading(&mut self, server: &str, version: &str) {
        if let Some(seen) = self.seen.get_mut(server) {
            seen.view.loading = version.to_owned();
        }
    }
}
