//! Batch jobs on the row store.
//!
//! Every write about a job is conditional on the revision of the job's row, so that a node that
//! lost a job without knowing it can commit nothing more. Which node runs a job is decided by that
//! row alone; heartbeats only tell when another node should try to claim it.

mod accept;
mod calls;
mod claiming;
mod cleaning;
mod end;
mod give_up;
mod homes;
mod keys;
mod messages;
mod order;
mod owned;
pub mod partials;
mod preempt;
mod read;
mod release;
mod run;
mod runner;
mod scheduling;
mod service_loads;
mod table;
mod taking;
mod width;
mod yielding;

pub use calls::NodeJobs;
pub use claiming::{Ground, may_claim, may_claim_away, preferred};
pub use keys::{BODY_TABLES, JOB_TABLES, partition};
pub use messages::{ItemsBlob, JobRow, JobState, StoredItem, StoredPartial};
pub use order::{Rank, RunEstimate, rank};
pub use runner::Runner;
pub use table::JobTable;
pub use width::{ServerRoom, pick_server, room, within_reach};
pub use yielding::{Change, ServiceLoad, Yielding, is_urgent, spread};
