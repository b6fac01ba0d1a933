//! How old a word about a server may be: a leaving server gets no new work after a bound, also from a
//! node that was paused or that has just become its owner.

use crate::time::Millis;

/// The latest time at which the word is known to have been true: it was `age_ms` old when it was sent,
/// and it was sent after it was asked for at `asked`. The time at which it was read says nothing: the
/// reader may have been paused in between.
pub fn said_at(asked: Millis, age_ms: u64) -> Millis {
    Millis(asked.0.saturating_sub(age_ms))
}

/// Whether a word that was true at `said` may still be acted on.
pub fn still_holds(said: Millis, now: Millis, bound_ms: u64) -> bool {
    now.since(said) <= bound_ms
}
