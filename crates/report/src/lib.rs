//! Reports and comparisons of experiment runs.
