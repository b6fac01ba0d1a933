//! What makes two tries the same request.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use sha2::{Digest, Sha256};

/// Bytes of a fingerprint. Half of a SHA-256: nobody finds a second request for one, and that is all an attacker would
/// gain by, since the caller's name is part of it.
const BYTES: usize = 16;
/// Digits that are enough to tell fingerprints apart in a record.
const SHORT_DIGITS: usize = 16;

/// What a fingerprint is made of. The identifier of the try and the other headers are left out: a caller that comes
/// again sends a new identifier, and could send new headers.
#[derive(Debug, Clone, Copy)]
pub struct RequestParts<'a> {
    /// Name of the tenant; empty when there is none.
    pub caller: &'a str,
    /// Method.
    pub method: &'a str,
    /// Host that the request is for, in any case.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Digest of a request's caller, method, host, path, query and body.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; BYTES]);

/// A text is no fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("a fingerprint has {} hexadecimal digits", 2 * BYTES)]
pub struct NoFingerprint;

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(parts: &RequestParts<'_>) -> Self {
        let host = parts.host.to_ascii_lowercase();
        let mut digest = Sha256::new();
        let texts = [parts.caller, parts.method, &host, parts.target];
        for part in texts.map(str::as_bytes).into_iter().chain([parts.body]) {
            // The length stands before each part, so that no two divisions of the same bytes are alike.
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&digest.finalize()[..BYTES]);
        Self(bytes)
    }

    /// The first digits, for records.
    pub fn short(&self) -> String {
        self.to_string()[..SHORT_DIGITS].to_owned()
    }

    /// A number that spreads requests over servers.
    pub fn number(&self) -> u64 {
        self.0
            .iter()
            .take(8)
            .fold(0, |number, byte| number << 8 | u64::from(*byte))
    }

    /// The bytes, for messages and rows.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// The fingerprint with these bytes; `None` when their number is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut bytes = self.0.iter();
        bytes.try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Fingerprint({self})")
    }
}

impl FromStr for Fingerprint {
    type Err = NoFingerprint;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 2 * BYTES || !text.is_ascii() {
            return Err(NoFingerprint);
        }
        let mut bytes = [0; BYTES];
        for (at, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * at..2 * at + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| NoFingerprint)?;
        }
        Ok(Self(bytes))
    }
}
