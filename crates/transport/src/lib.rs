//! Multiplexed TCP links, UDP datagrams and traffic shaping between processes.
//!
//! A link is one TCP connection that multiplexes length-delimited [`Frame`]s of many streams. The
//! dialling end opens streams; stream 0 carries control frames. [`link`] dials and serves links,
//! [`pool`] shares links to other nodes, [`datagram`] sends and receives UDP messages, [`gate`]
//! counts requests until a planned stop has answered them all, [`panics`] turns a handler's panic into
//! a failure, and [`policy`] lets experiments add delay, loss and partitions. Production uses
//! [`policy::DirectPolicy`].
//!
//! [`Frame`]: dappleyard_wire::messages::Frame

pub mod datagram;
pub mod gate;
pub mod link;
pub mod panics;
pub mod policy;
pub mod pool;

pub use datagram::DatagramSocket;
pub use gate::{RequestGate, RequestGuard};
pub use link::{
    Link, LinkError, LinkMetrics, LinkServer, LinkSettings, ServerStream, StreamReceiver,
};
pub use panics::catch_panic;
pub use policy::{DirectPolicy, LinkPolicy, PathState};
pub use pool::{CallError, LinkPool};
