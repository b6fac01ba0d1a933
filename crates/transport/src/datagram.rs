//! UDP messages between nodes, one protobuf message per datagram.

use std::net::SocketAddr;

use dappleyard_wire::messages::Datagram;
use dappleyard_wire::{MAXIMUM_DATAGRAM_BYTES, messages};
use prost::Message;
use tokio::net::UdpSocket;

use crate::policy::SharedPolicy;

/// Receive buffer size; a datagram that fills it may be truncated and is treated as malformed.
const RECEIVE_BUFFER_BYTES: usize = 4 * MAXIMUM_DATAGRAM_BYTES;

/// A bound UDP socket that sends and receives [`Datagram`]s through the link policy.
pub struct DatagramSocket {
    socket: std::rc::Rc<UdpSocket>,
    policy: SharedPolicy,
    rng_state: std::cell::Cell<u64>,
    buffer: std::cell::RefCell<Vec<u8>>,
}

/// A received datagram.
#[derive(Debug)]
pub enum Received {
    /// A well-formed datagram.
    Message {
        /// Sender's address.
        from: SocketAddr,
        /// The message.
        datagram: Box<messages::Datagram>,
        /// Size on the wire, bytes.
        bytes: usize,
    },
    /// Bytes that do not decode as a [`Datagram`].
    Malformed {
        /// Sender's address.
        from: SocketAddr,
    },
}

impl DatagramSocket {
    /// Binds `address`; port 0 selects a free port. Must be called on an actix arbiter.
    pub async fn bind(address: SocketAddr, policy: SharedPolicy) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        // `try_send_to` fails until the runtime has registered the socket as writable.
        socket.writable().await?;
        Ok(Self::from_socket(socket, policy))
    }

    /// Wraps a bound socket.
    pub fn from_socket(socket: UdpSocket, policy: SharedPolicy) -> Self {
        let seed = socket
            .local_addr()
            .map_or(1, |address| u64::from(address.port()) + 1);
        Self {
            socket: std::rc::Rc::new(socket),
            policy,
            rng_state: std::cell::Cell::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
            buffer: std::cell::RefCell::new(vec![0; RECEIVE_BUFFER_BYTES]),
        }
    }

    /// The bound address.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a datagram, subject to the link policy, and returns its size in bytes. Send errors are
    /// ignored, like a lost datagram.
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

    /// A uniform number in `[0, 1)` from an xorshift generator, used only for emulated loss.
    fn uniform(&self) -> f64 {
        let mut state = self.rng_state.get().max(1);
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        self.rng_state.set(state);
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
