//! Page section of one group of runs.

use maud::{Markup, PreEscaped, html};

use super::{anchor, decisions};
use crate::charts::{self, ChartError, Line};
use crate::compare::{Comparison, MEASURES, Significance, compare, format_number, median};
use crate::runs::Group;
use crate::summary::{QuantilePoint, Summary, Verdict, Verdicts};

/// Policy with which the others are compared.
const BASELINE: &str = "online-only";
/// Default policy of the product, shown first.
const PRODUCT: &str = "preempt";
/// Engine stall share above which the latencies of a run are marked as unreliable.
const UNRELIABLE_STALL_SHARE: f64 = 0.02;

pub fn group(group: &Group) -> Result<Markup, ChartError> {
    let timelines = timelines(group)?;
    let distributions = distributions(group)?;
    Ok(html! {
        section id=(anchor(group)) {
            h2 { (group.title()) }
            (warnings(group))
            h3 { "Invariants" }
            (invariants(group))
            h3 { "Policies side by side" }
            (measures(group))
            (ratios(group))
            h3 { "Distributions" }
            (PreEscaped(distributions))
            h3 { "Over time" }
            (legend())
            (timelines)
            h3 { "Faults and the decisions around them" }
            (decisions::around_faults(policies(group).into_iter().flat_map(|(_, runs)| runs)))
            h3 { "Cost" }
            (cost(group))
        }
    })
}

/// Policies in display order: the product's first, then the baseline.
fn policies(group: &Group) -> Vec<(&str, &[Summary])> {
    let rank = |name: &str| match name {
        PRODUCT => 0,
        BASELINE => 1,
        _ => 2,
    };
    let mut policies: Vec<(&str, &[Summary])> = group
        .policies
        .iter()
        .map(|(name, runs)| (name.as_str(), runs.as_slice()))
        .collect();
    policies.sort_by_key(|(name, _)| rank(name));
    policies
}

fn warnings(group: &Group) -> Markup {
    let is_unreliable = |run: &&Summary| run.measures.engine_stall_share > UNRELIABLE_STALL_SHARE;
    html! {
        @for run in group.runs().filter(is_unreliable) {
            p class="unsure" {
                (run.policy) ", seed " (run.seed) ": the host delayed the engines for "
                (format!("{:.1}%", 100.0 * run.measures.engine_stall_share))
                " of their time, so the latencies include host overhead."
            }
        }
        @for run in group.runs().filter(|run| !run.not_done.is_empty()) {
            p class="unsure" {
                (run.policy) ", seed " (run.seed) ", not completed: " (run.not_done.join("; "))
            }
        }
    }
}

/// Sums the verdicts of several runs.
fn sum_verdicts(runs: &[Summary]) -> Verdicts {
    let mut total = Verdicts::new();
    for run in runs {
        for (name, verdict) in &run.invariants {
            let sum = total.entry(name.clone()).or_default();
            sum.checked += verdict.checked;
            sum.violated += verdict.violated;
            let examples = verdict.examples.iter();
            sum.examples
                .extend(examples.map(|example| format!("seed {}: {example}", run.seed)));
        }
    }
    total
}

fn invariants(group: &Group) -> Markup {
    let policies: Vec<(&str, Verdicts)> = policies(group)
        .into_iter()
        .map(|(name, runs)| (name, sum_verdicts(runs)))
        .collect();
    let names: std::collections::BTreeSet<&String> = policies
        .iter()
        .flat_map(|(_, verdicts)| verdicts.keys())
        .collect();
    html! {
        table {
            tr {
                th { "violated / checked" }
                @for (policy, _) in &policies { th { (policy) } }
            }
            @for name in names {
                tr {
                    td { code { (name) } }
                    @for (_, verdicts) in &policies { (verdict(verdicts.get(name))) }
                }
            }
        }
        @for (policy, verdicts) in &policies {
            @for (name, verdict) in verdicts.iter().filter(|(_, verdict)| verdict.violated > 0) {
                details {
                    summary class="bad" { (policy) ": " (verdict.violated) " violations of " code { (name) } }
                    ul { @for example in &verdict.examples { li { (example) } } }
                }
            }
        }
    }
}

