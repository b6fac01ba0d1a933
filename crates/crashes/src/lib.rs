//! Fleet-wide tracking of requests that crash servers.
//!
//! A [`Fingerprint`] identifies retries of the same request on any node. The [`Ledger`] records the servers that ended
//! while they ran a request, and decides whether it may run again; records of two nodes can be merged in any order.
//! [`CrashTable`] shares the ledger between the threads of a node. This crate performs no I/O.

mod fingerprint;
mod gossip;
mod ledger;
mod messages;
mod recently_served;
mod record;
mod server_failures;
mod table;

pub use fingerprint::{Fingerprint, RequestParts};
pub use ledger::{EndOutcome, Ledger, MergeOutcome, Permit, REFUSED_RETENTION, RefusedRequest};
pub use messages::{CrashRecord, CrashUpdates, NodeRuns, StoredRefusal};
pub use record::{LONG_RUN, MAX_ENDED_SERVERS};
pub use table::{CrashTable, RunGuard};
