//! Values of rows.

use bytes::Bytes;
use dappleyard_model::ItemSubmission;
use dappleyard_tenants::Caller;
use prost::{Enumeration, Message};

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum JobState {
    /// Items are still to be listed.
    Open = 0,
    /// Its caller ended it.
    Ended = 1,
    /// Every item is listed.
    Done = 2,
}

/// Row of a job.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct JobRow {
    /// Name of the route.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Host that the job was sent to.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Number of items.
    #[prost(uint64, tag = "3")]
    pub total: u64,
    /// The store's clock when the job was accepted.
    #[prost(uint64, tag = "4")]
    pub accepted_ms: u64,
    /// Node that runs it; empty when no node does.
    #[prost(string, tag = "5")]
    pub owner: String,
    /// Life of that node's process.
    #[prost(fixed64, tag = "6")]
    pub life: u64,
    /// Rises with each change of owner.
    #[prost(uint64, tag = "7")]
    pub epoch: u64,
    /// State.
    #[prost(enumeration = "JobState", tag = "8")]
    pub state: i32,
    /// Results listed.
    #[prost(uint64, tag = "9")]
    pub listed: u64,
    /// Tokens of the items that are not listed.
    #[prost(uint64, tag = "10")]
    pub open_tokens: u64,
    /// One bit for each item that is listed.
    #[prost(bytes = "bytes", tag = "11")]
    pub listed_items: Bytes,
    /// The store's clock at which results are due.
    #[prost(uint64, tag = "12")]
    pub due_ms: u64,
    /// Texts of unfinished items lie in the store.
    #[prost(bool, tag = "13")]
    pub has_partials: bool,
    /// Tenant that it belongs to; empty when it belongs to none.
    #[prost(string, tag = "14")]
    pub tenant: String,
    /// Region in which it was accepted; none in a deployment of one region.
    #[prost(string, optional, tag = "15")]
    pub region: Option<String>,
}

impl JobRow {
    /// Whether a caller may read and end the job. A job without a tenant was accepted from
    /// somebody who needed no key.
    pub fn is_open_to(&self, caller: &Caller) -> bool {
        self.tenant.is_empty() || self.tenant == caller.tenant_name()
    }

    /// Whether items are still to be listed.
    pub fn is_open(&self) -> bool {
        self.state() == JobState::Open
    }

    /// Whether an item is listed.
    pub fn is_listed(&self, item: usize) -> bool {
        let byte = self.listed_items.get(item / 8).copied().unwrap_or(0);
        byte & (1 << (item % 8)) != 0
    }

    /// The bits with one more item listed.
    pub fn with_listed(&self, item: usize) -> Bytes {
        let mut bits = self.listed_items.to_vec();
        let place = item / 8;
        if bits.len() <= place {
            bits.resize(place + 1, 0);
        }
        bits[place] |= 1 << (item % 8);
        Bytes::from(bits)
    }
}

/// One header of an item.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredHeader {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// One item of a job.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredItem {
    /// Identifier.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Path at the server.
    #[prost(string, tag = "2")]
    pub path: String,
    /// Headers.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<StoredHeader>,
    /// Body.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
    /// Tokens of the prompt and the most out.
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

/// All items of a job; cut into chunks for the store.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ItemsBlob {
    /// The items, in the order of the submission.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<StoredItem>,
}

/// One result; cut into chunks for the store.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredResult {
    /// Identifier of the item.
    #[prost(string, tag = "1")]
    pub item: String,
    /// The item ran to its end; otherwise it was given up.
    #[prost(bool, tag = "2")]
    pub completed: bool,
    /// Text.
    #[prost(string, tag = "3")]
    pub text: String,
}

/// A piece of the text of an item whose run has not come to its end. Each piece has a row of its own;
/// together they are the text so far.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredPartial {
    /// Last event that the text holds with this piece.
    #[prost(uint64, tag = "1")]
    pub last_event: u64,
    /// Text behind the pieces before.
    #[prost(string, tag = "2")]
    pub text: String,
    /// Answers of failure so far.
    #[prost(uint32, tag = "3")]
    pub failures: u32,
    /// Last event of the piece before; `None` in the first one.
    #[prost(uint64, optional, tag = "4")]
    pub after_event: Option<u64>,
    /// Epoch of the job in which the piece was written.
    #[prost(uint64, tag = "5")]
    pub epoch: u64,
    /// Events of the piece.
    #[prost(uint64, tag = "6")]
    pub events: u64,
    /// The text goes on in the next piece, without which it ends inside an event.
    #[prost(bool, tag = "7")]
    pub continued: bool,
}
