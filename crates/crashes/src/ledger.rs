//! All requests under which servers ended, as one node knows them. Pure: time is an argument.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::fingerprint::Fingerprint;
use crate::gossip::TELLINGS;
use crate::messages::CrashRecord;
use crate::recently_served::RecentlyServed;
use crate::record::{MOST_ENDED, Record};
use crate::server_failures::ServerFailures;

/// Requests that are held. Each one cost a server, or stood beside one that did: 7,900 servers with 26 requests
/// each, of which every fiftieth ends in the same minutes. About 1 MB.
const MOST_RECORDS: usize = 4_096;
/// How long a request is held under which fewer servers ended than may: a caller that comes again does so within its
/// own retries and those of people, minutes.
const KEPT_SUSPECT: Duration = Duration::from_secs(600);
/// How long a request is held that runs no more. After that it may cost three servers again.
pub const KEPT_REFUSED: Duration = Duration::from_secs(3_600);

/// Stands behind the identifier of a start for the one after it, before that tells its own.
const LATER_START: char = '+';
/// A run that began so long after a server was seen to end ran on a later start of it. Nodes see one end up to 90 ms apart.
const ENDS_APART: Duration = Duration::from_millis(200);

/// What holds for the next run of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// It may run.
    Free,
    /// It may run, and the next server that ends under it is the last one: it runs apart from others of which this
    /// holds too, so that one of them does not answer for the other.
    LastRun,
    /// It may run once a run that is under way has ended.
    Wait,
    /// It runs no more.
    Refused,
}

/// What the end of a server under a request came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Noted {
    /// Servers that have ended under it.
    pub ended: usize,
    /// It runs no more from now on.
    pub now_refused: bool,
}

/// What a message brought.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Merged {
    /// Something was not known.
    pub is_new: bool,
    /// The request runs no more from now on.
    pub now_refused: bool,
}

/// A record as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Servers that ended under it.
    pub ended: Vec<String>,
    /// Time since the last of them was seen to end.
    pub age: Duration,
}

/// All requests under which servers ended.
pub struct Ledger {
    pub(crate) own: u64,
    pub(crate) sequence: u64,
    pub(crate) records: BTreeMap<Fingerprint, Record>,
    /// Servers at which this node runs requests, known or not.
    pub(crate) running: HashMap<Fingerprint, Vec<String>>,
    /// Requests that were served lately.
    served: RecentlyServed,
    /// Servers that ended lately.
    server_failures: ServerFailures,
    /// How often changes are still to be told.
    pub(crate) untold: HashMap<Fingerprint, u8>,
    pub(crate) repeated: Option<Fingerprint>,
    /// Requests that run no more, or do again, of which the store is still to learn from this node.
    unstored: BTreeSet<Fingerprint>,
}

impl Ledger {
    /// Nothing is known. `own` is the number of this node and life.
    pub fn new(own: u64) -> Self {
        Self {
            own,
            sequence: 0,
            records: BTreeMap::new(),
            running: HashMap::new(),
            served: RecentlyServed::default(),
            server_failures: ServerFailures::default(),
            untold: HashMap::new(),
            repeated: None,
            unstored: BTreeSet::new(),
        }
    }

    /// What holds for the next run of a request.
    pub fn permit(&self, request: &Fingerprint, now: Instant) -> Permit {
        let Some(record) = self.records.get(request) else {
            return Permit::Free;
        };
        let counted = record.counted(&self.server_failures);
        if counted == 0 && !record.is_in_doubt(now) {
            return Permit::Free;
        }
        let own = self.running.get(request).map_or(0, Vec::len);
        let under_way = own + record.told_servers(now).count();
        if counted >= MOST_ENDED {
            return match under_way == 0 && record.may_try_again(counted, now) {
                true => Permit::LastRun,
                false => Permit::Refused,
            };
        }
        // Each run under way may end its server.
        if counted + under_way >= MOST_ENDED {
            return Permit::Wait;
        }
        match counted + 1 == MOST_ENDED {
            true => Permit::LastRun,
            false => Permit::Free,
        }
    }

