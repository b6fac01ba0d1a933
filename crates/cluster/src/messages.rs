//! Messages between nodes, and the row with which a node registers.

use dappleyard_crashes::CrashUpdates;
use dappleyard_room::Demand;
use dappleyard_streams::{StreamAnswers, StreamNews, StreamQuestions};
use dappleyard_tenants::{CreditLevel, PassedCount};
use prost::{Message, Oneof};

#[derive(Clone, PartialEq, Eq, Message)]
pub struct NodeRow {
    /// Number of this run of the process.
    #[prost(fixed64, tag = "1")]
    pub life: u64,
    /// Address for callers.
    #[prost(string, tag = "2")]
    pub front: String,
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Address for traffic between nodes.
    #[prost(string, tag = "4")]
    pub peer: String,
    /// The node is draining and will shut down.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// The machine has the capacity to act as a delegate.
    #[prost(bool, tag = "6")]
    pub strong: bool,
}

/// Load of one node at one server.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadEntry {
    /// Hash of the server's identifier.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Online requests in flight.
    #[prost(uint32, tag = "2")]
    pub online: u32,
    /// Batch items in flight.
    #[prost(uint32, tag = "3")]
    pub batch: u32,
    /// Prompt tokens that the server has yet to prefill.
    #[prost(uint32, tag = "4")]
    pub unread_tokens: u32,
    /// The node recently found the server unresponsive or failing.
    #[prost(bool, tag = "5")]
    pub suspect: bool,
    /// Time since the node last received a byte from the server, plus one; 0 if it never has.
    #[prost(uint32, tag = "6")]
    pub heard_ms: u32,
    /// Requests that failed at the server in the last seconds.
    #[prost(uint32, tag = "7")]
    pub failed: u32,
    /// Requests that the server completed in the last seconds.
    #[prost(uint32, tag = "8")]
    pub served: u32,
    /// Time since the newest health check that reported the warm-up state was sent, plus one; 0
    /// without a recent one.
    #[prost(uint32, tag = "9")]
    pub asked_ms: u32,
    /// Remaining warm-up time of the server as of that health check.
    #[prost(uint32, tag = "10")]
    pub cold_ms: u32,
    /// The node has waited for the server for longer than its responses take, but not long enough to
    /// count it as unresponsive.
    #[prost(bool, tag = "11")]
    pub doubted: bool,
    /// Age of the newest slowdown reported by the server, plus one; 0 without a recent one.
    #[prost(uint32, tag = "12")]
    pub pace_age_ms: u32,
    /// The reported slowdown in percent; 100 is normal.
    #[prost(uint32, tag = "13")]
    pub pace_percent: u32,
    /// Age of the newest measurement of how much longer responses take than the reported slowdown
    /// implies, plus one; 0 without a recent one.
    #[prost(uint32, tag = "14")]
    pub excess_pace_age_ms: u32,
    /// The measured duration in percent of the one that the reported slowdown implies.
    #[prost(uint32, tag = "15")]
    pub excess_pace_percent: u32,
}

/// The newest known message of each node, as parallel lists.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LivenessRecords {
    /// Hashes of the nodes' names and run numbers.
    #[prost(fixed32, repeated, tag = "1")]
    pub nodes: Vec<u32>,
    /// Sequence numbers of the messages. Only a higher one proves that a node is alive: ages alone
    /// would be relayed forever, since they omit the network delay.
    #[prost(uint64, repeated, tag = "2")]
    pub sequences: Vec<u64>,
    /// Times since those messages arrived anywhere, as far as the sender knows.
    #[prost(uint32, repeated, tag = "3")]
    pub ages_ms: Vec<u32>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LivenessRecord {
    /// Hash of the node's name and run number.
    pub node: u32,
    pub sequence: u64,
    /// Time since that message arrived.
    pub age_ms: u32,
}

impl FromIterator<LivenessRecord> for LivenessRecords {
    fn from_iter<I: IntoIterator<Item = LivenessRecord>>(records: I) -> Self {
        let mut lists = Self::default();
        for record in records {
            lists.nodes.push(record.node);
            lists.sequences.push(record.sequence);
            lists.ages_ms.push(record.age_ms);
        }
        lists
    }
}

