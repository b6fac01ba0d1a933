//! Types of the OpenAI HTTP interface that are read and written.

pub mod answers;
pub mod batches;
pub mod generation;
