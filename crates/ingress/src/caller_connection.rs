//! What is known of a caller's connection.

use std::any::Any;

use actix_web::dev::Extensions;
use dappleyard_clock::Instant;

/// When a connection was accepted.
pub(crate) struct AcceptedAt(pub(crate) Instant);

/// Records when a connection was accepted, for the requests on it.
pub fn note_accepted(_io: &dyn Any, extensions: &mut Extensions) {
    extensions.insert(AcceptedAt(Instant::now()));
}
