//! Batch measures.

use std::collections::HashMap;
use std::time::Duration;

use dappleyard_report::summary::Measures;

use super::Counters;
use crate::invariants::{EngineRun, Evidence};

/// Fills in the batch measures.
pub fn fill(measures: &mut Measures, evidence: &Evidence, counters: &Counters) {
    let accepted = accepted_items(evidence);
    let waiting = WaitingItems::new(evidence);
    let finished = FinishedItems::new(evidence);
    measures.batch_items_accepted = accepted;
    measures.batch_repeated_items = finished.repeated;
    let in_load = |run: &&&EngineRun| run.ended.is_some_and(|ended| counters.in_load(ended));
    let items = finished.last.iter().filter(in_load).count();
    measures.batch_items_per_s = counters.per_second(items as f64);
    let tokens: f64 = finished
        .useful
        .iter()
        .map(|run| run.tokens_within(counters.load_start, counters.load_end()))
        .sum();
    // The sum of nothing is -0.
    measures.batch_tokens_per_s = counters.per_second(tokens + 0.0);
    if accepted > 0 {
        let per_item = counters.store_writes as f64 / accepted as f64;
        measures.store_writes_per_1000_items = Some(per_item * 1_000.0);
    }
    fill_share(measures, counters, &waiting, &finished.useful);
}

fn accepted_items(evidence: &Evidence) -> u64 {
    let jobs = evidence.observations.jobs.iter();
    jobs.filter(|job| job.accepted.is_some())
        .map(|job| u64::from(job.items))
        .sum()
}

/// Attempts of items that ended in a result.
struct FinishedItems<'a> {
    /// The attempt that finished each item.
    last: Vec<&'a EngineRun>,
    /// All attempts of these items, with the tokens of each that the result holds.
    useful: Vec<UsefulRun<'a>>,
    /// Items that an engine finished more than once.
    repeated: u64,
}

/// An attempt and the number of its tokens that the result holds.
struct UsefulRun<'a> {
    run: &'a EngineRun,
    tokens: u32,
}

impl<'a> FinishedItems<'a> {
    fn new(evidence: &'a Evidence) -> FinishedItems<'a> {
        let mut attempts: HashMap<&str, Vec<&EngineRun>> = HashMap::new();
        let began = |run: &&EngineRun| !run.online && run.started.is_some();
        for run in evidence.runs.iter().filter(began) {
            attempts.entry(&run.request_id).or_default().push(run);
        }
        let mut items = FinishedItems {
            last: Vec::new(),
            useful: Vec::new(),
            repeated: 0,
        };
        for mut runs in attempts.into_values() {
            runs.sort_by_key(|run| run.started);
            items.add(&runs);
        }
        items
    }

    /// Adds an item's attempts in order; tokens that a later attempt made again do not count twice.
    fn add(&mut self, runs: &[&'a EngineRun]) {
        let finished: Vec<_> = runs.iter().filter(|run| run.finished).collect();
        let Some(first) = finished.first() else {
            return;
        };
        self.repeated += u64::from(finished.len() > 1);
        self.last.push(first);
        let mut regenerated_from = u32::MAX;
        for run in runs.iter().rev().filter(|run| run.started <= first.started) {
            let to = run.to.min(regenerated_from);
            let tokens = to.saturating_sub(run.from);
            self.useful.push(UsefulRun { run, tokens });
            regenerated_from = regenerated_from.min(run.from);
        }
    }
}

/// Batch tokens of results, while work was waiting, as a share of the idle capacity in that time.
fn fill_share(
    measures: &mut Measures,
    counters: &Counters,
    waiting: &WaitingItems,
    finished: &[UsefulRun<'_>],
) {
    let mut idle = 0.0;
    let mut spans: Vec<(Duration, Duration)> = Vec::new();
    for (index, samples) in counters.samples.iter().enumerate() {
        for pair in samples.windows(2) {
            let (from, to) = (pair[0].at, pair[1].at);
            if counters.in_load(from) && waiting.throughout(from, to) {
                idle += pair[1].sample.idle_tokens;
                if index == 0 {
                    spans.push((from, to));
                }
            }
        }
    }
    let made: f64 = finished
        .iter()
        .map(|run| -> f64 {
            spans
                .iter()
                .map(|(from, to)| run.tokens_within(*from, *to))
                .sum()
        })
        .sum();
    measures.batch_waiting_s = spans
        .iter()
        .map(|(from, to)| (*to - *from).as_secs_f64())
        .sum();
    measures.batch_share_of_idle = (idle > 0.0).then_some(made / idle);
}

impl UsefulRun<'_> {
    /// Useful tokens within a span, taken as made evenly over the attempt's time.
    fn tokens_within(&self, from: Duration, to: Duration) -> f64 {
        let (Some(started), Some(ended)) = (self.run.started, self.run.ended) else {
            return 0.0;
        };
        let within = ended
            .min(to)
            .saturating_sub(started.max(from))
            .as_secs_f64();
        let whole = ended.saturating_sub(started).as_secs_f64().max(1e-6);
        f64::from(self.tokens) * within / whole
    }
}

/// Accepted items that no engine has begun, over time.
pub struct WaitingItems {
    /// Times at which the number changes, with the number from then on.
    changes: Vec<(Duration, i64)>,
}

impl WaitingItems {
    /// From acceptances, ends of jobs, and first starts of items.
    pub fn new(evidence: &Evidence) -> WaitingItems {
        let mut steps: Vec<(Duration, i64)> = Vec::new();
        let mut begun: HashMap<&str, Duration> = HashMap::new();
        for run in evidence.runs.iter().filter(|run| !run.online) {
            if let Some(started) = run.started {
                let first = begun.entry(&run.request_id).or_insert(started);
                *first = started.min(*first);
            }
        }
        steps.extend(begun.values().map(|started| (*started, -1)));
        for job in &evidence.observations.jobs {
            let (Some(accepted), Some(id)) = (job.accepted, job.id()) else {
                continue;
            };
            steps.push((accepted, i64::from(job.items)));
            if let Some(cancel) = &job.cancel {
                let of_job = begun.keys().filter(|request| request.contains(id)).count() as i64;
                steps.push((cancel.answered, of_job - i64::from(job.items)));
            }
        }
        steps.sort();
        let mut waiting = 0;
        let changes = steps
            .into_iter()
            .map(|(at, step)| {
                waiting += step;
                (at, waiting)
            })
            .collect();
        WaitingItems { changes }
    }

    /// The number at a time.
    pub fn at(&self, time: Duration) -> i64 {
        let after = self.changes.partition_point(|(at, _)| *at <= time);
        after
            .checked_sub(1)
            .map_or(0, |index| self.changes[index].1)
    }

    /// Whether some waited at both ends of a span.
    fn throughout(&self, from: Duration, to: Duration) -> bool {
        self.at(from) > 0 && self.at(to) > 0
    }
}
