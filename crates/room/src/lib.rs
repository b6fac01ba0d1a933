//! Admission control for overloaded services.
//!
//! Nodes exchange their [`Demand`] for each service: requests waiting for a slot, refused requests
//! expected to be retried, and requests in flight by tenant. From the sum over all nodes and the
//! service's slots, each node decides locally whether a request is served, waits or is refused.
//! This crate performs no I/O.

mod admission;
mod capacity;
mod demand;
mod retry_detector;
mod retry_queue;
mod retry_schedule;
mod shares;

pub use admission::{Admission, AdmissionRequest, CHECK_INTERVAL, RETRY_FRACTION, admit};
pub use capacity::{Capacity, LoadTrend, MeanHoldTime, RETRY_RESERVE};
pub use demand::{Demand, TenantWork, service_hash};
pub use retry_detector::RetryDetector;
pub use retry_queue::RetryQueue;
pub use retry_schedule::{RETRY_INTERVAL, RETRY_INTERVALS, RetrySchedule};
pub use shares::{Claim, OverShare, Shares};
