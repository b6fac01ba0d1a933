//! Batch jobs, persisted in the row store.
//!
//! Every write about a job is conditional on the revision of its row, so a node that lost the job without
//! noticing cannot commit stale results. The row alone decides which node owns a job; heartbeats only tell
//! the other nodes when to try to claim it.

mod accept;
mod admission;
mod api;
mod claiming;
pub mod continuation;
mod end;
mod expiry;
mod garbage_collection;
mod kept;
mod keys;
mod messages;
mod order;
mod owned;
mod ownership;
pub mod partials;
mod placement;
mod preempt;
mod progress;
mod read;
mod release;
mod residency;
mod run;
mod runner;
mod scheduling;
mod service_state;
mod table;

pub use admission::{AdmissionChange, BatchAdmission, ServiceLoad, apportion, is_urgent};
pub use api::JobService;
pub use claiming::{ClaimContext, may_claim, may_claim_remote, preferred_worker};
pub use keys::{BODY_TABLES, JOB_TABLES, partition};
pub use messages::{ItemsBlob, JobRow, JobState, StoredItem, StoredPartial};
pub use order::{Rank, RunEstimate, rank};
pub use placement::{ServerCapacity, capacity, pick_server, prefer_local_region};
pub use runner::Runner;
pub use table::JobTable;
