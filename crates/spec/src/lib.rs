//! Models of the core protocols, checked exhaustively.
//!
//! Each specification is a state machine of a few processes, the store and the network between them,
//! and calls the same functions of `dappleyard-decide` as the production code. The [`checker`] visits
//! every reachable state breadth first and reports the shortest trace to a state that violates an
//! invariant. Named mutants inject a plausible bug into a specification; the checker must detect each.
//!
//! - [`chunks`]: claim, takeover, commit and cancel of a batch chunk;
//! - [`jobs`]: acceptance, claim, commit and end of a job on the row store;
//! - [`once`]: the at-most-once record;
//! - [`configuration`]: replication of configuration revisions;
//! - [`fence`]: orders to one engine from two controllers;
//! - [`leaving`]: a draining server with two owners;
//! - [`plans`]: confirmation of conflicting plans;
//! - [`catalogue`]: all specifications by name, for the command line and for tests.

pub mod catalogue;
pub mod checker;
pub mod chunks;
pub mod configuration;
pub mod fence;
pub mod jobs;
pub mod leaving;
pub mod once;
pub mod plans;
pub mod store;