    /// Begins a run at a server, unless it must wait or is refused.
    pub fn begin(&mut self, request: &Fingerprint, server: &str, now: Instant) -> Permit {
        let permit = self.permit(request, now);
        match permit {
            Permit::Wait | Permit::Refused => return permit,
            Permit::LastRun if self.last_run_servers(request, now).contains(server) => {
                return Permit::Wait;
            }
            Permit::Free | Permit::LastRun => {}
        }
        let running = self.running.entry(*request).or_default();
        running.push(server.to_owned());
        self.tell_runs(request, now);
        permit
    }

    /// A run at a server is over, however it ended.
    pub fn end(&mut self, request: &Fingerprint, server: &str, now: Instant) {
        if let Some(servers) = self.running.get_mut(request) {
            if let Some(at) = servers.iter().position(|running| running == server) {
                servers.swap_remove(at);
            }
            if servers.is_empty() {
                self.running.remove(request);
            }
        }
        self.tell_runs(request, now);
    }

    /// The start of a server that ran what began at a moment. A server that was seen to end before then has started again,
    /// and its new entry has not come yet: this start has no identifier that is known, but it is another one.
    pub fn start_that_ran(&self, server: &str, began: Instant) -> String {
        let has_ended = |start: &str| {
            let ended = self.server_failures.ended_at(start);
            ended.is_some_and(|ended| began > ended + ENDS_APART)
        };
        let mut start = server.to_owned();
        while has_ended(&start) {
            start.push(LATER_START);
        }
        start
    }

    /// A server ended while it ran a request; `brought_output` when the run had.
    pub fn note_ended(
        &mut self,
        request: &Fingerprint,
        server: &str,
        brought_output: bool,
        now: Instant,
    ) -> Noted {
        self.make_room(request);
        let was_refused = self.is_refused(request);
        self.server_failures.note(server, now);
        let record = self.records.entry(*request);
        let record = record.or_insert_with(|| Record::new(now));
        record.seen_here = true;
        let ended = record.note_ended(server, now, brought_output);
        let servers = record.ended.len();
        self.note_served_before(request);
        let noted = Noted {
            ended: servers,
            now_refused: !was_refused && self.is_refused(request),
        };
        if ended {
            self.untold.insert(*request, TELLINGS);
        }
        if noted.now_refused {
            self.unstored.insert(*request);
        }
        noted
    }

    /// A run of a request had brought output for long when its server ended.
    pub fn note_long_run(&mut self, request: &Fingerprint) {
        if let Some(record) = self.records.get_mut(request) {
            record.ran_long = true;
        }
    }

    /// A run broke off, and whether its server ends is not known yet: runs under way count as ends that may come.
    pub fn note_doubt(&mut self, request: &Fingerprint, now: Instant) {
        self.make_room(request);
        let record = self.records.entry(*request);
        record.or_insert_with(|| Record::new(now)).doubt(now);
        self.tell_runs(request, now);
    }

    /// Whether a request runs no more.
    fn is_refused(&self, request: &Fingerprint) -> bool {
        let record = self.records.get(request);
        record.is_some_and(|record| record.counted(&self.server_failures) >= MOST_ENDED)
    }

    /// Notes whether this node served a request a moment before the first server ended under it.
    fn note_served_before(&mut self, request: &Fingerprint) {
        let Some(record) = self.records.get_mut(request) else {
            return;
        };
        let first = record.first_end();
        record.served_before |=
            first.is_some_and(|first| self.served.lately_before(request, first));
    }

    /// A server ran a request to a good end: it does not crash every server. Whether that was in doubt.
    pub fn note_served(&mut self, request: &Fingerprint, now: Instant) -> bool {
        let was_refused = self.is_refused(request);
        self.served.note(*request, now);
        self.clear(request, was_refused, now)
    }

    /// Forgets what is known against a request, as an operator asks; whether there was anything.
    pub fn forgive(&mut self, request: &Fingerprint, now: Instant) -> bool {
        let was_refused = self.is_refused(request);
        self.clear(request, was_refused, now)
    }

    fn clear(&mut self, request: &Fingerprint, was_refused: bool, now: Instant) -> bool {
        let known = self.records.get_mut(request);
        let Some(record) = known.filter(|record| !record.ended.is_empty()) else {
            return false;
        };
        if was_refused {
            self.unstored.insert(*request);
        }
        record.clear(now);
        self.untold.insert(*request, TELLINGS);
        true
    }

