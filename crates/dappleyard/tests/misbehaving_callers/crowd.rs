//! Callers that send large messages and keep their connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that one caller sends before it is the next one's turn.
const TURN_BYTES: usize = 64 * 1024;
/// The crowd has sent all it can once none of it could send for this long.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Callers that send without end stop after this time.
const SENDING_TIME: Duration = Duration::from_secs(15);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What a caller sends: a beginning, and a part that is repeated.
#[derive(Clone)]
pub struct Message {
    pub first: Vec<u8>,
    pub repeated: Vec<u8>,
    /// Length of all repeated parts; the last may be cut.
    pub repeated_bytes: u64,
    /// Largest piece that is written at once.
    pub piece_bytes: usize,
}

impl Message {
    /// The next bytes after the first `sent`, up to the end of a part.
    fn next(&self, sent: u64) -> &[u8] {
        let first = self.first.len() as u64;
        let Some(repeated) = sent.checked_sub(first) else {
            return &self.first[sent as usize..];
        };
        let left = usize::try_from(self.repeated_bytes - repeated).unwrap_or(usize::MAX);
        let start = (repeated % self.repeated.len() as u64) as usize;
        let part = &self.repeated[start..];
        &part[..part.len().min(left).min(self.piece_bytes)]
    }
}

/// One caller.
struct Sender {
    stream: TcpStream,
    message: Message,
    sent: u64,
    is_ended: bool,
}

impl Sender {
    /// Sends what the connection takes, within one turn. Returns whether any byte was sent.
    fn send(&mut self) -> bool {
        let before = self.sent;
        while !self.is_ended && self.sent < before + TURN_BYTES as u64 {
            let bytes = self.message.next(self.sent);
            if bytes.is_empty() {
                break;
            }
            match self.stream.write(bytes) {
                Ok(written) => self.sent += written as u64,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => self.is_ended = true,
            }
        }
        self.discard_answer();
        self.sent > before
    }

    fn discard_answer(&mut self) {
        match self.stream.read(&mut [0; 4096]) {
            Ok(0) => self.is_ended = true,
            Err(error) if error.kind() != ErrorKind::WouldBlock => self.is_ended = true,
            _ => {}
        }
    }
}

/// Callers whose connections stay open until this is dropped.
pub struct Crowd {
    senders: Vec<Sender>,
}

impl Crowd {
    /// Connects all callers, and sends until each has sent its message, cannot send or is cut off.
    pub fn send(address: SocketAddr, callers: usize, message: &Message) -> Self {
        let mut crowd = Self {
            senders: Vec::new(),
        };
        for _ in 0..callers {
            // A node that is full may refuse a connection or leave it waiting.
            if let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
                stream.set_nonblocking(true).expect("a socket");
                crowd.senders.push(Sender {
                    stream,
                    message: message.clone(),
                    sent: 0,
                    is_ended: false,
                });
            }
            crowd.send_once();
        }
        let started = Instant::now();
        let mut progress_at = Instant::now();
        while progress_at.elapsed() < QUIET_TIME && started.elapsed() < SENDING_TIME {
            match crowd.send_once() {
                true => progress_at = Instant::now(),
                false => thread::sleep(Duration::from_millis(5)),
            }
        }
        crowd
    }

    fn send_once(&mut self) -> bool {
        let sent = self.senders.iter_mut().map(Sender::send);
        sent.fold(false, |any, sent| any | sent)
    }

    /// Most bytes that one caller has got rid of.
    pub fn most_sent(&self) -> u64 {
        let sent = self.senders.iter().map(|sender| sender.sent);
        sent.max().unwrap_or(0)
    }
}
