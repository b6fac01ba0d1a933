//! Plans: the proposed, confirmed and executed form of an intent.
//!
//! [`propose`] reads the rows that the plan depends on and computes steps, capacity, deadlines at
//! risk and duration. [`confirm`] accepts it in one transaction that compares all those rows.
//! [`runner`] executes the steps within the disruption budgets.

pub mod abort;
pub mod body;
pub mod changes;
pub mod confirm;
pub mod disruptions;
pub mod drain;
pub mod effects;
pub mod propose;
pub mod runner;
pub mod store;

pub use body::{PlanBody, PlanDocument};
