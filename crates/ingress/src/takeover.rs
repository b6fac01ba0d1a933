//! Moves a request from a silent server to another one, if there is one that may continue it now. Otherwise the request
//! stays where it is, since a sound server may be silent for a second and go on.

use std::time::Duration;

use dappleyard_crashes::Permit;
use derive_more::Display;

use crate::attempt::{Ran, Upstreams};
use crate::dispatch::Request;
use crate::runs::{PendingRun, fail_run, start_run};
use crate::server_selection::select_successor;
use crate::silence::SuccessorBegun;

/// Time for which a successor may still refuse the request, which it does at once if it is full. Within 400 ms after it has
/// begun, the silent server must have been left.
const HANDOVER_TIME: Duration = Duration::from_millis(150);
/// Silence after which a successor may queue the request. Callers give up a silent stream after 2 s at the earliest.
const QUEUE_AFTER: Duration = Duration::from_millis(1_300);
/// Time to the deadline that a successor needs at least.
const MIN_TIME_LEFT: Duration = Duration::from_millis(300);

/// Why a request stays at a silent server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Stay {
    /// No further server may run it.
    #[display("attempts_used")]
    AttemptsUsed,
    /// A successor could not respond in time.
    #[display("deadline_near")]
    DeadlineNear,
    /// Servers crashed while they ran it.
    #[display("crash_limit")]
    CrashLimit,
    /// No server that may continue it is free.
    #[display("no_server")]
    NoServer,
    /// The successor refused it or could not be reached.
    #[display("successor_failed")]
    SuccessorFailed,
}

/// A request at a silent server.
#[derive(Debug, Clone, Copy)]
pub struct SilentRun {
    /// Runs so far, with the one at this server.
    pub runs: u32,
    pub max_attempts: u32,
    /// Time to the deadline.
    pub remaining: Duration,
    /// Whether the crashes so far allow another run.
    pub permit: Permit,
}

impl SilentRun {
    /// Why the request may not be sent to another server; `None` if it may.
    pub fn stay(&self) -> Option<Stay> {
        if self.runs >= self.max_attempts {
            return Some(Stay::AttemptsUsed);
        }
        if self.remaining < MIN_TIME_LEFT {
            return Some(Stay::DeadlineNear);
        }
        (self.permit != Permit::Free).then_some(Stay::CrashLimit)
    }
}

/// Seeks successors during one wait for a server.
pub(crate) struct Takeover<'a> {
    upstreams: &'a Upstreams,
    request: &'a mut Request,
    /// The run at the silent server is not included in the runs of the request.
    uncounted_runs: u32,
    last_event_id: Option<u64>,
    /// Servers that did not run the request. Each is asked once a wait, and may be asked again after it.
    asked: Vec<String>,
    begun: SuccessorBegun,
    logged: bool,
}

impl Drop for Takeover<'_> {
    fn drop(&mut self) {
        for server in self.asked.drain(..) {
            self.request.tried.remove(&server);
        }
    }
}

impl<'a> Takeover<'a> {
    /// Of a server that has not responded yet.
    pub(crate) fn before_response(
        upstreams: &'a Upstreams,
        request: &'a mut Request,
        last_event_id: Option<u64>,
    ) -> Self {
        let mut takeover = Self::of_stream(upstreams, request, last_event_id);
        takeover.uncounted_runs = 1;
        takeover
    }

    /// Of a server in the middle of a stream.
    pub(crate) fn of_stream(
        upstreams: &'a Upstreams,
        request: &'a mut Request,
        last_event_id: Option<u64>,
    ) -> Self {
        Self {
            upstreams,
            request,
            uncounted_runs: 0,
            last_event_id,
            asked: Vec::new(),
            begun: SuccessorBegun::default(),
            logged: false,
        }
    }

    /// Whether the successor that is being asked may have begun the request.
    pub(crate) fn begun(&self) -> SuccessorBegun {
        self.begun.clone()
    }

    /// Sends the request to a successor. Returns its run unless it is refused.
    pub(crate) async fn find(&mut self, silence: Duration) -> Option<PendingRun> {
        match self.try_move(silence).await {
            Ok(run) => Some(run),
            Err(stay) => {
                self.log_stay(stay, silence);
                None
            }
        }
    }

    async fn try_move(&mut self, silence: Duration) -> Result<PendingRun, Stay> {
        let node = self.upstreams.node().clone();
        let request = &mut *self.request;
        let silent_run = SilentRun {
            runs: request.runs + self.uncounted_runs,
            max_attempts: request.route.max_attempts,
            remaining: request.remaining(),
            permit: node.crashes.permit(&request.features),
        };
        if let Some(stay) = silent_run.stay() {
            return Err(stay);
        }
        let may_queue = silence >= QUEUE_AFTER;
        let placement =
            select_successor(self.upstreams, request, may_queue).ok_or(Stay::NoServer)?;
        let server = placement.server.id.clone();
        self.asked.push(server.clone());
        let started = start_run(self.upstreams, request, placement, self.last_event_id).await;
        let mut run = started.ok_or(Stay::SuccessorFailed)?;
        self.begun.set(true);
        match tokio::time::timeout(HANDOVER_TIME, &mut run.response).await {
            Ok(Err(error)) if error.ran == Ran::No => {
                self.begun.set(false);
                fail_run(self.upstreams, request, run, &error).await;
                Err(Stay::SuccessorFailed)
            }
            response => {
                // It may have begun the request, so it takes it over even if it has failed since.
                self.asked.retain(|asked| *asked != server);
                Ok(match response {
                    Ok(response) => run.with_response(response),
                    Err(_) => run,
                })
            }
        }
    }

    fn log_stay(&mut self, stay: Stay, silence: Duration) {
        if std::mem::replace(&mut self.logged, true) {
            return;
        }
        let request = &self.request;
        self.upstreams.node().log.write("silent_run_kept", || {
            serde_json::json!({"request": request.facts.id, "cause": stay.to_string(),
                "silent_ms": silence.as_millis() as u64, "after_event": self.last_event_id,
                "runs": request.runs + self.uncounted_runs,
                "remaining_ms": request.remaining().as_millis() as u64})
        });
    }
}
