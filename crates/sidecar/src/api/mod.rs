//! Types of the OpenAI HTTP interface that are read and written.

pub mod batches;
pub mod generation;
pub mod responses;
