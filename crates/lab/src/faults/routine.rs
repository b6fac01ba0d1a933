//! Routine events of every run, so that every invariant is checked: one planned stop, one drain and
//! some configuration changes.

use std::time::Duration;

use super::{Fault, FaultKind};
use crate::scenario::RoutineScenario;

const RESTART_AFTER_S: f64 = 1.0;
/// Length of the drain, percent of the run.
const DRAIN_PERCENT: f64 = 45.0;
/// Start of the configuration changes, percent of the run.
const CHANGES_FROM_PERCENT: f64 = 5.0;
/// End of the configuration changes, percent of the run.
const CHANGES_TO_PERCENT: f64 = 60.0;

/// Generates the events for a load of the given length.
pub fn events(routine: &RoutineScenario, length: Duration) -> Vec<Fault> {
    if !routine.enabled {
        return Vec::new();
    }
    let part = |percent: f64| length.as_secs_f64() * percent / 100.0;
    let event = |what: FaultKind, at_s: f64, for_s: f64| Fault {
        at_s,
        for_s,
        what,
        target: None,
        amount: 0.0,
    };
    let mut events = vec![
        event(
            FaultKind::NodeStop,
            part(f64::from(routine.stop_node_at_percent)),
            RESTART_AFTER_S,
        ),
        event(
            FaultKind::ServerDrain,
            part(f64::from(routine.drain_server_at_percent)),
            part(DRAIN_PERCENT),
        ),
    ];
    let changes = f64::from(routine.configuration_changes);
    let step = (CHANGES_TO_PERCENT - CHANGES_FROM_PERCENT) / changes.max(1.0);
    for number in 0..routine.configuration_changes {
        let at = CHANGES_FROM_PERCENT + step * f64::from(number);
        events.push(event(FaultKind::ConfigurationChange, part(at), 0.0));
    }
    events
}
