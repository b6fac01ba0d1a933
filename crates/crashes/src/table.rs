//! The crash ledger, shared by the threads of a node.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_clock::Instant;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::feature::{Feature, RequestFeatures};
use crate::ledger::{EndOutcome, Ledger, MergeOutcome, Permit, RefusedFeature};
use crate::messages::{CrashRecord, CrashUpdates};
use crate::record::LONG_RUN;

/// Shared crash ledger. The lock is never held across an await or together with another lock.
pub struct CrashTable {
    ledger: Mutex<Ledger>,
    /// Notified of a change to write to the store.
    unstored: Notify,
    /// Notified of a change to send to other nodes.
    unsent: Notify,
}

impl CrashTable {
    /// Creates an empty table. `node_id` identifies this node and process incarnation.
    pub fn new(node_id: u64) -> Self {
        Self {
            ledger: Mutex::new(Ledger::new(node_id)),
            unstored: Notify::new(),
            unsent: Notify::new(),
        }
    }

    /// Whether there are changes that still have to be sent.
    pub fn has_updates(&self) -> bool {
        self.ledger.lock().has_updates()
    }

    /// Waits for further changes to send.
    pub async fn wait_for_updates(&self) {
        self.unsent.notified().await;
    }

    /// Updates the ledger, and notifies the sender if there are new changes to send.
    fn change<T>(&self, change: impl FnOnce(&mut Ledger) -> T) -> T {
        let mut ledger = self.ledger.lock();
        let before = ledger.unsent.len() + ledger.resent.len();
        let result = change(&mut ledger);
        if ledger.unsent.len() + ledger.resent.len() > before {
            self.unsent.notify_one();
        }
        result
    }

    /// Holds all requests back until [`finish_learning`](Self::finish_learning), but no longer than `limit`.
    pub fn start_learning(&self, limit: Duration) {
        self.ledger.lock().learn_until(Instant::now() + limit);
    }

    /// The refusals of other nodes are known.
    pub fn finish_learning(&self) {
        self.ledger.lock().finish_learning();
    }

    /// Decides on the next run of a request.
    pub fn permit(&self, request: &RequestFeatures) -> Permit {
        self.ledger.lock().permit(request, Instant::now())
    }

    /// Same, and reserves the retry of a refused feature: until it may begin, the request waits.
    pub fn prepare(&self, request: &RequestFeatures) -> Permit {
        self.change(|ledger| ledger.prepare(request, Instant::now()))
    }

    /// The first feature for which a request is refused, if it is.
    pub fn refusal(&self, request: &RequestFeatures) -> Option<RefusedFeature> {
        self.ledger.lock().refusal(request, Instant::now())
    }

    /// Starts a run on a server; returns the permit as an error if the request must wait or is refused.
    pub fn begin(
        self: &Arc<Self>,
        request: &RequestFeatures,
        server: &str,
    ) -> Result<RunGuard, Permit> {
        let decision = self.change(|ledger| ledger.begin(request, server, Instant::now()));
        match decision {
            Permit::Free | Permit::LastRun => Ok(RunGuard {
                table: self.clone(),
                request: request.clone(),
                server: server.to_owned(),
                began: Instant::now(),
                is_over: false,
                ran_long: false,
            }),
            Permit::Wait | Permit::Refused => Err(decision),
        }
    }

    /// Servers that run other requests in the state [`Permit::LastRun`].
    pub fn last_run_servers(&self, except: &RequestFeatures) -> HashSet<String> {
        self.ledger.lock().last_run_servers(except, Instant::now())
    }

    /// Servers that ended while they ran requests with a feature.
    pub fn ended_under(&self, feature: &Feature) -> Vec<String> {
        self.ledger.lock().ended_under(feature)
    }

    /// Returns the records to send now, at most `max_records`. With `refresh`, also resends records that were sent
    /// before.
    pub fn updates(&self, refresh: bool, max_records: usize) -> CrashUpdates {
        self.ledger
            .lock()
            .updates(refresh, max_records, Instant::now())
    }

    /// Sends the refused features to all nodes again, because one has just started.
    pub fn resend_refused(&self) {
        self.change(Ledger::resend_refused);
    }

    /// Merges records received from another node; with `relay`, new information is sent on.
    /// Returns the features that are refused from now on.
    pub fn merge(&self, updates: CrashUpdates, relay: bool) -> Vec<Feature> {
        self.merge_each(updates.records, |ledger, report, now| {
            ledger.merge(report, relay, now)
        })
    }

    /// Merges records read from the store. Returns the features that are refused from now on.
    pub fn merge_stored(&self, records: Vec<CrashRecord>) -> Vec<Feature> {
        self.merge_each(records, Ledger::merge_stored)
    }

