//! What matters of a server's entry, as nodes keep it and tell it to each other.
//!
//! The platform's entries are texts of about 250 bytes, most of which no node goes by. A large fleet hands the whole table
//! to hundreds of nodes whenever it starts: 10,000 servers whose names of service and zone have 32 bytes together are 0.88 MB as
//! digests, names included, instead of 3 MB.

use std::net::SocketAddr;

use bytes::Bytes;
use dappleyard_model::{Row, ServerRecord};
use prost::Message;

/// What a digest begins with. No entry of a server does, since it is a text.
const MARK: &[u8] = b"\0srv1";

/// What matters of an entry.
#[derive(Clone, PartialEq, Eq, Message)]
struct ServerDigest {
    /// Moment of the start, milliseconds since 1970, where the server tells it.
    #[prost(uint64, optional, tag = "1")]
    born_ms: Option<u64>,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(string, tag = "3")]
    address: String,
    #[prost(string, tag = "4")]
    zone: String,
    #[prost(uint32, tag = "5")]
    slots: u32,
    #[prost(bool, tag = "6")]
    draining: bool,
    #[prost(uint64, tag = "7")]
    cold_left_ms: u64,
    /// Why the entry names no server; the other fields are empty then.
    #[prost(string, tag = "8")]
    refused: String,
}

/// What an entry says: a server, or why it names none.
pub(crate) type ReadEntry = Result<ServerRecord, String>;

/// Whether the value of a row is a digest.
fn is_digest(value: &[u8]) -> bool {
    value.starts_with(MARK)
}

/// The row with a digest for its value.
pub(crate) fn digest(row: Row, read: impl FnOnce(&Row) -> ReadEntry) -> Row {
    let Some(value) = &row.value else {
        return row;
    };
    if is_digest(value) {
        return row;
    }
    let digest = match read(&row) {
        Ok(server) => ServerDigest {
            born_ms: server.born_ms(),
            service: server.service,
            address: server.address.to_string(),
            zone: server.zone,
            slots: server.slots,
            draining: server.draining,
            cold_left_ms: server.cold_left_ms,
            refused: String::new(),
        },
        Err(refused) => ServerDigest {
            refused,
            ..ServerDigest::default()
        },
    };
    let mut value = MARK.to_vec();
    value.extend(digest.encode_to_vec());
    Row {
        value: Some(Bytes::from(value)),
        ..row
    }
}

/// The server of a digest, by its name; `None` for a value that is no digest.
pub(crate) fn read_digest(name: &str, value: &[u8]) -> Option<ReadEntry> {
    let body = value.strip_prefix(MARK)?;
    Some(server(name, body))
}

fn server(name: &str, body: &[u8]) -> ReadEntry {
    let digest = ServerDigest::decode(body).map_err(|error| format!("digest: {error}"))?;
    if !digest.refused.is_empty() {
        return Err(digest.refused);
    }
    let address: SocketAddr = digest
        .address
        .parse()
        .map_err(|error| format!("digest, address: {error}"))?;
    Ok(ServerRecord {
        id: ServerRecord::start_id(name, digest.born_ms),
        instance: name.to_owned(),
        service: digest.service,
        address,
        zone: digest.zone,
        slots: digest.slots,
        draining: digest.draining,
        cold_left_ms: digest.cold_left_ms,
    })
}
