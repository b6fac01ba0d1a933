//! Request fingerprints, which identify retries of the same request.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use sha2::{Digest, Sha256};

/// Length of a fingerprint in bytes. Half a SHA-256 digest is enough against second preimages; the caller's name is
/// part of the input, so an attacker cannot target requests of others with a collision.
const BYTES: usize = 16;
/// Hexadecimal digits of the short form for logs.
const SHORT_DIGITS: usize = 16;

/// Input of a fingerprint. The request identifier and the other headers are left out, since a retry has a new
/// identifier and a caller could change the headers.
#[derive(Debug, Clone, Copy)]
pub struct RequestParts<'a> {
    /// Name of the tenant; empty if there is none.
    pub caller: &'a str,
    pub method: &'a str,
    /// Host of the request; case is ignored.
    pub host: &'a str,
    pub target: &'a str,
    pub body: &'a [u8],
}

/// Digest of a request's caller, method, host, path, query and body.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; BYTES]);

/// A string is not a valid fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("a fingerprint has {} hexadecimal digits", 2 * BYTES)]
pub struct ParseFingerprintError;

impl Fingerprint {
    pub fn of(parts: &RequestParts<'_>) -> Self {
        let host = parts.host.to_ascii_lowercase();
        let mut digest = Sha256::new();
        let texts = [parts.caller, parts.method, &host, parts.target];
        for part in texts.map(str::as_bytes).into_iter().chain([parts.body]) {
            // Length prefixes make the encoding unambiguous.
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&digest.finalize()[..BYTES]);
        Self(bytes)
    }

    /// The first digits, for logs.
    pub fn short(&self) -> String {
        self.to_string()[..SHORT_DIGITS].to_owned()
    }

    /// The first 8 bytes as a number, to distribute requests over servers.
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

    /// Creates a fingerprint from its bytes; `None` if their number is wrong.
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
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 2 * BYTES || !text.is_ascii() {
            return Err(ParseFingerprintError);
        }
        let mut bytes = [0; BYTES];
        for (at, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * at..2 * at + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseFingerprintError)?;
        }
        Ok(Self(bytes))
    }
}
