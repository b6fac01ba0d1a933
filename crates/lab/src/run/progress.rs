//! Progress lines during a run, with the state of the invariants.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::invariants;
use crate::run::collect;

/// Prints a progress line.
pub fn print(fleet: &Fleet, since_start: Duration, phase: &str) {
    let (online, whole, refused, jobs) = fleet.recorder.read(|seen| {
        let whole = seen
            .online
            .iter()
            .filter(|record| record.is_whole())
            .count();
        let refused = seen
            .online
            .iter()
            .filter(|record| record.refusal().is_some())
            .count();
        (seen.online.len(), whole, refused, seen.jobs.len())
    });
    let meters = fleet.engines.meters();
    eprintln!(
        "{:>5.1}s {phase:<7} online {online} ended ({whole} whole, {refused} refused), jobs {jobs} \
         ended, tokens {} online {} batch; {}",
        since_start.as_secs_f64(),
        meters.online_tokens,
        meters.batch_tokens,
        invariants_so_far(fleet),
    );
}

/// Lists the invariants violated so far. Job invariants are checked only at the end, since the
/// evidence so far holds no jobs.
fn invariants_so_far(fleet: &Fleet) -> String {
    let evidence = collect::evidence_so_far(fleet);
    let verdicts = invariants::check_all(&evidence);
    let checked: u64 = verdicts.values().map(|verdict| verdict.checked).sum();
    let violated: Vec<String> = verdicts
        .iter()
        .filter(|(_, verdict)| verdict.violated > 0)
        .map(|(name, verdict)| format!("{name} {}", verdict.violated))
        .collect();
    if violated.is_empty() {
        return format!("{checked} checks, 0 violated");
    }
    format!("{checked} checks, VIOLATED: {}", violated.join(", "))
}