fn verdict(verdict: Option<&Verdict>) -> Markup {
    match verdict {
        None => html! { td class="unsure" { "absent" } },
        Some(verdict) if verdict.violated > 0 => {
            html! { td class="bad" { (verdict.violated) " / " (verdict.checked) } }
        }
        Some(verdict) if verdict.checked == 0 => {
            html! { td class="unsure" { "not checked" } }
        }
        Some(verdict) => html! { td class="good" { "0 / " (verdict.checked) } },
    }
}

fn measures(group: &Group) -> Markup {
    let policies = policies(group);
    html! {
        table {
            tr {
                th { "median over seeds" }
                @for (policy, runs) in &policies { th { (policy) " (" (runs.len()) ")" } }
            }
            @for measure in MEASURES {
                tr {
                    td { (measure.name) }
                    @for (_, runs) in &policies {
                        @let values: Vec<f64> = runs.iter().filter_map(|run| (measure.read)(run)).collect();
                        td { (median(&values).map_or_else(|| "-".to_owned(), format_number)) }
                    }
                }
            }
        }
    }
}

fn ratios(group: &Group) -> Markup {
    let Some(baseline) = group.policies.get(BASELINE) else {
        return html! {
            p class="note" { "No run under the policy " code { (BASELINE) } ": no ratios." }
        };
    };
    let others: Vec<(&str, Vec<Comparison>)> = policies(group)
        .into_iter()
        .filter(|(name, _)| *name != BASELINE)
        .map(|(name, runs)| (name, compare(baseline, runs)))
        .collect();
    html! {
        p class="note" {
            "Ratios to " code { (BASELINE) } " with the same seed: median, and minimum to maximum over the "
            "seeds. A difference counts as noise unless all seeds agree on its direction."
        }
        table {
            tr {
                th { "ratio" }
                @for (policy, _) in &others { th { (policy) } }
            }
            @for measure in MEASURES.iter().filter(|measure| measure.machine_independent) {
                @if others.iter().any(|(_, rows)| find(rows, measure.name).is_some()) {
                    tr {
                        td { (measure.name) }
                        @for (_, rows) in &others { (ratio(find(rows, measure.name))) }
                    }
                }
            }
        }
    }
}

fn find<'a>(rows: &'a [Comparison], name: &str) -> Option<&'a Comparison> {
    rows.iter().find(|row| row.name == name)
}

fn ratio(row: Option<&Comparison>) -> Markup {
    let Some(row) = row else {
        return html! { td { "-" } };
    };
    let class = match row.significance {
        Significance::Differs => "",
        Significance::Noise | Significance::TooFewSeeds => "unsure",
    };
    html! {
        td class=(class) {
            (format!("{:.3} ({:.3} to {:.3}), {}", row.ratio, row.spread.0, row.spread.1, row.significance))
        }
    }
}

type ReadCurve = fn(&Summary) -> &Vec<QuantilePoint>;

/// Pointwise median of the distributions of several runs.
fn median_curve(runs: &[Summary], read: ReadCurve) -> Vec<QuantilePoint> {
    let Some(first) = runs.iter().map(read).find(|curve| !curve.is_empty()) else {
        return Vec::new();
    };
    let point = |(index, point): (usize, &QuantilePoint)| {
        let values: Vec<f64> = runs
            .iter()
            .filter_map(|run| read(run).get(index))
            .map(|point| point.value)
            .collect();
        QuantilePoint {
            quantile: point.quantile,
            value: median(&values).unwrap_or_default(),
        }
    };
    first.iter().enumerate().map(point).collect()
}

