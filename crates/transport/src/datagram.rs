//! UDP messages between nodes: one prost message a datagram.

use std::net::SocketAddr;

use dappleyard_wire::messages::Datagram;
use dappleyard_wire::{MAXIMUM_DATAGRAM_BYTES, messages};
use prost::Message;
use tokio::net::UdpSocket;

use crate::policy::SharedPolicy;

/// Bytes read for one datagram; those that fill the buffer are malformed.
const RECEIVE_BUFFER_BYTES: usize = 4 * MAXIMUM_DATAGRAM_BYTES;

/// A bound UDP socket that sends and receives [`Datagram`]s through the link policy.
pub struct DatagramSocket {
    socket: std::rc::Rc<UdpSocket>,
    policy: SharedPolicy,
    generator: std::cell::Cell<u64>,
    buffer: std::cell::RefCell<Vec<u8>>,
}

/// One thing received.
#[derive(Debug)]
pub enum Received {
    /// A well-formed datagram of this many bytes.
    Message {
        /// Sender's address.
        from: SocketAddr,
        /// The message.
        datagram: Box<messages::Datagram>,
        /// Size on the wire, bytes.
        bytes: usize,
    },
    /// Bytes that are not a datagram of ours: counted and dropped by the caller.
    Malformed {
        /// Sender's address.
        from: SocketAddr,
    },
}

impl DatagramSocket {
    /// Binds `address`; port 0 takes a free one. Must be called on an actix arbiter.
    pub async fn bind(address: SocketAddr, policy: SharedPolicy) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        // Until the runtime has seen the socket as writable, what is sent would be dropped.
        socket.writable().await?;
        Ok(Self::from_socket(socket, policy))
    }

    /// Wraps a socket that is bound already.
    pub fn from_socket(socket: UdpSocket, policy: SharedPolicy) -> Self {
        let seed = socket
            .local_addr()
            .map_or(1, |address| u64::from(address.port()) + 1);
        Self {
            socket: std::rc::Rc::new(socket),
            policy,
            generator: std::cell::Cell::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
            buffer: std::cell::RefCell::new(vec![0; RECEIVE_BUFFER_BYTES]),
        }
    }

    /// The bound address.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a datagram and returns its size in bytes. Loss, cuts and delay of the policy apply;
    /// send errors are not reported, as for a lost datagram.
    pub fn send(&self, to: SocketAddr, datagram: &Datagram) -> usize {
        let bytes = datagram.encode_to_vec();
        let size = bytes.len();
        debug_assert!(size <= MAXIMUM_DATAGRAM_BYTES * 4);
        let state = self.policy.path(&to.to_string());
        if state.cut || (state.loss > 0.0 && self.uniform() < state.loss) {
            return size;
        }
        if state.delay.is_zero() {
            let _ = self.socket.try_send_to(&bytes, to);
        } else {
            let socket = self.socket.clone();
            actix_rt::spawn(async move {
                tokio::time::sleep(state.delay).await;
                let _ = socket.try_send_to(&bytes, to);
            });
        }
        size
    }

    /// Waits for the next datagram.
    pub async fn receive(&self) -> std::io::Result<Received> {
        loop {
            self.socket.readable().await?;
            let mut buffer = self.buffer.borrow_mut();
            match self.socket.try_recv_from(&mut buffer) {
                Ok((size, from)) => return Ok(read(&buffer[..size], from)),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// A cheap generator for loss only (xorshift); no decision of the product depends on it.
    fn uniform(&self) -> f64 {
        let mut state = self.generator.get().max(1);
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        self.generator.set(state);
        (state >> 11) as f64 / (1_u64 << 53) as f64
    }
}

fn read(bytes: &[u8], from: SocketAddr) -> Received {
    if bytes.len() == RECEIVE_BUFFER_BYTES {
        return Received::Malformed { from };
    }
    match Datagram::decode(bytes) {
        Ok(datagram) => Received::Message {
            from,
            datagram: Box::new(datagram),
            bytes: bytes.len(),
        },
        Err(_) => Received::Malformed { from },
    }
}
