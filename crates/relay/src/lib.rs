//! The row store by way of another node.
//!
//! A node reads and writes the store itself where it can. Two things pass through other nodes:
//!
//! - **Tables that are followed** (configuration, servers, nodes, jobs). In a large fleet two
//!   nodes of a region follow them at the store, the delegates of its zones take the changes from these, and the
//!   other nodes from their delegates, so that calls to the store do not grow with the fleet.
//! - **Calls** of a node that the store refuses or does not reach. Another node makes the call and
//!   passes the answer back. What is safe rests on conditions in the store alone, never on who made
//!   the call, so a call passed on is as good as one's own; one whose answer is lost is in doubt, as
//!   it is without a relay.
//!
//! A copy never goes back: changes are taken in the order of the store's revisions, and each answer
//! tells how old the reader's own knowledge is.

mod access;
mod call;
mod history;
mod messages;
mod mirror;
mod rows;
mod serve;

pub use access::{Access, Path, Situation, decide};
pub use history::{Histories, Replica, TableHistory, Told, ToldRows};
pub use mirror::{Verdict, follow_directly, judge, mirror};
pub use rows::RelayedRows;
pub use serve::RelayService;
