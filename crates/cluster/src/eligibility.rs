//! Reasons why a server gets no new work. Placement, retries, resumed streams, batch items and the
//! last check before sending use the same reasons.

use derive_more::Display;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Exclusion {
    /// Service discovery no longer lists the server.
    #[display("gone")]
    Gone,
    /// The server is shutting down.
    #[display("draining")]
    Draining,
    /// The operators evacuated its zone.
    #[display("zone evacuated")]
    ZoneEvacuated,
    /// The server is cold and this node's quota for it is exhausted.
    #[display("cold rate used")]
    ColdRateUsed,
    /// The server is outside the regions in which the request may be served.
    #[display("outside home regions")]
    OutsideHomes,
    /// The server runs another software version than the one that began the run.
    #[display("other software version")]
    OtherVersion,
}
