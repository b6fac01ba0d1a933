//! HTTP/1.1 client connections to model servers and to the row store.
//!
//! The end of a body and the end of a connection are distinguished: a truncated response is an
//! error and never appears complete.

mod body;
mod connection;
mod head;
mod limit;
mod malformed;
mod pool;

pub use body::BodyFraming;
pub use connection::{Connection, ExchangeError, RequestKey, Stage};
pub use head::{RequestBytes, ResponseHead, request_bytes};
pub use limit::{ConnectionLimit, ConnectionPermit};
pub use pool::{IdleLimit, Pool, Wanted};
