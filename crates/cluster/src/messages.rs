//! Messages between nodes, and the row with which a node makes itself known.

use dappleyard_crashes::CrashNews;
use dappleyard_room::Demand;
use dappleyard_tenants::{CreditLevel, PassedCount};
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
    /// The machine has the processor and link that duties for a whole zone take.
    #[prost(bool, tag = "6")]
    pub strong: bool,
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
    /// Requests that failed there in the last seconds.
    #[prost(uint32, tag = "7")]
    pub failed: u32,
    /// Requests that were served there in the last seconds.
    #[prost(uint32, tag = "8")]
    pub served: u32,
    /// Time since the newest question to the server was asked that told how cold it is, plus one; 0 when none was
    /// lately.
    #[prost(uint32, tag = "9")]
    pub asked_ms: u32,
    /// How much longer the server was cold then.
    #[prost(uint32, tag = "10")]
    pub cold_ms: u32,
    /// The node waits for the server for longer than its answers take, if not yet for so long that it is silent.
    #[prost(bool, tag = "11")]
    pub doubted: bool,
    /// Age of the newest word of the server of how long work takes there, plus one; 0 when there is none of the last
    /// moment.
    #[prost(uint32, tag = "12")]
    pub pace_age_ms: u32,
    /// That word: 100 is as usual.
    #[prost(uint32, tag = "13")]
    pub pace_percent: u32,
    /// Age of the newest measure of how much longer its answers take than it says, plus one; 0 when there is none of
    /// the last moment.
    #[prost(uint32, tag = "14")]
    pub excess_pace_age_ms: u32,
    /// That measure: 100 is as long as it says.
    #[prost(uint32, tag = "15")]
    pub excess_pace_percent: u32,
}

/// The newest messages of other nodes that the sender knows of. The lists run side by side: one
/// entry of each for each node.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LifeSigns {
    /// Hashes of the nodes' names and lives.
    #[prost(fixed32, repeated, tag = "1")]
    pub nodes: Vec<u32>,
    /// Sequence numbers of the messages. Only a greater one than known says that a node lives: an
    /// age alone, passed round between nodes, loses the time on the way and never ends.
    #[prost(uint64, repeated, tag = "2")]
    pub sequences: Vec<u64>,
    /// Times since those messages came, as far as the sender knows.
    #[prost(uint32, repeated, tag = "3")]
    pub ages_ms: Vec<u32>,
}

/// One life sign.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LifeSign {
    /// Hash of the node's name and life.
    pub node: u32,
    /// Sequence number of its newest known message.
    pub sequence: u64,
    /// Time since that came.
    pub age_ms: u32,
}

impl FromIterator<LifeSign> for LifeSigns {
    fn from_iter<I: IntoIterator<Item = LifeSign>>(signs: I) -> Self {
        let mut lists = Self::default();
        for sign in signs {
            lists.nodes.push(sign.node);
            lists.sequences.push(sign.sequence);
            lists.ages_ms.push(sign.age_ms);
        }
        lists
    }
}

impl LifeSigns {
    /// The signs one by one; what has no counterpart in the other lists is passed over.
    pub fn iter(&self) -> impl Iterator<Item = LifeSign> + '_ {
        let numbers = self.nodes.iter().zip(&self.sequences);
        numbers
            .zip(&self.ages_ms)
            .map(|((node, sequence), age_ms)| LifeSign {
                node: *node,
                sequence: *sequence,
                age_ms: *age_ms,
            })
    }
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
    /// Counts the sender's messages; loads in one that is older than the newest are passed over.
    #[prost(uint64, tag = "12")]
    pub sequence: u64,
    /// Life signs of other nodes, in fleets where not every node hears every other.
    #[prost(message, optional, tag = "13")]
    pub signs: Option<LifeSigns>,
    /// Requests of tenants that the sender let pass.
    #[prost(message, repeated, tag = "14")]
    pub passed: Vec<PassedCount>,
    /// Online demand of the sender.
    #[prost(message, repeated, tag = "15")]
    pub demands: Vec<Demand>,
}

/// What still runs at the servers of an evacuated zone, over all nodes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ZoneWork {
    /// Hash of the zone's name.
    #[prost(fixed64, tag = "1")]
    pub zone: u64,
    /// Online requests under way.
    #[prost(uint32, tag = "2")]
    pub online: u32,
    /// Batch items under way.
    #[prost(uint32, tag = "3")]
    pub batch: u32,
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
    /// Items of jobs that wait for a server at the nodes whose loads are summed.
    #[prost(uint32, tag = "6")]
    pub waiting: u32,
    /// Counts the sender's messages.
    #[prost(uint64, tag = "7")]
    pub sequence: u64,
    /// Life signs of other nodes; not in every summary.
    #[prost(message, optional, tag = "8")]
    pub signs: Option<LifeSigns>,
    /// The sums are those that have changed since the summary before; otherwise they are all.
    #[prost(bool, tag = "9")]
    pub changes_only: bool,
    /// Requests of tenants that the sender's zone let pass, for delegates of other zones.
    #[prost(message, repeated, tag = "10")]
    pub passed: Vec<PassedCount>,
    /// Low credit of tenants, for the nodes of the sender's zone.
    #[prost(message, repeated, tag = "11")]
    pub levels: Vec<CreditLevel>,
    /// Thousandths of the nodes of the sender's zone that told it a moment ago what they let pass.
    #[prost(uint32, tag = "12")]
    pub heard_permille: u32,
    /// What still runs in evacuated zones, for the nodes of the sender's zone; not in every summary.
    #[prost(message, repeated, tag = "20")]
    pub evacuated: Vec<ZoneWork>,
    /// Online demand of the nodes whose loads are summed.
    #[prost(message, repeated, tag = "21")]
    pub demands: Vec<Demand>,
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
    /// Requests of tenants that the sender let pass.
    #[prost(message, repeated, tag = "5")]
    pub passed: Vec<PassedCount>,
    /// Online demand of the sender.
    #[prost(message, repeated, tag = "6")]
    pub demands: Vec<Demand>,
}

/// Life signs alone: those that had no room beside what else their teller said.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MoreSigns {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of this life of the sender.
    #[prost(fixed64, tag = "2")]
    pub life: u64,
    /// Counts the sender's messages.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Life signs of other nodes.
    #[prost(message, optional, tag = "4")]
    pub signs: Option<LifeSigns>,
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
    #[prost(message, tag = "4")]
    CrashNews(CrashNews),
    #[prost(message, tag = "5")]
    MoreSigns(MoreSigns),
}

/// One datagram.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Packet {
    #[prost(oneof = "PacketKind", tags = "1, 2, 3, 4, 5")]
    pub kind: Option<PacketKind>,
}
