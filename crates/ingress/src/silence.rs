//! Waits for data from servers that may fall silent.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use dappleyard_model::ServerRecord;

use crate::attempt::{AttemptError, Ran, SUSPECT_DURATION, Upstreams};
use crate::silence_limits::SilenceLimits;
use dappleyard_clock::Instant;

/// Silence after which a server counts as unreachable. It may have restarted in the meantime, so
/// its warm-up state is unknown.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(900);
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How a wait for a server ended.
pub(crate) enum Waited<T, S> {
    /// The server sent something, or its connection failed.
    Done(Result<T, AttemptError>),
    /// The run is left to a successor because the server is silent.
    Silent(AttemptError, S),
    /// Same, because the connection to the silent server failed meanwhile.
    Failed(AttemptError, S),
}

/// Whether the successor of a silent server may have begun its run. From then on the silent one is left, whatever it sends,
/// unless the successor refuses the request: a request that has gone on elsewhere may not go on here as well.
#[derive(Debug, Clone, Default)]
pub(crate) struct SuccessorBegun(Rc<Cell<bool>>);

impl SuccessorBegun {
    pub(crate) fn set(&self, begun: bool) {
        self.0.set(begun);
    }

    fn get(&self) -> bool {
        self.0.get()
    }
}

/// A failed attempt at a server that sent nothing for this long.
fn silent(silence: Duration) -> AttemptError {
    AttemptError {
        ran: Ran::Maybe,
        reason: format!("silent for {} ms", silence.as_millis()),
        unreachable: silence >= UNREACHABLE_AFTER,
        broken_off: false,
        invalid: None,
    }
}

/// Silence of a server during one wait.
struct SilenceMonitor<'a> {
    upstreams: &'a Upstreams,
    server: &'a ServerRecord,
    limits: SilenceLimits,
    started: Instant,
    next_suspect: Duration,
}

impl SilenceMonitor<'_> {
    /// Marks a server as suspect that sends nothing to any node for `suspect_after`, a slow one
    /// later. Returns the silence, without the time before the wait.
    fn check(&mut self) -> Duration {
        let loads = &self.upstreams.node().loads;
        let id = &self.server.id;
        let waited = self.started.elapsed();
        let since_received = loads.time_since_received(id).unwrap_or(waited);
        let silence = since_received.min(waited);
        let adjusted_limit = || {
            self.limits
                .suspect_time(loads.slowdown(id), UNREACHABLE_AFTER)
        };
        if silence >= self.next_suspect && since_received >= adjusted_limit() {
            self.next_suspect += SUSPECT_DURATION / 2;
            match silence >= UNREACHABLE_AFTER {
                true => loads.mark_suspect(id, SUSPECT_DURATION),
                false => loads.mark_overdue(id, SUSPECT_DURATION),
            }
        }
        silence
    }
}

impl Upstreams {
    /// Waits for data from a server. A server that sends nothing to any node for `suspect_after` is
    /// marked as suspect, a slow one later, and the attempt fails after `abandon_after`, if set.
    /// Silence before the start of the wait does not count.
    pub async fn with_silence_limits<T>(
        &self,
        server: &ServerRecord,
        limits: SilenceLimits,
        waiting: impl Future<Output = Result<T, AttemptError>>,
    ) -> Result<T, AttemptError> {
        let leave = async |_| Some(());
        let begun = SuccessorBegun::default();
        match self
            .wait_or_leave(server, limits, waiting, leave, &begun)
            .await
        {
            Waited::Done(result) => result,
            Waited::Silent(error, ()) | Waited::Failed(error, ()) => Err(error),
        }
    }

    /// Same, but leaves the server only once `find_successor`, which gets the silence and is called
    /// at intervals after `abandon_after`, returns a successor. Meanwhile the server may still
    /// respond, until the successor has `begun`.
    pub(crate) async fn wait_or_leave<T, S>(
        &self,
        server: &ServerRecord,
        limits: SilenceLimits,
        waiting: impl Future<Output = Result<T, AttemptError>>,
        mut find_successor: impl AsyncFnMut(Duration) -> Option<S>,
        begun: &SuccessorBegun,
    ) -> Waited<T, S> {
        tokio::pin!(waiting);
        let mut monitor = SilenceMonitor {
            upstreams: self,
            server,
            limits,
            started: Instant::now(),
            next_suspect: limits.suspect_after,
        };
        let mut check_interval = limits.first_check();
        loop {
            if let Ok(done) = tokio::time::timeout(check_interval, &mut waiting).await {
                return Waited::Done(done);
            }
            check_interval = SILENCE_CHECK_INTERVAL;
            let silence = monitor.check();
            if limits
                .abandon_after
                .is_none_or(|abandon_after| silence < abandon_after)
            {
                continue;
            }
            match first_or_successor(waiting.as_mut(), find_successor(silence), begun).await {
                (Some(Ok(done)), _) => return Waited::Done(Ok(done)),
                (Some(Err(error)), Some(successor)) => return Waited::Failed(error, successor),
                (Some(Err(error)), None) => return Waited::Done(Err(error)),
                (None, Some(successor)) => return Waited::Silent(silent(silence), successor),
                (None, None) => {}
            }
        }
    }
}

/// Waits for data while a successor is sought. Data cancel the search until the successor has begun; from then on they
/// count only if it refuses the request. A failed connection cancels nothing.
async fn first_or_successor<T, S>(
    mut waiting: Pin<&mut impl Future<Output = Result<T, AttemptError>>>,
    successor: impl Future<Output = Option<S>>,
    begun: &SuccessorBegun,
) -> (Option<Result<T, AttemptError>>, Option<S>) {
    tokio::pin!(successor);
    let first = tokio::select! {
        biased;
        done = &mut waiting => done,
        successor = &mut successor => return (None, successor),
    };
    match first {
        Ok(done) if !begun.get() => (Some(Ok(done)), None),
        Ok(done) => match successor.await {
            Some(successor) => (None, Some(successor)),
            None => (Some(Ok(done)), None),
        },
        Err(error) => (Some(Err(error)), successor.await),
    }
}
