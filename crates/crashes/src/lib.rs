//! Requests under which servers ended.
//!
//! A [`Fingerprint`] tells that two tries are the same request, whichever node they come to. Nothing here performs I/O
//! or reads a clock.

mod fingerprint;

pub use fingerprint::{Fingerprint, RequestParts};
