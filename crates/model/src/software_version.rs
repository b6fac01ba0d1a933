//! Software versions of servers, and what they mean for runs that continue at another server.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Display, Error};

use crate::request::ServerRecord;

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

    /// Parses the text of a version in a message or row; an empty text is an unknown version.
    pub fn from_text(text: &str) -> Option<Self> {
        text.parse().ok()
    }

    /// The text that [`SoftwareVersion::from_text`] parses.
    pub fn text_of(version: Option<&Self>) -> String {
        version.map_or_else(String::new, Self::to_string)
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

/// Where a run began. The output of two software versions does not fit together, nor does that of two services, so
/// whoever holds a part of a run's output may only continue it at a server with the same origin.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RunOrigin {
    pub service: String,
    /// `None` if it is unknown; such a run is continued nowhere.
    pub version: Option<SoftwareVersion>,
}

impl RunOrigin {
    /// Origin of a run that begins at a server.
    pub fn of(server: &ServerRecord) -> Self {
        Self {
            service: server.service.clone(),
            version: server.version.clone(),
        }
    }

    /// Whether a run of this origin may continue at a server.
    pub fn continues_at(&self, server: &ServerRecord) -> bool {
        self.version.is_some() && *self == Self::of(server)
    }
}

impl fmt::Display for RunOrigin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let version = self
            .version
            .as_ref()
            .map_or("unknown", SoftwareVersion::as_str);
        write!(formatter, "{} {version}", self.service)
    }
}

/// Whether a run may go to a server; a run without output has no origin and may go to any.
pub fn may_run_at(origin: Option<&RunOrigin>, server: &ServerRecord) -> bool {
    origin.is_none_or(|origin| origin.continues_at(server))
}
