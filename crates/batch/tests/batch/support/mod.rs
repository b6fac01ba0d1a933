//! In-memory platform and engine, with faults that a test switches on.
#![allow(dead_code)]

pub mod engine;
pub mod harness;
pub mod pause;
pub mod platform;