    /// The records with ends, at most `max_records`: those with the most ends first.
    pub fn counts(&self, max_records: usize) -> Vec<CrashRecord> {
        self.ledger.lock().counts(max_records, Instant::now())
    }

    fn merge_each(
        &self,
        records: Vec<CrashRecord>,
        merge: impl Fn(&mut Ledger, CrashRecord, Instant) -> MergeOutcome,
    ) -> Vec<Feature> {
        let now = Instant::now();
        let refused = self.change(|ledger| {
            let mut refused = Vec::new();
            for report in records {
                let feature = report.feature();
                let MergeOutcome { now_refused, .. } = merge(ledger, report, now);
                refused.extend(feature.filter(|_| now_refused));
            }
            refused
        });
        if !refused.is_empty() {
            self.unstored.notify_one();
        }
        refused
    }

    /// Waits for the next change to write to the store: the record of a refused feature, or `None` if requests with it may
    /// run again.
    pub async fn next_unstored(&self) -> (Feature, Option<CrashRecord>) {
        loop {
            let next = self.ledger.lock().next_unstored(Instant::now());
            if let Some(next) = next {
                return next;
            }
            self.unstored.notified().await;
        }
    }

    /// Queues a feature again after a failed write to the store.
    pub fn requeue_unstored(&self, feature: Feature) {
        self.ledger.lock().requeue_unstored(feature);
        self.unstored.notify_one();
    }

    /// Removes the records whose retention is over and those without information.
    pub fn sweep(&self) {
        self.ledger.lock().sweep(Instant::now());
    }

    /// Refused features, and the number of other records.
    pub fn refused(&self) -> (Vec<RefusedFeature>, usize) {
        self.ledger.lock().refused(Instant::now())
    }

    /// The record of a feature in the form in which it is sent.
    pub fn message(&self, feature: &Feature) -> CrashRecord {
        self.ledger.lock().message(feature, Instant::now())
    }

    /// Clears a feature on behalf of an operator; returns whether it was suspected.
    pub fn forgive(&self, feature: &Feature) -> bool {
        let cleared = self.change(|ledger| ledger.forgive(feature, Instant::now()));
        if cleared {
            self.unstored.notify_one();
        }
        cleared
    }
}

/// An active run of a request on a server; dropping it ends the run.
pub struct RunGuard {
    table: Arc<CrashTable>,
    request: RequestFeatures,
    server: String,
    began: Instant,
    is_over: bool,
    /// Whether the run has produced output for [`LONG_RUN`].
    ran_long: bool,
}

impl RunGuard {
    /// Ends the run. Its outcome may still be recorded afterwards.
    pub fn finish(&mut self) {
        if !std::mem::replace(&mut self.is_over, true) {
            let table = &self.table;
            table.change(|ledger| ledger.end(&self.request, &self.server, Instant::now()));
        }
    }

    pub fn request(&self) -> &RequestFeatures {
        &self.request
    }

    /// Records that the run was interrupted and that it is not yet known whether the server ended.
    pub fn note_doubt(&self) {
        let table = &self.table;
        table.change(|ledger| ledger.note_doubt(&self.request, Instant::now()));
    }

    /// Records that the server ended during the run; `output_for` is the time for which the run had produced output, if
    /// any.
    pub fn note_ended(&self, output_for: Option<Duration>) -> EndOutcome {
        let now = Instant::now();
        let outcome = self.table.change(|ledger| {
            ledger.note_run_ended(&self.request, &self.server, self.began, output_for, now)
        });
        if !outcome.now_refused.is_empty() {
            self.table.unstored.notify_one();
        }
        outcome
    }

    /// Records the time for which the run has produced output; returns the suspected features that this clears.
    pub fn note_output(&mut self, output_for: Duration) -> Vec<Feature> {
        if self.ran_long || output_for < LONG_RUN {
            return Vec::new();
        }
        self.ran_long = true;
        self.clear(Ledger::note_long_run)
    }

    /// Records that the run completed; returns the suspected features that this clears.
    pub fn note_served(&self) -> Vec<Feature> {
        self.clear(Ledger::note_served)
    }

    fn clear(
        &self,
        change: impl FnOnce(&mut Ledger, &RequestFeatures, Instant) -> Vec<Feature>,
    ) -> Vec<Feature> {
        let table = &self.table;
        let cleared = table.change(|ledger| change(ledger, &self.request, Instant::now()));
        if !cleared.is_empty() {
            table.unstored.notify_one();
        }
        cleared
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.finish();
    }
}
