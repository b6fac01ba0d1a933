//! Compact form of a server registration, in which nodes keep it and send it to each other.
//!
//! The platform's entries are JSON of about 250 bytes with fields that nodes do not use. A digest
//! is about a third as large, which matters when a large fleet starts and hundreds of nodes read
//! the whole table.

use std::net::SocketAddr;

use bytes::Bytes;
use dappleyard_model::{Row, ServerRecord, SoftwareVersion};
use prost::Message;

/// Prefix of a digest. A server's own entry is text and never starts with it.
const PREFIX: &[u8] = b"\0srv1";

/// The fields of an entry that nodes use.
#[derive(Clone, PartialEq, Eq, Message)]
struct ServerDigest {
    /// Start time in milliseconds since the Unix epoch, if the server reports it.
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
    /// Why the entry is invalid; the other fields are then empty.
    #[prost(string, tag = "8")]
    refused: String,
    /// Empty if it is unknown; earlier versions of this program leave it out.
    #[prost(string, tag = "9")]
    version: String,
}

/// A parsed entry: a server, or why the entry is invalid.
pub(crate) type ParsedEntry = Result<ServerRecord, String>;

fn is_digest(value: &[u8]) -> bool {
    value.starts_with(PREFIX)
}

/// Replaces the value of a row by its digest. Deletions and digests are returned unchanged.
pub(crate) fn digest(row: Row, read: impl FnOnce(&Row) -> ParsedEntry) -> Row {
    let Some(value) = &row.value else {
        return row;
    };
    if is_digest(value) {
        return row;
    }
    let digest = match read(&row) {
        Ok(server) => ServerDigest {
            born_ms: server.start_time_ms(),
            service: server.service,
            address: server.address.to_string(),
            zone: server.zone,
            slots: server.slots,
            draining: server.draining,
            cold_left_ms: server.cold_left_ms,
            refused: String::new(),
            version: SoftwareVersion::text_of(server.version.as_ref()),
        },
        Err(refused) => ServerDigest {
            refused,
            ..ServerDigest::default()
        },
    };
    let mut value = PREFIX.to_vec();
    value.extend(digest.encode_to_vec());
    Row {
        value: Some(Bytes::from(value)),
        ..row
    }
}

/// Parses a digest; `None` for a value that is not one.
pub(crate) fn parse_digest(name: &str, value: &[u8]) -> Option<ParsedEntry> {
    let body = value.strip_prefix(PREFIX)?;
    Some(server(name, body))
}

fn server(name: &str, body: &[u8]) -> ParsedEntry {
    let digest = ServerDigest::decode(body).map_err(|error| format!("invalid digest: {error}"))?;
    if !digest.refused.is_empty() {
        return Err(digest.refused);
    }
    let address: SocketAddr = digest
        .address
        .parse()
        .map_err(|error| format!("invalid address in digest: {error}"))?;
    Ok(ServerRecord {
        id: ServerRecord::start_id(name, digest.born_ms),
        instance: name.to_owned(),
        service: digest.service,
        address,
        zone: digest.zone,
        version: SoftwareVersion::from_text(&digest.version),
        slots: digest.slots,
        draining: digest.draining,
        cold_left_ms: digest.cold_left_ms,
    })
}
