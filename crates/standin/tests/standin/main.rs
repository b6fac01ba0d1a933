//! Tests of the simulated engines and platform services, and of their HTTP clients.

mod broken_answers;
mod control;
mod engines_over_http;
mod harness;
mod histories;
mod memory;
mod meters;
mod orders;
mod platform_over_http;
mod platform_state;
mod steps;
mod streams;

/// Runs an async test.
fn run<F: Future>(test: F) -> F::Output {
    actix_rt::System::new().block_on(test)
}
