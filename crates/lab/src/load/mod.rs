//! What callers do: seeded arrivals, and the HTTP callers that carry them out.
//!
//! [`plan`] draws all arrivals from the seed before the run, so that each policy sees the same ones.
//! [`words`] makes their texts.

pub mod plan;
pub mod words;
