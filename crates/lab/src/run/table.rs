//! Prints the results of a run as tables.

use std::path::Path;

use comfy_table::{Table, presets};
use dappleyard_report::summary::{Percentiles, Summary};

pub fn print(summary: &Summary, directory: &Path) {
    println!(
        "\n{} seed {} policy {} faults {} ({} s)",
        summary.scenario,
        summary.seed,
        summary.policy,
        if summary.faults.is_empty() {
            "none"
        } else {
            &summary.faults
        },
        summary.seconds,
    );
    println!("{}", invariants(summary));
    println!("{}", measures(summary));
    for failure in &summary.not_done {
        println!("not done: {failure}");
    }
    println!(
        "{}",
        directory
            .join(dappleyard_report::summary::FILE_NAME)
            .display()
    );
}

fn table(header: [&str; 2]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::UTF8_BORDERS_ONLY)
        .set_header(header);
    table
}

fn invariants(summary: &Summary) -> Table {
    let mut table = table(["invariant", "checked / violated"]);
    for (name, verdict) in &summary.invariants {
        let state = match (verdict.checked, verdict.violated) {
            (0, _) => "not checked".to_owned(),
            (checked, 0) => format!("{checked} / 0"),
            (checked, violated) => format!("{checked} / {violated} VIOLATED"),
        };
        table.add_row([name.clone(), state]);
        if let Some(example) = verdict.examples.first() {
            let shown: String = example.chars().take(300).collect();
            table.add_row([String::new(), shown]);
        }
    }
    table
}

fn measures(summary: &Summary) -> Table {
    let measures = &summary.measures;
    let share =
        |share: Option<f64>| share.map_or("not measured".to_owned(), |share| format!("{share:.3}"));
    let mut table = table(["measure", "value"]);
    let rows = [
        (
            "batch items/s",
            format!("{:.1}", measures.batch_items_per_s),
        ),
        (
            "batch tokens/s",
            format!("{:.0}", measures.batch_tokens_per_s),
        ),
        (
            "batch share of idle",
            format!(
                "{} (over {:.1} s with work waiting)",
                share(measures.batch_share_of_idle),
                measures.batch_waiting_s
            ),
        ),
        ("repeated items", measures.batch_repeated_items.to_string()),
        (
            "online",
            format!(
                "{} sent, {} whole, {} refused",
                measures.online_requests, measures.online_whole, measures.online_refused
            ),
        ),
        ("refused by kind", format!("{:?}", measures.refused_by_kind)),
        ("time to first token, ms", percentiles(&measures.ttft_ms)),
        ("time between tokens, ms", percentiles(&measures.itl_ms)),
        ("time to refusal, ms", percentiles(&measures.refusal_ms)),
        (
            "engine steps to yield",
            format!(
                "{}, never {}",
                percentiles(&measures.steps_to_yield),
                measures.never_yielded
            ),
        ),
        (
            "store writes",
            format!(
                "{:.1}/s, {} for 1,000 items",
                measures.store_writes_per_s,
                share(measures.store_writes_per_1000_items)
            ),
        ),
        (
            "engine stall share",
            format!("{:.4}", measures.engine_stall_share),
        ),
        (
            "process",
            format!(
                "{:.1} cores, {:.0} MB",
                measures.process_cores, measures.process_rss_mb
            ),
        ),
    ];
    for (name, value) in rows {
        table.add_row([name.to_owned(), value]);
    }
    table
}

fn percentiles(values: &Percentiles) -> String {
    format!(
        "p50 {:.1}  p95 {:.1}  p99 {:.1}  max {:.1}  ({})",
        values.p50, values.p95, values.p99, values.max, values.count
    )
}
