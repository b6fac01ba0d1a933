//! Plans, controllers, drains, rollouts and explanations.
//!
//! Operators state intents; the system answers with plans ([`plans`]) and acts only on confirmed
//! ones. Controllers ([`controller`]) bring each service's servers to what the configuration says,
//! under an epoch row that fences a controller which was paused. Every decision leaves a record
//! ([`journal`]), from which [`explain`] answers in plain words. [`api`] is the operators' interface.

pub mod api;
pub mod controller;
pub mod describe;
pub mod explain;
pub mod head;
pub mod intent;
pub mod jobs;
pub mod journal;
pub mod local;
pub mod metrics;
mod own_drain;
pub mod peers;
pub mod plans;
mod preferred;
mod record;
pub mod regions;
pub mod snapshot;
mod start;
pub mod status;
mod subject_state;

pub use api::{OperateApi, configure};
pub use start::{OperateContext, OperateHandle, start};
