//! The batch path of a node: jobs, chunks and their runners.
//!
//! [`JobsApi`] answers the calls about files and jobs on the request path. [`start`] runs, on the
//! node's batch arbiter, what works on jobs: it splits accepted jobs into chunks, claims chunks for
//! the servers that this node owns, runs their items beside online work, commits results, takes over
//! chunks of nodes that are gone and stops the work of cancelled jobs.
//!
//! Authority over a chunk is the epoch in its row; see `dappleyard_decide::chunks`.

pub mod input;
pub mod jobs;
pub mod metrics;
pub mod output;
pub mod runner;
pub mod store;

pub use jobs::JobsApi;
pub use runner::{BatchContext, BatchHandle, start};
