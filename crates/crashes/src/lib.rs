//! Fleet-wide tracking of requests that crash servers.
//!
//! Crashes are counted by each [`Feature`] of a request: the request itself, which a [`Fingerprint`] identifies in all its
//! retries on any node, and the parts of its prompt that other requests share. The [`Ledger`] records the servers that
//! ended while they ran requests with a feature, and decides whether such requests may run again; records of two nodes
//! can be merged in any order. [`CrashTable`] shares the ledger between the threads of a node. This crate performs no I/O.

mod deferred_retries;
mod feature;
mod fingerprint;
mod gossip;
mod ledger;
mod messages;
mod permits;
mod recently_served;
mod record;
mod retries;
mod server_failures;
mod table;

pub use feature::{Feature, ParseFeatureError, PromptPartId, RequestFeatures};
pub use fingerprint::{Fingerprint, RequestParts};
pub use ledger::{EndOutcome, Ledger, MergeOutcome, Permit, RefusedFeature};
pub use messages::{CrashRecord, CrashUpdates, NodeRuns, StoredRecord};
pub use record::{LONG_RUN, MAX_ENDED_SERVERS};
pub use table::{CrashTable, RunGuard};
