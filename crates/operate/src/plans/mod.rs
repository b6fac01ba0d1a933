//! Plans: an intent becomes a plan that states what will happen; a confirmed plan acts.
//!
//! [`propose`] reads the rows that the plan rests on and states steps, capacity, deadlines at risk
//! and duration. [`confirm`] accepts it in one transaction that compares all those rows. [`runner`]
//! carries out the steps that follow, within the disruption budgets.

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
