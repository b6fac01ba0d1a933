//! Protobuf messages for crash records, exchanged between nodes and kept in the store.

use std::time::Duration;

use prost::Message;

use crate::feature::{Feature, PromptPartId};
use crate::fingerprint::Fingerprint;
use crate::ledger::retention;

/// Active runs of requests with a feature on one node.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct NodeRuns {
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Incremented by the node with each change; reports with a lower number than the last one are ignored.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Identifiers of the servers that run such requests.
    #[prost(string, repeated, tag = "3")]
    pub servers: Vec<String>,
    /// The node has reserved the next retry of a refused feature.
    #[prost(bool, tag = "4")]
    pub reserves_retry: bool,
}

/// Crash record of one feature; see [`Ledger`](crate::Ledger).
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CrashRecord {
    /// Fingerprint if the feature is a request, otherwise empty.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Identifier if the feature is a prompt part.
    #[prost(fixed64, optional, tag = "11")]
    pub prompt_part: Option<u64>,
    /// Number of times the record was cleared. Ends from earlier epochs no longer count.
    #[prost(uint32, tag = "2")]
    pub epoch: u32,
    /// Identifiers of the servers that ended in this epoch while they ran requests with the feature.
    #[prost(string, repeated, tag = "3")]
    pub ended: Vec<String>,
    /// Time since each of these ends was observed, in the order of `ended`.
    #[prost(uint64, repeated, tag = "6")]
    pub ages_ms: Vec<u64>,
    /// Whether the run on each of these servers had produced output, in the order of `ended`.
    #[prost(bool, repeated, tag = "8")]
    pub brought_output: Vec<bool>,
    /// Time since the last end was observed or the record was cleared.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// Whether some node completed such a request within the minute before the first end, or since.
    #[prost(bool, tag = "7")]
    pub served_before: bool,
    /// Whether runs were interrupted and it is not yet known if their servers ended.
    #[prost(bool, tag = "9")]
    pub in_doubt: bool,
    /// Whether a run had produced output for a long time before its server ended.
    #[prost(bool, tag = "10")]
    pub ran_long: bool,
    #[prost(message, repeated, tag = "5")]
    pub runs: Vec<NodeRuns>,
}

impl CrashRecord {
    /// A record without ends.
    pub fn new(feature: &Feature) -> Self {
        match feature {
            Feature::Request(fingerprint) => Self {
                fingerprint: fingerprint.as_bytes().to_vec(),
                ..Self::default()
            },
            Feature::PromptPart(part) => Self {
                prompt_part: Some(part.0),
                ..Self::default()
            },
        }
    }

    /// The feature of the record; `None` if this version of the program does not know its kind.
    pub fn feature(&self) -> Option<Feature> {
        if let Some(part) = self.prompt_part {
            return Some(Feature::PromptPart(PromptPartId(part)));
        }
        Fingerprint::from_bytes(&self.fingerprint).map(Feature::Request)
    }

    /// Whether the retention of the record is over.
    pub fn is_expired(&self) -> bool {
        Duration::from_millis(self.age_ms) >= retention(self.ended.len())
    }

    /// Whether the record has all ends of another one of the same feature.
    pub fn covers(&self, other: &CrashRecord) -> bool {
        let has_all_ends = || other.ended.iter().all(|end| self.ended.contains(end));
        self.epoch > other.epoch || (self.epoch == other.epoch && has_all_ends())
    }
}

/// Stored form of the record of a feature.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredRecord {
    /// The record at the time of writing.
    #[prost(message, optional, tag = "1")]
    pub record: Option<CrashRecord>,
    /// The store's monotonic clock at the time of writing.
    #[prost(uint64, tag = "2")]
    pub written_ms: u64,
}

/// Crash records sent from one node to another.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CrashUpdates {
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<CrashRecord>,
}
