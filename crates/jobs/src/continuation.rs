//! Decides whether an item with output waits for a server that may continue it, or starts anew elsewhere. Pure
//! functions.

use std::time::Duration;

/// What an item with output can do in the current pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Continuation {
    /// Waits for a server that may continue its output.
    Wait,
    /// Drops its output and starts anew.
    Restart,
}

/// Decides on an item that no server may continue now: none runs the software that began it, or none of these has
/// capacity. The item waits for as long as its output would take again, so that waiting and starting anew together cost
/// at most twice the better of the two.
pub fn decide(waited: Duration, output_duration: Duration) -> Continuation {
    match waited < output_duration {
        true => Continuation::Wait,
        false => Continuation::Restart,
    }
}
