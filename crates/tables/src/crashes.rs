//! Requests that crashed engines, and the crashes that this node observed.

use std::collections::BTreeMap;
use std::sync::Arc;

use dappleyard_clock::Instant;
use dappleyard_crashes::{CrashRecord, CrashUpdates, Ledger, Permit, RequestFeatures};
use dappleyard_decide::time::Millis;
use dappleyard_wire::ids::ServerId;

use crate::rank::{Rank, RankedMutex};

/// Records offered to gossip at a time; a datagram carries as many as fit.
const NEWS_RECORDS: usize = 24;
/// Crashes of one engine within this time count as one; an engine cannot restart and take work sooner.
const CRASH_MERGE_WINDOW_MS: u64 = 500;

struct CrashState {
    ledger: Ledger,
    /// Latest crash of each engine, with its identifier. Engines keep their name across restarts, and the ledger identifies
    /// crashes by name.
    last_crashes: BTreeMap<ServerId, (Millis, String)>,
}

/// Table of requests that crashed engines.
pub struct CrashesTable {
    crashes: RankedMutex<CrashState>,
}

impl CrashesTable {
    /// Creates an empty table. `node_start` identifies this start of the node.
    pub fn new(node_start: u64) -> Arc<CrashesTable> {
        let crashes = CrashState {
            ledger: Ledger::new(node_start),
            last_crashes: BTreeMap::new(),
        };
        Arc::new(CrashesTable {
            crashes: RankedMutex::new(Rank::Crashes, crashes),
        })
    }

    /// Whether a request may run.
    pub fn permit(&self, request: &RequestFeatures) -> Permit {
        self.crashes.lock().ledger.permit(request, Instant::now())
    }

    /// Begins a run at an engine; fails with the permit if the request must wait or is refused.
    pub fn begin(
        self: &Arc<Self>,
        request: &RequestFeatures,
        server: &ServerId,
    ) -> Result<EngineRunGuard, Permit> {
        let mut crashes = self.crashes.lock();
        let begun = crashes
            .ledger
            .begin(request, server.as_str(), Instant::now());
        match begun {
            Permit::Free | Permit::LastRun => Ok(EngineRunGuard {
                table: self.clone(),
                request: request.clone(),
                server: server.clone(),
            }),
            Permit::Wait | Permit::Refused => Err(begun),
        }
    }

    /// News to send to other nodes, including news that was sent before.
    pub fn news(&self) -> CrashUpdates {
        let mut crashes = self.crashes.lock();
        crashes.ledger.updates(true, NEWS_RECORDS, Instant::now())
    }

    /// Merges a record from another node; returns whether it was new.
    pub fn learn(&self, record: CrashRecord) -> bool {
        let mut crashes = self.crashes.lock();
        crashes.ledger.merge(record, true, Instant::now()).is_new
    }

    /// Removes expired records.
    pub fn sweep(&self) {
        self.crashes.lock().ledger.sweep(Instant::now());
    }
}

/// Run of a request at an engine; ends when dropped.
pub struct EngineRunGuard {
    table: Arc<CrashesTable>,
    request: RequestFeatures,
    server: ServerId,
}

impl EngineRunGuard {
    /// Records that the engine crashed during the run; returns the number of crashes under the request.
    pub fn note_ended(&self, now: Millis, unix_ms: u64) -> usize {
        let mut crashes = self.table.crashes.lock();
        let newest = crashes.last_crashes.get(&self.server);
        let newest = newest.filter(|(at, _)| now.since(*at) < CRASH_MERGE_WINDOW_MS);
        let end = match newest {
            Some((_, end)) => end.clone(),
            None => format!("{} at {unix_ms}", self.server),
        };
        crashes
            .last_crashes
            .insert(self.server.clone(), (now, end.clone()));
        let noted = crashes
            .ledger
            .note_ended(&self.request, &end, None, Instant::now());
        noted.ended
    }

    /// Records that the engine completed the request.
    pub fn note_served(&self) {
        let mut crashes = self.table.crashes.lock();
        crashes.ledger.note_served(&self.request, Instant::now());
    }
}

impl Drop for EngineRunGuard {
    fn drop(&mut self) {
        let mut crashes = self.table.crashes.lock();
        crashes
            .ledger
            .end(&self.request, self.server.as_str(), Instant::now());
    }
}
