//! Load generation: seeded arrivals and the HTTP callers that send them.
//!
//! [`plan`] draws all arrivals from the seed before the run, so that each policy sees the same
//! ones. [`online`] and [`batch`] send them to the sidecars and record the outcome; [`drive`]
//! divides them between threads. [`words`] generates prompt text, [`expected`] checks responses and
//! [`results`] checks the results of jobs.

pub mod batch;
pub mod client;
pub mod drive;
pub mod expected;
pub mod online;
pub mod plan;
pub mod results;
pub mod sse;
pub mod words;
