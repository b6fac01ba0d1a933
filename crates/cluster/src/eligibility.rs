//! Why a server gets no new work from this node. One answer for every way to a server: placement, repeats,
//! resumed streams, items of jobs, and the last look before bytes are sent.

use derive_more::Display;

/// Why a server gets no new work now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Exclusion {
    /// Service discovery no longer lists it.
    #[display("gone")]
    Gone,
    /// It is about to leave.
    #[display("draining")]
    Draining,
    /// The operators have its zone evacuated.
    #[display("zone evacuated")]
    ZoneEvacuated,
    /// It is cold, and this node has used its part of the requests that it bears.
    #[display("cold rate used")]
    ColdRateUsed,
    /// It is not in a region in which the request may be served.
    #[display("outside home regions")]
    OutsideHomes,
}
