//! Who is served when a service has too little room, and who comes back when.
//!
//! Nodes tell each other their [`Demand`] for each service: requests that wait for a slot, requests that were told
//! when to come back, and the work of each tenant. From the sum over all nodes, and from the slots of the service,
//! a node decides by itself whether a request is served, waits or is refused, so that no request waits for another
//! node. Nothing here performs I/O.

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
