//! Pure decision logic: no I/O, no clock, no threads.
//!
//! Time and randomness are passed as arguments, so the servers, the model checker and trace replay
//! share the same deterministic functions.
//!
//! - request path: [`admission`], [`placement`], [`retry`], [`reassembly`], [`once`]
//! - batch: [`chunks`], [`width`], [`fairness`]
//! - fleet: [`broadcast`], [`membership`], [`ownership`], [`configuration`], [`fence`],
//!   [`freshness`]
//! - operators: [`plans`], [`rollout`], [`disruption`], [`windows`]

pub mod admission;
pub mod broadcast;
pub mod chunks;
pub mod configuration;
pub mod disruption;
pub mod fairness;
pub mod fence;
pub mod freshness;
pub mod membership;
pub mod once;
pub mod ownership;
pub mod placement;
pub mod plans;
pub mod reassembly;
pub mod retry;
pub mod rollout;
pub mod time;
pub mod width;
pub mod windows;
