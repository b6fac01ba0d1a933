//! Batch processing on a node.
//!
//! [`JobsApi`] handles file and job calls. [`start`] starts the batch runner on the node's batch
//! arbiter: it splits accepted jobs into chunks, claims chunks for the servers that this node owns,
//! runs their items alongside online requests, commits results, takes over chunks of failed nodes
//! and stops the work of cancelled jobs.
//!
//! Ownership of a chunk is fenced by the epoch in its row; see `dappleyard_decide::chunks`.

pub mod input;
pub mod jobs;
pub mod metrics;
pub mod output;
pub mod runner;
pub mod store;

pub use jobs::JobsApi;
pub use runner::{BatchContext, BatchHandle, start};
