//! Integration tests with nodes that share an in-memory platform, in virtual time.

mod crashes;
mod drains;
mod faults;
mod jobs;
mod support;
mod suspended;
