//! The body of an answer, by whose end its connection is at rest again.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;

use crate::connection::CallerConnection;

/// The body of an answer. Its connection is no longer busy once the HTTP library has taken the last byte and drops
/// it; the library writes what it has taken before it closes the connection.
pub(crate) struct AnswerBody<B> {
    body: Pin<Box<B>>,
    connection: Option<Arc<CallerConnection>>,
}

impl<B> AnswerBody<B> {
    pub(crate) fn new(body: B, connection: Option<Arc<CallerConnection>>) -> Self {
        Self {
            body: Box::pin(body),
            connection,
        }
    }
}

impl<B> Drop for AnswerBody<B> {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.end_answer();
        }
    }
}

impl<B: MessageBody> MessageBody for AnswerBody<B> {
    type Error = B::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        self.body.as_mut().poll_next(context)
    }
}