fn distributions(group: &Group) -> Result<String, ChartError> {
    let kinds: [(&str, ReadCurve); 2] = [
        ("Time to first token", |run| &run.measures.ttft_curve),
        ("Time between tokens", |run| &run.measures.itl_curve),
    ];
    let mut plots = String::new();
    for (title, read) in kinds {
        let curves: Vec<(&str, Vec<QuantilePoint>)> = policies(group)
            .into_iter()
            .map(|(name, runs)| (name, median_curve(runs, read)))
            .filter(|(_, curve)| !curve.is_empty())
            .collect();
        let lines: Vec<(&str, &[QuantilePoint])> = curves
            .iter()
            .map(|(name, curve)| (*name, curve.as_slice()))
            .collect();
        if !lines.is_empty() {
            plots += &charts::distributions(title, &lines)?;
        }
    }
    if plots.is_empty() {
        plots = "<p class=\"unsure\">These runs recorded no distributions.</p>".to_owned();
    }
    Ok(plots)
}

fn legend() -> Markup {
    html! {
        p class="note" {
            "The first seed of each policy. "
            span class="mark" style="background: rgba(240,200,60,.45)" {} " online burst, "
            span class="mark" style="background: rgba(220,50,47,.25)" {} " fault or operation."
        }
    }
}

fn timelines(group: &Group) -> Result<Markup, ChartError> {
    let mut sections = Vec::new();
    for (policy, runs) in policies(group) {
        if let Some(run) = runs.first() {
            let plots = run_timelines(run)?;
            let title = format!("{policy}, seed {}", run.seed);
            sections.push(html! {
                details open[policy == PRODUCT || group.policies.len() == 1] {
                    summary { (title) }
                    (PreEscaped(plots))
                }
            });
        }
    }
    Ok(html! { @for plots in &sections { (plots) } })
}

fn run_timelines(run: &Summary) -> Result<String, ChartError> {
    let series = &run.series;
    let line = |label, values: &[f64]| Line {
        label,
        points: charts::time_points(run, values.iter().copied()),
    };
    let mut plots = charts::timeline(
        run,
        "Running sequences, all engines",
        &[
            line("online", &series.online_running),
            line("batch", &series.batch_running),
        ],
    )?;
    plots += &charts::timeline(
        run,
        "Batch tokens per second",
        &[
            line("generated", &series.batch_tokens_per_s),
            line("capacity left by online", &series.idle_tokens_per_s),
        ],
    )?;
    plots += &charts::timeline(
        run,
        "Online latency, ms",
        &[
            line("maximum TTFT", &series.ttft_max_ms),
            line("inter-token p95", &series.itl_p95_ms),
        ],
    )?;
    Ok(plots)
}

fn cost(group: &Group) -> Markup {
    let row = |name: &str, read: fn(&Summary) -> Option<f64>| {
        html! {
            tr {
                td { (name) }
                @for (_, runs) in policies(group) {
                    @let values: Vec<f64> = runs.iter().filter_map(read).collect();
                    td { (median(&values).map_or_else(|| "not measured".to_owned(), format_number)) }
                }
            }
        }
    };
    html! {
        table {
            tr {
                th { "median over seeds" }
                @for (policy, _) in policies(group) { th { (policy) } }
            }
            (row("control thread, cores per node", |run| run.measures.control.cpu_share_per_node))
            (row("control bytes/s sent per node", |run| run.measures.control.bytes_per_s_per_node))
            (row("memory per node, MB", |run| run.measures.control.rss_mb_per_node))
            (row("store writes/s", |run| Some(run.measures.store_writes_per_s)))
            (row("store writes for 1,000 items", |run| run.measures.store_writes_per_1000_items))
            (row("whole process, cores", |run| Some(run.measures.process_cores)))
            (row("whole process, MB", |run| Some(run.measures.process_rss_mb)))
        }
        p class="note" {
            "The whole process includes the callers, the stand-ins and all nodes. The control cost per node "
            "is measured by " code { "dappleyard-lab capacity" } "."
        }
    }
}
