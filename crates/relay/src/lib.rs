//! Access to the row store through other nodes.
//!
//! A node calls the store directly when it can. Two kinds of traffic go through peers:
//!
//! - **Replicated tables** (configuration, servers, nodes, jobs). In a large fleet two nodes per region read them from
//!   the store, zone delegates copy from those readers, and the other nodes copy from their delegates, so the load on
//!   the store does not grow with the fleet.
//! - **Forwarded calls** of a node that cannot reach the store. A peer makes the call and returns the answer.
//!   Correctness depends only on the conditions of the transaction, not on who sends it. If the answer is lost, the
//!   outcome is ambiguous, as for a direct call.
//!
//! A copy never goes back to an older revision, and each answer carries the age of the data.

mod access;
mod call;
mod history;
mod messages;
mod mirror;
mod rows;
mod serve;

pub use access::{Access, Path, PathInputs, choose_path};
pub use history::{Histories, Replica, TableHistory, TableUpdates, UpdateRows};
pub use mirror::{CopyVerdict, follow_directly, judge_copy, mirror};
pub use rows::RelayedRows;
pub use serve::RelayService;
