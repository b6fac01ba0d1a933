//! Software versions of servers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Display, Error};

/// Version of the software that a server runs. The version of its weights is another matter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SoftwareVersion(Arc<str>);

/// A text is not a valid software version.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("a software version is not empty")]
pub struct ParseSoftwareVersionError;

impl SoftwareVersion {
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = ParseSoftwareVersionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.is_empty() {
            true => Err(ParseSoftwareVersionError),
            false => Ok(Self(text.into())),
        }
    }
}
