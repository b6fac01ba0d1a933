//! Limits that follow from the size of a machine.

/// Share of a machine's memory for callers' messages, as a divisor.
const MESSAGES_DIVISOR: usize = 6;
/// Share of the budget that is left to small messages, as a divisor.
const RESERVE_DIVISOR: usize = 4;
/// Share of a machine's memory for the connections themselves, as a divisor.
const CONNECTIONS_DIVISOR: usize = 4;
/// Share of a machine's memory for bytes on connections that wait to be accepted at one port, as a divisor.
const WAITING_DIVISOR: usize = 16;
/// Buffer for bytes of a connection that have arrived and are not read. The kernel may use twice as much.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Memory of a caller's connection without its messages: its task, the buffers of the HTTP library and the kernel's.
const CONNECTION_BYTES: usize = 16 * 1024 + 2 * RECEIVE_BUFFER_BYTES;
/// Most connections that wait to be accepted at one port.
const MAX_WAITING: usize = 1_024;
/// Descriptors that are set aside for files.
const FILE_DESCRIPTORS: usize = 200;
/// Descriptors for peers, the store, listeners, timers, and connections of callers that end or are accepted just then.
const OWN_DESCRIPTORS: usize = 112;
/// Share of the other descriptors for callers, as a divisor. What callers cannot use is for servers.
const CALLERS_DIVISOR: usize = 2;
const BYTES_PER_MB: usize = 1_000_000;

/// Limits on the memory of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Bytes of all messages together.
    pub total_bytes: usize,
    /// Bytes of those that only small messages may use.
    pub reserve_bytes: usize,
}

/// Limits on what callers may use of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    pub messages: BudgetLimits,
    /// Connections of all callers.
    pub connections: usize,
    /// Connections to servers.
    pub server_connections: usize,
    /// Connections that wait to be accepted at one port.
    pub waiting: usize,
    /// Receive buffer of a connection, bytes.
    pub receive_buffer_bytes: usize,
}

impl CallerLimits {
    /// Limits for a machine with this much memory, and this many descriptors.
    pub fn of_machine(memory_mb: usize, descriptors: usize) -> Self {
        let memory_bytes = memory_mb * BYTES_PER_MB;
        let total_bytes = memory_bytes / MESSAGES_DIVISOR;
        let by_memory = memory_bytes / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        let waiting = memory_bytes / WAITING_DIVISOR / (2 * RECEIVE_BUFFER_BYTES);
        let descriptors = descriptors.saturating_sub(FILE_DESCRIPTORS + OWN_DESCRIPTORS);
        let connections = by_memory.min(descriptors / CALLERS_DIVISOR).max(1);
        Self {
            messages: BudgetLimits {
                total_bytes,
                reserve_bytes: total_bytes / RESERVE_DIVISOR,
            },
            connections,
            server_connections: descriptors.saturating_sub(connections).max(1),
            waiting: waiting.clamp(1, MAX_WAITING),
            receive_buffer_bytes: RECEIVE_BUFFER_BYTES,
        }
    }
}
