//! Admission control for overloaded services.
//!
//! Nodes exchange their [`Demand`] for each service: requests waiting for a slot, refused requests
//! expected to be retried, and requests in flight by tenant. From the sum over all nodes and the
//! service's slots, each node decides locally whether a request is served, waits or is refused.
//! This crate performs no I/O.

mod admission;
mod credit;
mod deadlines;
mod demand;
mod returns;
mod room;
mod shares;

pub use admission::{Admission, Asking, LOOK, OBEYED_PART, admit};
pub use credit::CreditQueue;
pub use deadlines::UsualDeadline;
pub use demand::{Demand, TenantWork, service_number};
pub use returns::{ReturnSchedule, SPAN, SPANS};
pub use room::{HoldTime, RETURNS_PART, Room, Trend};
pub use shares::{Claim, OverShare, Shares};
