//! Plans, controllers, drains, rollouts and explanations.
//!
//! Operators submit intents, which become plans ([`plans`]); only confirmed plans are executed.
//! Controllers ([`controller`]) reconcile the servers of each service with the configuration,
//! fenced by an epoch row. Decisions are recorded ([`journal`]) and can be queried ([`explain`]).
//! [`api`] is the admin API.

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
