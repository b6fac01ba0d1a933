//! Stand-ins of what the platform gives: model engines, tables, objects, weights, machine list.
//!
//! They take the platform's place in experiments and tests. [`text`] is the one place that says
//! what an engine answers.

pub mod text;
