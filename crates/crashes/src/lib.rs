//! Requests under which servers ended.
//!
//! A [`Fingerprint`] tells that two tries are the same request, whichever node they come to. The [`Ledger`] holds how many
//! servers ended under each, and decides whether it may run; records of two nodes join in any order. [`CrashTable`] is
//! the ledger as the threads of a node share it. Nothing here performs I/O.

mod fingerprint;
mod gossip;
mod ledger;
mod messages;
mod recently_served;
mod record;
mod server_failures;
mod table;

pub use fingerprint::{Fingerprint, RequestParts};
pub use ledger::{Held, KEPT_REFUSED, Ledger, Merged, Noted, Permit};
pub use messages::{CrashNews, CrashRecord, RunsOf, StoredRefusal};
pub use record::{LONG_RUN, MOST_ENDED};
pub use table::{CrashTable, RunUnderWay};
