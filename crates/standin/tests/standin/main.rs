//! Tests of the stand-ins and of the clients that speak to them.

mod bench;
mod broken_answers;
mod control;
mod engines_over_http;
mod histories;
mod memory;
mod meters;
mod orders;
mod platform_over_http;
mod platform_state;
mod steps;
mod streams;

/// Runs a test that needs the runtime.
fn run<F: Future>(test: F) -> F::Output {
    actix_rt::System::new().block_on(test)
}
