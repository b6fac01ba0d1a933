//! Online request handling of a node: receive, admit, place, dispatch, relay, settle.
//!
//! At the ingress node, [`receive`](mod@receive) validates a submission, `admit` applies tenant limits
//! and refuses requests that cannot meet their deadline, `idempotency` reserves the key of an
//! at-most-once request, `place` ranks the owners, and `ingress` tries them in order and relays the
//! answer. At the owner node, `dispatch` selects a server and calls its engine, `relay` converts engine
//! events to frames, and `owner` decides whether to retry after a failure. `settle` builds the failures
//! and recorded outcomes.
//!
//! Every stream ends with exactly one final frame, `Finish` or `Refused`. `Refused` reports whether the
//! request may have run.

mod admit;
mod caller;
mod dispatch;
mod idempotency;
mod ingress;
mod load;
mod metrics;
mod owner;
mod owner_link;
mod place;
mod receive;
mod recorder;
mod relay;
mod reports;
mod settle;
mod shared;
mod view;
mod worker;

pub use load::node_load;
pub use reports::start_report_poller;
pub use shared::OnlineShared;
pub use worker::{LocalStream, OnlineContext, OnlineWorker};
