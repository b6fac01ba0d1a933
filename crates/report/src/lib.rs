//! Summaries of experiment runs: reading, comparing, and one self-contained HTML page.
//!
//! - [`summary`]: what a run wrote;
//! - [`runs`]: finding and grouping runs;
//! - [`compare`]: ratios of measures between runs, with the spread over seeds;
//! - [`charts`]: plots as SVG; [`tradeoff`]: batch throughput against online harm;
//! - [`page`]: the HTML page.

pub mod charts;
pub mod compare;
pub mod page;
pub mod runs;
pub mod summary;
pub mod tradeoff;
