//! Protobuf messages stored as row values.

use bytes::Bytes;
use dappleyard_model::ItemSubmission;
use dappleyard_tenants::Caller;
use prost::{Enumeration, Message};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum JobState {
    /// Some items have no committed result yet.
    Open = 0,
    /// Ended by its caller.
    Ended = 1,
    /// Every item has a committed result.
    Done = 2,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct JobRow {
    /// Name of the route.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Host to which the job was submitted.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Number of items.
    #[prost(uint64, tag = "3")]
    pub total: u64,
    /// Acceptance time on the store's clock.
    #[prost(uint64, tag = "4")]
    pub accepted_ms: u64,
    /// Node that runs the job; empty if none does.
    #[prost(string, tag = "5")]
    pub owner: String,
    /// Process incarnation of the owner.
    #[prost(fixed64, tag = "6")]
    pub life: u64,
    /// Incremented with each change of owner.
    #[prost(uint64, tag = "7")]
    pub epoch: u64,
    /// A [`JobState`].
    #[prost(enumeration = "JobState", tag = "8")]
    pub state: i32,
    /// Number of committed results.
    #[prost(uint64, tag = "9")]
    pub listed: u64,
    /// Tokens of the items without a committed result.
    #[prost(uint64, tag = "10")]
    pub open_tokens: u64,
    /// Bitmap of the items that have a committed result.
    #[prost(bytes = "bytes", tag = "11")]
    pub listed_items: Bytes,
    /// Deadline of the results on the store's clock.
    #[prost(uint64, tag = "12")]
    pub due_ms: u64,
    /// Whether the partials table holds output of unfinished items.
    #[prost(bool, tag = "13")]
    pub has_partials: bool,
    /// Tenant that owns the job; empty for an anonymous caller.
    #[prost(string, tag = "14")]
    pub tenant: String,
    /// Region that accepted the job; `None` in a deployment with a single region.
    #[prost(string, optional, tag = "15")]
    pub region: Option<String>,
}

impl JobRow {
    /// Whether a caller may read and end the job. A job without a tenant was submitted without a key and is open to
    /// everyone.
    pub fn is_open_to(&self, caller: &Caller) -> bool {
        self.tenant.is_empty() || self.tenant == caller.tenant_name()
    }

    /// Whether some items have no committed result and the job was not ended.
    pub fn is_open(&self) -> bool {
        self.state() == JobState::Open
    }

    /// Whether an item has a committed result.
    pub fn is_listed(&self, item: usize) -> bool {
        let byte = self.listed_items.get(item / 8).copied().unwrap_or(0);
        byte & (1 << (item % 8)) != 0
    }

    /// The bitmap with one more item set.
    pub fn with_listed(&self, item: usize) -> Bytes {
        let mut bits = self.listed_items.to_vec();
        let byte_index = item / 8;
        if bits.len() <= byte_index {
            bits.resize(byte_index + 1, 0);
        }
        bits[byte_index] |= 1 << (item % 8);
        Bytes::from(bits)
    }
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredHeader {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub value: String,
}

/// One item of a job, as submitted.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredItem {
    #[prost(string, tag = "1")]
    pub id: String,
    /// Path of the request to the server.
    #[prost(string, tag = "2")]
    pub path: String,
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<StoredHeader>,
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
    /// Prompt tokens plus the maximum number of output tokens.
    #[prost(uint64, tag = "5")]
    pub tokens: u64,
}

impl From<ItemSubmission> for StoredItem {
    fn from(item: ItemSubmission) -> Self {
        let headers = item.headers.into_iter();
        Self {
            id: item.id,
            path: item.path,
            headers: headers
                .map(|(name, value)| StoredHeader { name, value })
                .collect(),
            body: item.body,
            tokens: item.tokens,
        }
    }
}

/// All items of a job; encoded and split into chunks for the store.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ItemsBlob {
    /// Items in the order of submission.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<StoredItem>,
}

/// One result; encoded and split into chunks for the store.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredResult {
    #[prost(string, tag = "1")]
    pub item: String,
    /// Whether the item was completed; otherwise it was abandoned.
    #[prost(bool, tag = "2")]
    pub completed: bool,
    #[prost(string, tag = "3")]
    pub text: String,
}

/// One segment of the output of an unfinished item. Each segment is one row; joined in order they form the output
/// so far.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredPartial {
    /// Identifier of the last event up to and including this segment.
    #[prost(uint64, tag = "1")]
    pub last_event: u64,
    /// Text that follows the earlier segments.
    #[prost(string, tag = "2")]
    pub text: String,
    /// Failed responses so far.
    #[prost(uint32, tag = "3")]
    pub failures: u32,
    /// Last event of the previous segment; `None` in the first one.
    #[prost(uint64, optional, tag = "4")]
    pub after_event: Option<u64>,
    /// Epoch of the job in which the segment was written.
    #[prost(uint64, tag = "5")]
    pub epoch: u64,
    /// Number of events in this segment.
    #[prost(uint64, tag = "6")]
    pub events: u64,
    /// Whether the next segment continues this one; without it the text ends inside an event.
    #[prost(bool, tag = "7")]
    pub continued: bool,
    /// Service that began the output; empty in segments of earlier versions of this program.
    #[prost(string, tag = "8")]
    pub service: String,
    /// Software version that began the output; empty if it is unknown.
    #[prost(string, tag = "9")]
    pub version: String,
    /// How often the item had dropped its output before.
    #[prost(uint32, tag = "10")]
    pub restarts: u32,
}
