//! Pure decision logic of the system: no input or output, no clock, no thread.
//!
//! Time and randomness are arguments, so that the product, the model checker and the replay of
//! recorded traces call the same functions and get the same answers. Each module decides one thing:
//!
//! - request path: [`admission`], [`placement`], [`retry`], [`reassembly`], [`once`]
//! - batch: [`chunks`], [`width`], [`fairness`]
//! - fleet: [`broadcast`], [`membership`], [`ownership`], [`configuration`], [`fence`], [`freshness`]
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
