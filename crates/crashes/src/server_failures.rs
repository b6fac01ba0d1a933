//! When servers ended, over the whole fleet: those that end together were lost for a reason of their own. Pure.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use dappleyard_clock::Instant;

/// Servers that end at most so far apart end together. A rack or a zone is lost in one moment, which the nodes of a fleet
/// of 67 saw up to 90 ms apart; a request that crashes servers took 150 ms from one to the next in the mean.
const TOGETHER: Duration = Duration::from_millis(100);
/// Other servers that must have ended with one, and did not run the request, for the request to be none of the cause.
const OTHERS: usize = 2;
/// Servers that are held. They are as many as end within minutes, of 7,900.
const MOST_HELD: usize = 4_096;

/// Servers that ended lately, by time.
#[derive(Default)]
pub(crate) struct ServerFailures {
    by_server: HashMap<String, Instant>,
    by_time: BTreeSet<(Instant, String)>,
}

impl ServerFailures {
    /// Notes that a server was seen to end.
    pub(crate) fn note(&mut self, server: &str, at: Instant) {
        if self.by_server.contains_key(server) {
            return;
        }
        if self.by_time.len() >= MOST_HELD
            && let Some((_, oldest)) = self.by_time.pop_first()
        {
            self.by_server.remove(&oldest);
        }
        self.by_server.insert(server.to_owned(), at);
        self.by_time.insert((at, server.to_owned()));
    }

    /// When a server was seen to end.
    pub(crate) fn ended_at(&self, server: &str) -> Option<Instant> {
        self.by_server.get(server).copied()
    }

    /// Whether a server was lost together with others, none of which is among `own`.
    pub(crate) fn is_one_of_many(&self, server: &str, own: &[&str]) -> bool {
        let Some(at) = self.by_server.get(server) else {
            return false;
        };
        let from = at.checked_sub(TOGETHER).unwrap_or(*at);
        let near = self.by_time.range((from, String::new())..);
        let near = near.take_while(|(other, _)| *other <= *at + TOGETHER);
        let others = near.filter(|(_, other)| !own.contains(&other.as_str()));
        others.take(OTHERS).count() >= OTHERS
    }
}
