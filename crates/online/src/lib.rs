//! The online path of a node: receive, admit, place, dispatch, relay, settle.
//!
//! A submission passes small filters, each a module. At the ingress node: [`receive`](mod@receive)
//! checks it, `admit` applies tenant limits and refuses what cannot be served in time, `once` takes
//! the record of a request that must not be repeated, `place` orders the owners, `ingress` hands the
//! request to them in turn and relays the answer. At the owner node: `dispatch` chooses a server and
//! calls its engine, `relay` turns the engine's events into frames, `owner` decides what follows a
//! loss. `settle` closes the record and tells the truth about execution.
//!
//! Every stream has one final frame, `Finish` or `Refused`, and a `Refused` says what is known of
//! whether anything ran.

mod admit;
mod caller;
mod dispatch;
mod ingress;
mod load;
mod metrics;
mod once;
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

pub use load::summary;
pub use reports::start_reports;
pub use shared::OnlineShared;
pub use worker::{LocalStream, OnlineContext, OnlineWorker};
