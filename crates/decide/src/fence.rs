//! Fencing of orders from controllers: (epoch, sequence) only grows.

/// Position of an order among all orders to one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderPosition {
    /// Epoch of the controller.
    pub epoch: u64,
    /// Sequence number within the epoch.
    pub sequence: u64,
}

/// Whether an order at `offered` may be applied after `applied`.
pub fn admits(applied: OrderPosition, offered: OrderPosition) -> bool {
    offered > applied
}
