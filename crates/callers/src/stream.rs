//! The byte stream of a connection of a caller.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use rustix::net::{RecvFlags, recv};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connection::CallerConnection;
use crate::gate::ConnectionGate;

/// Bytes that are read in one turn, so that few pieces of a message are held before its handler has taken them.
const TURN_BYTES: usize = 4 * 1024;

/// The stream of a connection, which ends once the gate is closed and the connection is not busy.
pub(crate) struct GatedStream {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
    gate: Arc<ConnectionGate>,
    /// Bytes read in this turn.
    turn_bytes: usize,
}

impl GatedStream {
    pub(crate) fn new(
        stream: TcpStream,
        connection: Arc<CallerConnection>,
        gate: Arc<ConnectionGate>,
    ) -> Self {
        Self {
            stream,
            connection,
            gate,
            turn_bytes: 0,
        }
    }

    pub(crate) fn connection(&self) -> &Arc<CallerConnection> {
        &self.connection
    }

    /// Reads what fits into this turn. Between turns the task of the connection runs.
    fn poll_piece(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let limit = buffer.remaining().min(TURN_BYTES);
        let mut piece = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut piece);
        let length = piece.filled().len();
        if read.is_pending() {
            self.turn_bytes = 0;
        }
        ready!(read)?;
        buffer.advance(length);
        self.turn_bytes += length;
        Poll::Ready(Ok(length))
    }
}

impl Drop for GatedStream {
    fn drop(&mut self) {
        self.gate.note_end(&self.connection);
        self.gate.remove(self.connection.number);
    }
}

/// Whether bytes can be read. Asks the socket itself, since the runtime may not have been told of them yet.
fn has_arrived(stream: &TcpStream) -> bool {
    let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    // An error shows at the next read; the connection ends in either case.
    recv(stream, &mut [0; 1], flags).is_ok_and(|(_, arrived)| arrived > 0)
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Registered before the check, so that a gate that is closed after it wakes the reader.
        self.connection.reader.register(context.waker());
        if self.gate.has_ended(&self.connection) {
            if !has_arrived(&self.stream) {
                return Poll::Ready(Ok(()));
            }
            self.connection.note_read();
        }
        if self.connection.has_given_way() {
            return Poll::Ready(Ok(()));
        }
        let length = ready!(self.poll_piece(context, buffer))?;
        if length > 0 {
            self.connection.note_bytes(length)?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, pieces)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