impl LivenessRecords {
    /// The records; excess elements of a longer list are ignored.
    pub fn iter(&self) -> impl Iterator<Item = LivenessRecord> + '_ {
        let numbers = self.nodes.iter().zip(&self.sequences);
        numbers
            .zip(&self.ages_ms)
            .map(|((node, sequence), age_ms)| LivenessRecord {
                node: *node,
                sequence: *sequence,
                age_ms: *age_ms,
            })
    }
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Heartbeat {
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of this run of the sender.
    #[prost(fixed64, tag = "2")]
    pub life: u64,
    /// The sender accepts requests.
    #[prost(bool, tag = "3")]
    pub ready: bool,
    /// The sender is shutting down.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Time since the store last answered the sender.
    #[prost(uint32, tag = "5")]
    pub store_age_ms: u32,
    /// Loads of the sender.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<LoadEntry>,
    /// Time since the store last answered a direct call of the sender, plus one; 0 if it never has.
    #[prost(uint32, tag = "8")]
    pub direct_age_ms: u32,
    /// Hashes of the servers used by the sender, if it does not use all.
    #[prost(fixed32, repeated, tag = "9")]
    pub used: Vec<u32>,
    /// Batch items waiting for a server at the sender.
    #[prost(uint32, tag = "10")]
    pub waiting: u32,
    /// The message carries loads; otherwise it only shows liveness.
    #[prost(bool, tag = "11")]
    pub tells_loads: bool,
    /// Sequence number of the message; loads in a message older than the newest are ignored.
    #[prost(uint64, tag = "12")]
    pub sequence: u64,
    /// Liveness records of other nodes, in large fleets.
    #[prost(message, optional, tag = "13")]
    pub signs: Option<LivenessRecords>,
    /// Requests of each tenant admitted by the sender.
    #[prost(message, repeated, tag = "14")]
    pub passed: Vec<PassedCount>,
    /// Online demand of the sender.
    #[prost(message, repeated, tag = "15")]
    pub demands: Vec<Demand>,
}

/// Work still in flight at the servers of an evacuated zone, over all nodes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ZoneWork {
    /// Hash of the zone's name.
    #[prost(fixed64, tag = "1")]
    pub zone: u64,
    /// Online requests in flight.
    #[prost(uint32, tag = "2")]
    pub online: u32,
    /// Batch items in flight.
    #[prost(uint32, tag = "3")]
    pub batch: u32,
}

/// Loads and liveness records aggregated by a delegate.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Summary {
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of this run of the sender.
    #[prost(fixed64, tag = "2")]
    pub life: u64,
    /// The loads are those of the sender's zone, for delegates of other zones; otherwise those of
    /// the whole fleet except the receiver.
    #[prost(bool, tag = "3")]
    pub of_zone: bool,
    /// Load sums.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<LoadEntry>,
    /// Batch items waiting for a server at the aggregated nodes.
    #[prost(uint32, tag = "6")]
    pub waiting: u32,
    /// Sequence number of the message.
    #[prost(uint64, tag = "7")]
    pub sequence: u64,
    /// Liveness records of other nodes; not in every summary.
    #[prost(message, optional, tag = "8")]
    pub signs: Option<LivenessRecords>,
    /// The sums are those that changed since the previous summary; otherwise all sums.
    #[prost(bool, tag = "9")]
    pub changes_only: bool,
    /// Requests of each tenant admitted by the sender's zone, for delegates of other zones.
    #[prost(message, repeated, tag = "10")]
    pub passed: Vec<PassedCount>,
    /// Remaining credit of tenants that are low on it, for the nodes of the sender's zone.
    #[prost(message, repeated, tag = "11")]
    pub levels: Vec<CreditLevel>,
    /// Share of the zone's nodes, in thousandths, that recently reported the requests they
    /// admitted.
    #[prost(uint32, tag = "12")]
    pub heard_permille: u32,
    /// Work still in flight in evacuated zones, for the nodes of the sender's zone; not in every
    /// summary.
    #[prost(message, repeated, tag = "20")]
    pub evacuated: Vec<ZoneWork>,
    /// Online demand of the aggregated nodes.
    #[prost(message, repeated, tag = "21")]
    pub demands: Vec<Demand>,
}

/// Loads of one node at the servers where they changed since its last message.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadChange {
    /// Hash of the sender's name.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Number of this run of the sender.
    #[prost(fixed64, tag = "2")]
    pub life: u64,
    /// Sequence number of the message, shared with heartbeats.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Current loads, including those that became zero.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<LoadEntry>,
    /// Requests of each tenant admitted by the sender.
    #[prost(message, repeated, tag = "5")]
    pub passed: Vec<PassedCount>,
    /// Online demand of the sender.
    #[prost(message, repeated, tag = "6")]
    pub demands: Vec<Demand>,
}

/// Liveness records that did not fit into the message they belong to.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ExtraLiveness {
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of this run of the sender.
    #[prost(fixed64, tag = "2")]
    pub life: u64,
    /// Sequence number of the message.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Liveness records of other nodes.
    #[prost(message, optional, tag = "4")]
    pub signs: Option<LivenessRecords>,
}

/// Content of a datagram.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub(crate) enum PacketKind {
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    #[prost(message, tag = "2")]
    Summary(Summary),
    #[prost(message, tag = "3")]
    LoadChange(LoadChange),
    #[prost(message, tag = "4")]
    CrashNews(CrashUpdates),
    #[prost(message, tag = "5")]
    ExtraLiveness(ExtraLiveness),
    #[prost(message, tag = "6")]
    StreamNews(StreamNews),
    #[prost(message, tag = "7")]
    StreamQuestions(StreamQuestions),
    #[prost(message, tag = "8")]
    StreamAnswers(StreamAnswers),
}

/// One datagram.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Packet {
    #[prost(oneof = "PacketKind", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub kind: Option<PacketKind>,
}
