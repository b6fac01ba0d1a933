//! Self-contained HTML page with plots as inline SVG.

mod decisions;
mod sections;

use std::path::PathBuf;

use derive_more::{Display, Error, From};
use maud::{DOCTYPE, Markup, PreEscaped, html};

use crate::charts::ChartError;
use crate::runs::{self, Group};
use crate::summary::SummaryError;

#[derive(Debug, Display, Error, From)]
pub enum PageError {
    Summary(SummaryError),
    Chart(ChartError),
}

/// Renders the page for all runs found under the directories.
pub fn render_directories(directories: &[PathBuf]) -> Result<String, PageError> {
    let groups = runs::group(runs::read(directories)?);
    Ok(render(&groups)?)
}

/// Renders the page for groups of runs.
pub fn render(groups: &[Group]) -> Result<String, ChartError> {
    let mut body = Vec::new();
    for group in groups {
        body.push(sections::group(group)?);
    }
    let title = groups
        .iter()
        .map(|group| group.scenario.as_str())
        .collect::<Vec<_>>()
        .join(", ");
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { "dappleyard: " (title) }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { "dappleyard: experiment report" }
                (table_of_contents(groups))
                @for section in &body { (section) }
            }
        }
    };
    Ok(page.into_string())
}

fn table_of_contents(groups: &[Group]) -> Markup {
    html! {
        ul class="contents" {
            @for (index, group) in groups.iter().enumerate() {
                li {
                    a href=(format!("#{}", anchor(group))) { (index + 1) ". " (group.title()) }
                    " ("
                    @for (index, (policy, runs)) in group.policies.iter().enumerate() {
                        @if index > 0 { ", " }
                        (policy) ": " (runs.len()) @if runs.len() == 1 { " seed" } @else { " seeds" }
                    }
                    ")"
                }
            }
        }
    }
}

fn anchor(group: &Group) -> String {
    format!("{}-{}-{}", group.scenario, group.faults, group.seconds)
}

const STYLE: &str = "
body { font: 15px/1.45 sans-serif; color: #222; max-width: 1160px; margin: 1.2em auto; padding: 0 1em; }
h1 { font-size: 1.5em; } h2 { font-size: 1.25em; border-top: 2px solid #888; padding-top: .7em; margin-top: 2em; }
h3 { font-size: 1.05em; margin: 1.4em 0 .4em; }
table { border-collapse: collapse; margin: .4em 0; font-variant-numeric: tabular-nums; }
th, td { padding: .22em .7em; border-bottom: 1px solid #ddd; text-align: right; }
th { background: #f2f2f2; } td:first-child, th:first-child { text-align: left; }
td.text, th.text { text-align: left; }
.good { color: #0a6b2d; } .bad { color: #b00020; font-weight: bold; } .unsure { color: #9a6200; }
.note { color: #555; font-size: .93em; max-width: 60em; } svg { max-width: 100%; height: auto; display: block; }
details { margin: .3em 0; } summary { cursor: pointer; } .contents { padding-left: 1.2em; }
.mark { display: inline-block; width: 1em; height: .8em; vertical-align: baseline; }
";
