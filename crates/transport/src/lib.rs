//! Framed connections, datagrams and the link policy between processes of the system.
//!
//! A link is one TCP connection that carries length-delimited [`Frame`]s of many streams. The
//! connecting end opens streams; stream 0 belongs to the link itself. [`link`] dials and serves
//! links, [`pool`] keeps links to other nodes, [`datagram`] sends and receives UDP messages, and [`policy`] is the port through which an
//! experiment adds delay, loss and cuts; the product uses [`policy::DirectPolicy`].
//!
//! [`Frame`]: dappleyard_wire::messages::Frame

pub mod datagram;
pub mod link;
pub mod policy;
pub mod pool;

pub use datagram::DatagramSocket;
pub use link::{
    Link, LinkError, LinkMetrics, LinkServer, LinkSettings, ServerStream, StreamReceiver,
};
pub use policy::{DirectPolicy, LinkPolicy, LinkState};
pub use pool::{CallError, LinkPool};
