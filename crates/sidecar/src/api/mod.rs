//! Request and response types of the OpenAI-compatible HTTP API.

pub mod batches;
pub mod generation;
pub mod responses;
