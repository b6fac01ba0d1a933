//! Faults of a run, with the decision records around each.

use maud::{Markup, html};

use crate::charts::is_fault;
use crate::summary::{DecisionLine, EventSpan, Summary};

/// Time before and after a fault for which decisions are shown.
const WINDOW_S: f64 = 2.0;

/// Renders the faults of the first run that had any, each with its decisions.
pub fn around_faults<'a>(runs: impl Iterator<Item = &'a Summary>) -> Markup {
    let had_faults = |run: &&Summary| run.events.iter().any(is_fault);
    let mut runs = runs.filter(had_faults);
    let Some(run) = runs.next() else {
        return html! { p class="note" { "No fault or operation in these runs." } };
    };
    let mut events: Vec<&EventSpan> = run.events.iter().filter(|event| is_fault(event)).collect();
    events.sort_by(|left, right| left.from_s.total_cmp(&right.from_s));
    html! {
        p class="note" {
            (run.policy) ", seed " (run.seed) ". The decision records of a killed node are lost, so its "
            "earlier decisions are not shown."
        }
        @for event in events { (event_details(run, event)) }
    }
}

fn event_details(run: &Summary, event: &EventSpan) -> Markup {
    let is_near = |line: &&DecisionLine| {
        line.at_s >= event.from_s - WINDOW_S && line.at_s <= event.to_s + WINDOW_S
    };
    let lines: Vec<&DecisionLine> = run.decisions.iter().filter(is_near).collect();
    html! {
        details {
            summary {
                (format!("{:.1} s to {:.1} s: ", event.from_s, event.to_s))
                b { (event.what) } " at " (event.place) ", " (lines.len()) " decisions"
            }
            @if !lines.is_empty() {
                table {
                    tr {
                        th { "at, s" } th class="text" { "node" } th class="text" { "decision" }
                        th class="text" { "about" } th class="text" { "cause" } th class="text" { "outcome" }
                    }
                    @for line in lines {
                        tr {
                            td { (format!("{:.2}", line.at_s)) }
                            td class="text" { (line.node) }
                            td class="text" { (line.kind) }
                            td class="text" { (line.subjects.join(", ")) }
                            td class="text" { (line.cause) }
                            td class="text" { (line.outcome) }
                        }
                    }
                }
            }
        }
    }
}
