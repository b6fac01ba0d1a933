//! Small specifications of the core protocols, explored exhaustively.
//!
//! Each specification describes a few processes, the store and the network between them as a set of
//! states and steps, and calls the same functions of `dappleyard-decide` as the product. The
//! [`checker`] visits every state that can be reached, breadth first, and prints the shortest run of
//! steps to a state that breaks a promise. Each specification can be weakened by a named mutant, a
//! plausible mistake that the checker has to catch; this shows that the check can fail at all.
//!
//! - [`chunks`]: claim, takeover, commit and cancel of a batch chunk;
//! - [`jobs`]: a job on the row store, accepted, claimed, committed at positions, ended;
//! - [`once`]: the at-most-once record;
//! - [`configuration`]: spread of configuration revisions;
//! - [`fence`]: orders to an engine from two controllers;
//! - [`leaving`]: a leaving server under two owners;
//! - [`plans`]: confirmation of conflicting plans;
//! - [`catalogue`]: all of them by name, for the command line and for tests.

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
