//! Batch jobs on the row store.
//!
//! Every write about a job is conditional on the revision of the job's row, so that a node that
//! lost a job without knowing it can commit nothing more. Which node runs a job is decided by that
//! row alone; heartbeats only tell when another node should try to claim it.

mod accept;
mod admission;
mod api;
mod claiming;
mod end;
mod expiry;
mod garbage_collection;
mod keys;
mod messages;
mod order;
mod owned;
mod ownership;
pub mod partials;
mod placement;
mod preempt;
mod read;
mod release;
mod residency;
mod run;
mod runner;
mod scheduling;
mod service_state;
mod table;

pub use admission::{Change, ServiceLoad, Yielding, is_urgent, spread};
pub use api::NodeJobs;
pub use claiming::{Ground, may_claim, may_claim_away, preferred};
pub use keys::{BODY_TABLES, JOB_TABLES, partition};
pub use messages::{ItemsBlob, JobRow, JobState, StoredItem, StoredPartial};
pub use order::{Rank, RunEstimate, rank};
pub use placement::{ServerRoom, pick_server, room, within_reach};
pub use runner::Runner;
pub use table::JobTable;
