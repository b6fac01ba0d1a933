//! Messages between nodes, and the row with which a node makes itself known.

use prost::{Message, Oneof};

/// Row of one node.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct NodeRow {
    /// Number of this life of the process.
    #[prost(fixed64, tag = "1")]
    pub life: u64,
    /// Address for callers.
    #[prost(string, tag = "2")]
    pub front: String,
    /// Zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Address for messages between nodes.
    #[prost(string, tag = "4")]
    pub peer: String,
    /// The node takes no new work and will end.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
}

/// Work of one node at one server.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadEntry {
    /// Hash of the server's identifier.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Online requests under way.
    #[prost(uint32, tag = "2")]
    pub online: u32,
    /// Batch items under way.
    #[prost(uint32, tag = "3")]
    pub batch: u32,
    /// Prompt tokens that the server has yet to read.
    #[prost(uint32, tag = "4")]
    pub unread_tokens: u32,
    /// The node found the server silent or broken lately.
    #[prost(bool, tag = "5")]
    pub suspect: bool,
    /// Time since any byte came from the server to the node, plus one; 0 when none ever did.
    #[prost(uint32, tag = "6")]
    pub heard_ms: u32,
}

/// When another node was last heard of.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HeardEntry {
    /// Hash of the node's name and life.
    #[prost(fixed32, tag = "1")]
    pub node: u32,
    /// Time since its heartbeat was sent, as far as is known.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// Heartbeat of one node.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Heartbeat {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of this life of the sender.
    #[prost(fixed64, tag = "2")]
    pub life: u64,
    /// The sender takes requests.
    #[prost(bool, tag = "3")]
    pub ready: bool,
    /// The sender will end.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Time since the store last answered the sender.
    #[prost(uint32, tag = "5")]
    pub store_age_ms: u32,
    /// Work of the sender.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<LoadEntry>,
    /// When some other nodes were last heard of; in fleets where not every node hears every other.
    #[prost(message, repeated, tag = "7")]
    pub heard: Vec<HeardEntry>,
    /// Time since the store last answered a call of the sender itself, plus one; 0 when it never
    /// has.
    #[prost(uint32, tag = "8")]
    pub direct_age_ms: u32,
    /// Hashes of the servers that the sender uses, when it does not use all.
    #[prost(fixed32, repeated, tag = "9")]
    pub used: Vec<u32>,
    /// Items of jobs that wait for a server at the sender.
    #[prost(uint32, tag = "10")]
    pub waiting: u32,
    /// The loads are told; otherwise this is a life sign only.
    #[prost(bool, tag = "11")]
    pub tells_loads: bool,
    /// Counts the sender's messages about its loads; what is older than the newest one is passed over.
    #[prost(uint64, tag = "12")]
    pub sequence: u64,
}

/// Loads and life signs that a delegate of a zone has summed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Summary {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of this life of the sender.
    #[prost(fixed64, tag = "2")]
    pub life: u64,
    /// The loads are those of the sender's zone, for delegates of other zones; otherwise they are
    /// those of the whole fleet but for the receiver's own.
    #[prost(bool, tag = "3")]
    pub of_zone: bool,
    /// Sums.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<LoadEntry>,
    /// When nodes were last heard of.
    #[prost(message, repeated, tag = "5")]
    pub heard: Vec<HeardEntry>,
    /// Items of jobs that wait for a server at the nodes whose loads are summed.
    #[prost(uint32, tag = "6")]
    pub waiting: u32,
}

/// Work of one node at the servers where it has changed since the node last told of it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadChange {
    /// Hash of the sender's name.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Number of this life of the sender.
    #[prost(fixed64, tag = "2")]
    pub life: u64,
    /// Counts the sender's messages about its loads, heartbeats included.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The work there now; servers without any are named too.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<LoadEntry>,
}

/// What a datagram carries.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub(crate) enum PacketKind {
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    #[prost(message, tag = "2")]
    Summary(Summary),
    #[prost(message, tag = "3")]
    LoadChange(LoadChange),
}

/// One datagram.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Packet {
    #[prost(oneof = "PacketKind", tags = "1, 2, 3")]
    pub kind: Option<PacketKind>,
}
