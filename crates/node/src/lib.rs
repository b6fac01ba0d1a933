//! Composition root of a node process.
