//! What callers do: seeded arrivals, and the HTTP callers that carry them out.
//!
//! [`plan`] draws all arrivals from the seed before the run, so that each policy sees the same ones;
//! [`online`] and [`batch`] carry them out against the sidecars and note what came back in the
//! recorder; [`drive`] spreads them over threads. Texts of prompts come from [`words`]; answers are
//! judged by [`expected`], and whole jobs by [`results`].

pub mod batch;
pub mod client;
pub mod drive;
pub mod expected;
pub mod online;
pub mod plan;
pub mod results;
pub mod sse;
pub mod words;
