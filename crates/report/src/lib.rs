//! Reports and comparisons of experiment runs.

pub mod summary;
