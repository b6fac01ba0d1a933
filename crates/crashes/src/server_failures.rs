//! End times of servers across the fleet. Servers that end together are assumed to share an external cause. Pure;
//! time is an argument.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::feature::Feature;

/// Servers that end within this time of each other count as correlated. It covers the difference with which nodes
/// observe the loss of a rack or zone, up to 90 ms in a fleet of 67 nodes, and is shorter than the usual interval
/// between two crashes by one request, 150 ms.
const CORRELATION_WINDOW: Duration = Duration::from_millis(100);
/// If at least this number of servers that did not run the request end together with one that did, the request is not
/// blamed.
const MIN_OTHER_FAILURES: usize = 2;
/// Limit on the recorded ends: as many as may occur within minutes among 7,900 servers.
const MAX_FAILURES: usize = 4_096;

#[derive(Default)]
pub(crate) struct ServerFailures {
    by_server: HashMap<String, Instant>,
    by_time: BTreeSet<(Instant, String)>,
    /// Servers that ended under each refused feature that crashes servers before it brings output.
    crashed_by: HashMap<Feature, Vec<String>>,
}

impl ServerFailures {
    /// Records the first observation of a server's end.
    pub(crate) fn note(&mut self, server: &str, at: Instant) {
        if self.by_server.contains_key(server) {
            return;
        }
        if self.by_time.len() >= MAX_FAILURES
            && let Some((_, oldest)) = self.by_time.pop_first()
        {
            self.by_server.remove(&oldest);
        }
        self.by_server.insert(server.to_owned(), at);
        self.by_time.insert((at, server.to_owned()));
    }

    /// Updates the servers that a feature has crashed.
    pub(crate) fn set_crashed(&mut self, feature: Feature, servers: Vec<String>) {
        match servers.is_empty() {
            true => self.crashed_by.remove(&feature),
            false => self.crashed_by.insert(feature, servers),
        };
    }

    /// Whether a feature that crashes servers before it brings output crashed a server.
    pub(crate) fn is_crashed(&self, server: &str) -> bool {
        let mut crashed = self.crashed_by.values().flatten();
        crashed.any(|crashed| crashed == server)
    }

    /// When a server's end was first observed.
    pub(crate) fn ended_at(&self, server: &str) -> Option<Instant> {
        self.by_server.get(server).copied()
    }

    /// Whether at least [`MIN_OTHER_FAILURES`] other servers, none of them in `own`, ended together with a server.
    pub(crate) fn is_correlated(&self, server: &str, own: &[&str]) -> bool {
        let at = self.by_server.get(server);
        at.is_some_and(|at| self.others_ended_near(*at, CORRELATION_WINDOW, own))
    }

    /// Whether at least [`MIN_OTHER_FAILURES`] servers, none of them in `own`, ended within a time of a moment.
    pub(crate) fn others_ended_near(&self, at: Instant, window: Duration, own: &[&str]) -> bool {
        let from = at.checked_sub(window).unwrap_or(at);
        let near = self.by_time.range((from, String::new())..);
        let near = near.take_while(|(other, _)| *other <= at + window);
        let others = near.filter(|(_, other)| !own.contains(&other.as_str()));
        others.take(MIN_OTHER_FAILURES).count() >= MIN_OTHER_FAILURES
    }
}
