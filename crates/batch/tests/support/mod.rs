//! In-memory platform and engine for tests, with faults that a test switches on.
#![allow(dead_code, missing_docs)]

pub mod engine;
pub mod harness;
pub mod platform;

pub use engine::FakeEngine;
pub use harness::{Fleet, Node, lines, once_submit, submit, upload};
pub use platform::{FakePlatform, Fault};