    /// Servers at which other requests have their last run now.
    pub fn last_run_servers(&self, but: &Fingerprint, now: Instant) -> HashSet<String> {
        let others = self.records.iter();
        let others = others.filter(|(request, record)| {
            *request != but && record.counted(&self.server_failures) + 1 == MOST_ENDED
        });
        let mut servers = HashSet::new();
        for (request, record) in others {
            let own = self.running.get(request).into_iter().flatten();
            servers.extend(own.cloned());
            servers.extend(record.told_servers(now).map(str::to_owned));
        }
        servers
    }

    /// Servers that ended under a request.
    pub fn ended_under(&self, request: &Fingerprint) -> Vec<String> {
        let record = self.records.get(request);
        record.map(Record::servers).unwrap_or_default()
    }

    /// Takes a record that another node, or the store, tells. `pass_on`: it is told to others in turn.
    pub fn merge(&mut self, told: CrashRecord, pass_on: bool, now: Instant) -> Merged {
        let Some(request) = Fingerprint::from_bytes(&told.fingerprint) else {
            return Merged::default();
        };
        if Duration::from_millis(told.age_ms) >= kept(told.ended.len()) {
            return Merged::default();
        }
        self.make_room(&request);
        let own = self.own;
        let was_refused = self.is_refused(&request);
        let seen = now.checked_sub(Duration::from_millis(told.age_ms));
        let record = self.records.entry(request);
        let record = record.or_insert_with(|| Record::new(seen.unwrap_or(now)));
        let (is_new, seen_here) = (record.merge(told, own, now), record.seen_here);
        for end in &record.ended {
            self.server_failures.note(&end.server, end.at);
        }
        self.note_served_before(&request);
        let merged = Merged {
            is_new,
            now_refused: !was_refused && self.is_refused(&request),
        };
        // One of those that saw a server end writes it: what was put together from their news is known to all.
        if merged.now_refused && seen_here {
            self.unstored.insert(request);
        }
        if merged.is_new && pass_on {
            self.untold.insert(request, TELLINGS);
        }
        merged
    }

    /// The next request of which the store is to learn: its record while it runs no more, `None` when it may run.
    pub fn next_unstored(&mut self, now: Instant) -> Option<(Fingerprint, Option<CrashRecord>)> {
        let request = self.unstored.pop_first()?;
        let refused = self.is_refused(&request);
        Some((request, refused.then(|| self.message(&request, now))))
    }

    /// The store could not be told of a request.
    pub fn store_later(&mut self, request: Fingerprint) {
        self.unstored.insert(request);
    }

    /// Forgets what is too old.
    pub fn sweep(&mut self, now: Instant) {
        self.records.retain(|_, record| {
            let age = now.saturating_duration_since(record.changed);
            age < kept(record.ended.len()) && !record.is_blank(now)
        });
    }

    /// Requests that run no more, and how many others are held.
    pub fn refused(&self, now: Instant) -> (Vec<Held>, usize) {
        let all = self.records.iter();
        let refused = all.filter(|(request, _)| self.is_refused(request));
        let refused: Vec<Held> = refused
            .map(|(request, record)| Held {
                fingerprint: *request,
                ended: record.servers(),
                age: now.saturating_duration_since(record.changed),
            })
            .collect();
        let others = self.records.len() - refused.len();
        (refused, others)
    }

    /// Makes room for one more request: those that may still run go first, then the oldest.
    fn make_room(&mut self, request: &Fingerprint) {
        if self.records.len() < MOST_RECORDS || self.records.contains_key(request) {
            return;
        }
        let least = self.records.iter().min_by_key(|(_, record)| {
            let ended = record.ended.len();
            (ended >= MOST_ENDED, ended, record.changed)
        });
        if let Some(least) = least.map(|(request, _)| *request) {
            self.records.remove(&least);
            self.untold.remove(&least);
            self.unstored.remove(&least);
        }
    }
}

/// How long a request is held under which so many servers ended.
fn kept(ended: usize) -> Duration {
    match ended >= MOST_ENDED {
        true => KEPT_REFUSED,
        false => KEPT_SUSPECT,
    }
}
