//! What nodes tell each other, and keep in the store, of requests under which servers ended.

use prost::Message;

/// Runs of a request that one node has under way.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RunsOf {
    /// Number of the node.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Counts what the node told; a lower one than known is passed over.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Identifiers of the servers that run it.
    #[prost(string, repeated, tag = "3")]
    pub servers: Vec<String>,
}

/// What is known of one request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CrashRecord {
    /// Its fingerprint.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// How often its name was cleared. What was seen before counts no more.
    #[prost(uint32, tag = "2")]
    pub epoch: u32,
    /// Identifiers of the servers that ended under it since.
    #[prost(string, repeated, tag = "3")]
    pub ended: Vec<String>,
    /// Time since each of them was seen to end, side by side with them.
    #[prost(uint64, repeated, tag = "6")]
    pub ages_ms: Vec<u64>,
    /// Whether the request's run at each of them had brought output, side by side with them.
    #[prost(bool, repeated, tag = "8")]
    pub brought_output: Vec<bool>,
    /// Time since the last of them was seen to end, or the name was cleared.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// Some node served it within the minute before the first of them ended.
    #[prost(bool, tag = "7")]
    pub served_before: bool,
    /// Runs have broken off of which it is not known yet whether their servers end.
    #[prost(bool, tag = "9")]
    pub in_doubt: bool,
    /// A run of it had brought output for long before its server ended.
    #[prost(bool, tag = "10")]
    pub ran_long: bool,
    /// Runs under way.
    #[prost(message, repeated, tag = "5")]
    pub runs: Vec<RunsOf>,
}

/// A request that runs no more, as the store keeps it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredRefusal {
    /// The record as of the writing.
    #[prost(message, optional, tag = "1")]
    pub record: Option<CrashRecord>,
    /// The store's steady clock at the writing.
    #[prost(uint64, tag = "2")]
    pub written_ms: u64,
}

/// News of some requests.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CrashNews {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<CrashRecord>,
}
