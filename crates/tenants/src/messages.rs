//! Protobuf messages for quotas, exchanged between nodes.

use prost::Message;

/// Requests of one tenant that were admitted by the sender or by all nodes of its zone.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PassedCount {
    /// Hash of the tenant's name.
    #[prost(fixed32, tag = "1")]
    pub tenant: u32,
    /// Total since the sender's process started. A total rather than a difference, so that the next message makes up
    /// for a lost one.
    #[prost(uint64, tag = "2")]
    pub passed: u64,
    /// Part of `passed` from the last seconds, for a receiver that has no earlier count of this tenant.
    #[prost(uint64, tag = "3")]
    pub recent: u64,
}

impl PassedCount {
    /// Whether the sender has just started to count, so that no other node can have charged these requests.
    pub(crate) fn is_all_recent(&self) -> bool {
        self.passed == self.recent
    }
}

/// Fleet-wide credit of one tenant, as known to a delegate.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CreditLevel {
    /// Hash of the tenant's name.
    #[prost(fixed32, tag = "1")]
    pub tenant: u32,
    /// Level in thousandths of a request; negative if more requests were admitted than allowed.
    #[prost(sint64, tag = "2")]
    pub level_milli: i64,
    /// The receiver's own count that is already deducted; absent if the sender has no count of the receiver.
    #[prost(uint64, optional, tag = "3")]
    pub included: Option<u64>,
}
