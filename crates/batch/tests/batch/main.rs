//! Tests of the batch path on nodes that share an in-memory store, in virtual time.

mod crashes;
mod drains;
mod faults;
mod jobs;
mod paused;
mod support;
