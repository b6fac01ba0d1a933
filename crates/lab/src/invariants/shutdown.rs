//! Shutdown invariants: draining servers get no new work, planned stops interrupt no request.

use std::time::Duration;

use super::{Evidence, Verdict, format_time, overlap};
use crate::recorder::{OnlineEnd, OnlineRecord, PlannedStop};

/// Time after an abrupt fault during which its effects may still interrupt requests.
const ABRUPT_FAULT_GRACE: Duration = Duration::from_secs(4);

/// A draining or leaving server receives no new work after the bound.
pub fn drain_no_new_work(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::default();
    let bound = Duration::from_millis(evidence.bounds.drain_ms);
    for event in &evidence.observations.events {
        let crate::recorder::Event::Drain(drain) = event else {
            continue;
        };
        let closed_from = drain.told + bound;
        if closed_from >= drain.taken_back {
            continue;
        }
        let late = evidence.runs.iter().find(|run| {
            run.server == drain.server
                && run.arrived > closed_from
                && run.arrived < drain.taken_back
        });
        verdict.count_case(late.is_none(), || {
            format!(
                "{} drained at {}, but received {late:?}",
                drain.server,
                format_time(drain.told)
            )
        });
    }
    verdict
}

/// Requests in progress during a planned stop complete or are refused for an unrelated reason, and
/// the node stops within its bound.
pub fn graceful_shutdown(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::default();
    for stop in evidence.stops() {
        let bound = Duration::from_millis(stop.bound_ms);
        verdict.count_case(stop.stopped - stop.told <= bound, || {
            format!(
                "{}: stop requested at {}, stopped at {}",
                stop.node,
                format_time(stop.told),
                format_time(stop.stopped)
            )
        });
        if overlaps_abrupt_fault(evidence, stop) {
            continue;
        }
        for record in &evidence.observations.online {
            if overlap((record.sent, record.ended), (stop.told, stop.stopped)) {
                verdict.count_case(!was_interrupted(record), || {
                    format!(
                        "{} ({}) sent {}, ended {} while {} stopped {}..{}: {:?}",
                        record.name,
                        record.request_id,
                        format_time(record.sent),
                        format_time(record.ended),
                        stop.node,
                        format_time(stop.told),
                        format_time(stop.stopped),
                        record.end
                    )
                });
            }
        }
    }
    verdict
}

fn overlaps_abrupt_fault(evidence: &Evidence, stop: &PlannedStop) -> bool {
    evidence
        .faults()
        .filter(|fault| fault.kind.is_abrupt())
        .any(|fault| {
            overlap(
                (fault.from, fault.to + ABRUPT_FAULT_GRACE),
                (stop.told, stop.stopped),
            )
        })
}

/// Error kinds that a planned stop must not cause.
const SHUTDOWN_ERROR_KINDS: [&str; 6] = [
    "node_lost",
    "not_ready",
    "engine_lost",
    "bounced",
    "outcome_unknown",
    "internal",
];

fn was_interrupted(record: &OnlineRecord) -> bool {
    match &record.end {
        OnlineEnd::Whole => false,
        OnlineEnd::Broken(_) => true,
        OnlineEnd::Refused(refusal) => SHUTDOWN_ERROR_KINDS.contains(&refusal.kind.as_str()),
    }
}
