//! Reads and compares summaries of experiment runs, and renders them as a self-contained HTML page.
//!
//! - [`summary`]: the summary file of a run;
//! - [`runs`]: finds and groups runs;
//! - [`compare`]: ratios of measures between runs, with the spread over seeds;
//! - [`charts`]: SVG plots; [`tradeoff`]: batch throughput against online slowdown;
//! - [`page`]: the HTML page.

pub mod charts;
pub mod compare;
pub mod page;
pub mod runs;
pub mod summary;
pub mod tradeoff;
