//! Fencing of controller orders by a monotonic (epoch, sequence) position.

/// Position of an order in the sequence of orders to an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderPosition {
    /// Controller epoch.
    pub epoch: u64,
    /// Sequence number within the epoch.
    pub sequence: u64,
}

/// Whether the order at `offered` is newer than the last applied one.
pub fn admits(applied: OrderPosition, offered: OrderPosition) -> bool {
    offered > applied
}
