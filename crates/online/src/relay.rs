//! Converts engine events to frames for the caller at the owner stage.

use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_engine::{EngineError, EngineEvent, EventStream};
use dappleyard_tables::NodeTables;
use dappleyard_wire::Ran;
use dappleyard_wire::error::join_ran;
use dappleyard_wire::ids::ServerId;
use dappleyard_wire::messages::{Accepted, Chunk, frame};
use futures::StreamExt;

use crate::caller::Disconnect;
use crate::dispatch::{InFlightGuard, SelectedServer};
use crate::owner::OwnerRun;

/// Tokens per step time sample.
const STEP_SAMPLE_TOKENS: u32 = 4;

/// Weight of a new sample in the moving average of the step time.
const STEP_SAMPLE_WEIGHT: f64 = 0.1;

/// Why relaying a stream ended.
#[derive(Debug, PartialEq)]
pub(crate) enum RelayEnd {
    /// The complete answer was relayed.
    Finished {
        reason: String,
        /// Prompt tokens served from the prefix cache.
        cached_tokens: u32,
    },
    /// The engine failed or its connection was lost.
    Engine(EngineError),
    /// The caller cancelled, or disconnected and did not resume within the grace period.
    CallerDisconnected,
    Deadline,
}

/// Relays events until the stream ends, the caller is gone or the deadline passes.
pub(crate) async fn relay(
    run: &mut OwnerRun,
    events: &mut EventStream,
    selected: &SelectedServer,
    flight: &InFlightGuard,
) -> RelayEnd {
    let mut meter = StepMeter::default();
    loop {
        let until = run.wait_deadline();
        tokio::select! {
            biased;
            disconnected = run.caller.disconnected() => match run.on_disconnect(disconnected) {
                Disconnect::Cancelled => return RelayEnd::CallerDisconnected,
                Disconnect::LinkLost => {}
            },
            () = dappleyard_clock::sleep_until(until) => {
                return if run.deadline_passed() { RelayEnd::Deadline } else { RelayEnd::CallerDisconnected };
            }
            event = events.next() => match event {
                Some(Ok(event)) => {
                    if let Some(end) = handle_event(run, event, selected, flight, &mut meter) {
                        return end;
                    }
                }
                Some(Err(error)) => return RelayEnd::Engine(error),
                None => return RelayEnd::Engine(lost_error("the stream ended in the middle")),
            },
        }
    }
}

fn handle_event(
    run: &mut OwnerRun,
    event: EngineEvent,
    selected: &SelectedServer,
    flight: &InFlightGuard,
    meter: &mut StepMeter,
) -> Option<RelayEnd> {
    match event {
        EngineEvent::Accepted { stream, version } => {
            accepted(run, stream, version, selected);
            None
        }
        EngineEvent::Tokens { offset, pieces } => {
            let count = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
            if offset > run.next_offset {
                return Some(RelayEnd::Engine(lost_error(
                    "tokens are missing in the stream",
                )));
            }
            run.ran = join_ran(run.ran, Ran::Yes);
            let overlap = run.next_offset - offset;
            if count > overlap {
                if !run.has_token {
                    run.has_token = true;
                    flight.started();
                }
                run.send_chunk(Chunk {
                    offset: run.next_offset,
                    pieces: pieces.into_iter().skip(overlap as usize).collect(),
                });
                meter.count(&run.worker.tables, &selected.server, count - overlap);
            }
            None
        }
        EngineEvent::Finished {
            reason,
            total_tokens,
            cached_tokens,
            ran,
        } => {
            if ran {
                run.ran = join_ran(run.ran, Ran::Yes);
            }
            Some(finished(run, reason, total_tokens, cached_tokens))
        }
    }
}

fn accepted(run: &mut OwnerRun, stream: String, version: String, selected: &SelectedServer) {
    run.ran = join_ran(run.ran, Ran::Maybe);
    run.start_reading(&selected.server, &stream);
    run.earlier.version.clone_from(&version);
    run.earlier.engine_stream.clone_from(&stream);
    run.earlier.server = selected.server.to_string();
    run.caller.send(frame::Body::Accepted(Accepted {
        server: selected.server.to_string(),
        version,
        engine_stream: stream,
        node: run.worker.tables.identity.node.to_string(),
    }));
}

fn finished(run: &OwnerRun, reason: String, total_tokens: u32, cached_tokens: u32) -> RelayEnd {
    if reason == "cancelled" {
        return RelayEnd::Engine(lost_error("the engine cancelled the stream by itself"));
    }
    if total_tokens != run.next_offset {
        return RelayEnd::Engine(lost_error("the stream ended before all its tokens came"));
    }
    RelayEnd::Finished {
        reason,
        cached_tokens,
    }
}

fn lost_error(reason: &str) -> EngineError {
    EngineError::Lost {
        reason: reason.to_owned(),
    }
}

/// Measures the time between tokens and updates the server's smoothed step time.
#[derive(Default)]
struct StepMeter {
    since: Option<Instant>,
    tokens: u32,
}

impl StepMeter {
    fn count(&mut self, tables: &NodeTables, server: &ServerId, tokens: u32) {
        let now = Instant::now();
        let Some(since) = self.since else {
            self.since = Some(now);
            return;
        };
        self.tokens += tokens;
        if self.tokens < STEP_SAMPLE_TOKENS {
            return;
        }
        let sample = milliseconds(now - since) / f64::from(self.tokens);
        tables.servers.with(server, |state| {
            state.online_step_ms = if state.online_step_ms > 0.0 {
                state.online_step_ms + STEP_SAMPLE_WEIGHT * (sample - state.online_step_ms)
            } else {
                sample
            };
        });
        self.since = Some(now);
        self.tokens = 0;
    }
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
