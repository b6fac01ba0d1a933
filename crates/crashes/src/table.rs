//! The ledger as the threads of a node share it.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_clock::Instant;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::fingerprint::Fingerprint;
use crate::ledger::{Held, Ledger, Merged, Noted, Permit};
use crate::messages::{CrashNews, CrashRecord};
use crate::record::LONG_RUN;

/// Requests under which servers ended. The lock is taken alone and never held across an await.
pub struct CrashTable {
    ledger: Mutex<Ledger>,
    unstored: Notify,
    untold: Notify,
}

impl CrashTable {
    /// Nothing is known. `own` is the number of this node and life.
    pub fn new(own: u64) -> Self {
        Self {
            ledger: Mutex::new(Ledger::new(own)),
            unstored: Notify::new(),
            untold: Notify::new(),
        }
    }

    /// Whether something is to be told that was not told often enough yet.
    pub fn has_news(&self) -> bool {
        !self.ledger.lock().untold.is_empty()
    }

    /// Waits until something more is to be told.
    pub async fn more_news(&self) {
        self.untold.notified().await;
    }

    /// Does something to the ledger, and wakes those who wait for news when it brought any.
    fn change<T>(&self, change: impl FnOnce(&mut Ledger) -> T) -> T {
        let mut ledger = self.ledger.lock();
        let before = ledger.untold.len();
        let done = change(&mut ledger);
        if ledger.untold.len() > before {
            self.untold.notify_one();
        }
        done
    }

    /// What holds for the next run of a request.
    pub fn permit(&self, request: &Fingerprint) -> Permit {
        self.ledger.lock().permit(request, Instant::now())
    }

    /// Begins a run at a server; the permit when it must wait or is refused.
    pub fn begin(
        self: &Arc<Self>,
        request: Fingerprint,
        server: &str,
    ) -> Result<RunUnderWay, Permit> {
        let begun = self.change(|ledger| ledger.begin(&request, server, Instant::now()));
        match begun {
            Permit::Free | Permit::LastRun => Ok(RunUnderWay {
                table: self.clone(),
                request,
                server: server.to_owned(),
                began: Instant::now(),
                is_over: false,
            }),
            Permit::Wait | Permit::Refused => Err(begun),
        }
    }

    /// Servers at which other requests have their last run now.
    pub fn last_run_servers(&self, but: &Fingerprint) -> HashSet<String> {
        self.ledger.lock().last_run_servers(but, Instant::now())
    }

    /// Servers that ended under a request.
    pub fn ended_under(&self, request: &Fingerprint) -> Vec<String> {
        self.ledger.lock().ended_under(request)
    }

    /// What is to be told now, so many records at most; `repeats` too.
    pub fn news(&self, repeats: bool, most: usize) -> CrashNews {
        self.ledger.lock().news(repeats, most, Instant::now())
    }

    /// Takes what another node, or the store, tells; `pass_on` to others in turn. The requests that run no more from
    /// now on.
    pub fn merge(&self, news: CrashNews, pass_on: bool) -> Vec<Fingerprint> {
        let now = Instant::now();
        let refused = self.change(|ledger| {
            let mut refused = Vec::new();
            for told in news.records {
                let request = Fingerprint::from_bytes(&told.fingerprint);
                let Merged { now_refused, .. } = ledger.merge(told, pass_on, now);
                refused.extend(request.filter(|_| now_refused));
            }
            refused
        });
        if !refused.is_empty() {
            self.unstored.notify_one();
        }
        refused
    }

    /// Waits for a request of which the store is to learn: its record while it runs no more, `None` when it may run.
    pub async fn next_unstored(&self) -> (Fingerprint, Option<CrashRecord>) {
        loop {
            let next = self.ledger.lock().next_unstored(Instant::now());
            if let Some(next) = next {
                return next;
            }
            self.unstored.notified().await;
        }
    }

    /// The store could not be told of a request.
    pub fn store_later(&self, request: Fingerprint) {
        self.ledger.lock().store_later(request);
        self.unstored.notify_one();
    }

    /// Forgets what is too old.
    pub fn sweep(&self) {
        self.ledger.lock().sweep(Instant::now());
    }

    /// Requests that run no more, and how many others are held.
    pub fn refused(&self) -> (Vec<Held>, usize) {
        self.ledger.lock().refused(Instant::now())
    }

    /// The record of a request as it is told.
    pub fn message(&self, request: &Fingerprint) -> CrashRecord {
        self.ledger.lock().message(request, Instant::now())
    }

    /// Forgets what is known against a request, as an operator asks; whether there was anything.
    pub fn forgive(&self, request: &Fingerprint) -> bool {
        let cleared = self.change(|ledger| ledger.forgive(request, Instant::now()));
        if cleared {
            self.unstored.notify_one();
        }
        cleared
    }
}

/// One run of a request at a server, until it is dropped.
pub struct RunUnderWay {
    table: Arc<CrashTable>,
    request: Fingerprint,
    server: String,
    began: Instant,
    is_over: bool,
}

impl RunUnderWay {
    /// It is under way no more, although how it ended may still show.
    pub fn over(&mut self) {
        if !std::mem::replace(&mut self.is_over, true) {
            let table = &self.table;
            table.change(|ledger| ledger.end(&self.request, &self.server, Instant::now()));
        }
    }

    /// The request.
    pub fn request(&self) -> Fingerprint {
        self.request
    }

    /// It broke off, and whether its server ends is not known yet.
    pub fn note_doubt(&self) {
        let table = &self.table;
        table.change(|ledger| ledger.note_doubt(&self.request, Instant::now()));
    }

    /// The server ended while it ran the request, which had brought output for a time, if any.
    pub fn note_ended(&self, output_for: Option<Duration>) -> Noted {
        let now = Instant::now();
        let noted = self.table.change(|ledger| {
            let server = ledger.start_that_ran(&self.server, self.began);
            let noted = ledger.note_ended(&self.request, &server, output_for.is_some(), now);
            if output_for.is_some_and(|time| time >= LONG_RUN) {
                ledger.note_long_run(&self.request);
            }
            noted
        });
        if noted.now_refused {
            self.table.unstored.notify_one();
        }
        noted
    }

    /// The server ran the request to a good end; whether something was known against it.
    pub fn note_served(&self) -> bool {
        let table = &self.table;
        let cleared = table.change(|ledger| ledger.note_served(&self.request, Instant::now()));
        if cleared {
            self.table.unstored.notify_one();
        }
        cleared
    }
}

impl Drop for RunUnderWay {
    fn drop(&mut self) {
        self.over();
    }
}
