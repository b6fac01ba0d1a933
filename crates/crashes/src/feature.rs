//! Features of a request by which crashes are counted: the request itself, and what it shares with other requests.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Display, Error};

use crate::fingerprint::{Fingerprint, ParseFingerprintError};

/// Precedes the identifier in the text of a prompt part.
const PART_PREFIX: &str = "part-";
/// Limit on the shared parts of one request that are counted, so that a caller cannot fill the ledger with one request.
const MAX_SHARED_PARTS: usize = 32;

/// Identifier of a part of a prompt that requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PromptPartId(pub u64);

/// Something that requests under which servers crash may have in common.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Feature {
    /// Retries of one request.
    Request(Fingerprint),
    /// Requests with this part in their prompts.
    PromptPart(PromptPartId),
}

/// A string names no feature.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ParseFeatureError {
    #[display("a prompt part is \"part-\" with up to 16 hexadecimal digits")]
    PromptPart,
    #[display("{_0}")]
    Request(ParseFingerprintError),
}

impl Feature {
    /// Whether different requests have the feature, so that a sound one may be hit because of another.
    pub(crate) fn is_shared(&self) -> bool {
        match self {
            Feature::Request(_) => false,
            Feature::PromptPart(_) => true,
        }
    }

    /// Retries granted after a refusal if the feature may be innocent.
    pub(crate) fn max_trials(&self) -> usize {
        match self {
            Feature::Request(_) => 3,
            // One less, since a node that is cut off may begin one more, and the operators' rules allow three runs.
            Feature::PromptPart(_) => 2,
        }
    }

    /// Whether both are of the same kind.
    pub(crate) fn is_same_kind(&self, other: &Feature) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }

    /// Short form for logs.
    pub fn short(&self) -> String {
        match self {
            Feature::Request(fingerprint) => fingerprint.short(),
            Feature::PromptPart(_) => self.to_string(),
        }
    }
}

impl fmt::Display for PromptPartId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

impl FromStr for PromptPartId {
    type Err = ParseFeatureError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = u64::from_str_radix(text, 16);
        number.map(Self).map_err(|_| ParseFeatureError::PromptPart)
    }
}

impl fmt::Display for Feature {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Feature::Request(fingerprint) => fingerprint.fmt(formatter),
            Feature::PromptPart(part) => write!(formatter, "{PART_PREFIX}{part}"),
        }
    }
}

impl fmt::Debug for Feature {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Feature({self})")
    }
}

impl FromStr for Feature {
    type Err = ParseFeatureError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.strip_prefix(PART_PREFIX) {
            Some(part) => part.parse().map(Feature::PromptPart),
            None => text
                .parse()
                .map(Feature::Request)
                .map_err(ParseFeatureError::Request),
        }
    }
}

/// The features of one request, without repeats.
#[derive(Debug, Clone)]
pub struct RequestFeatures {
    request: Fingerprint,
    all: Arc<[Feature]>,
    is_deferred: bool,
}

impl RequestFeatures {
    /// Collects the features of a request. `shared_parts` leaves out the last part of the prompt, which belongs to the
    /// request alone; parts beyond a limit are ignored.
    pub fn new(request: Fingerprint, shared_parts: impl IntoIterator<Item = PromptPartId>) -> Self {
        let mut all = vec![Feature::Request(request)];
        for part in shared_parts.into_iter().take(MAX_SHARED_PARTS) {
            let feature = Feature::PromptPart(part);
            if !all.contains(&feature) {
                all.push(feature);
            }
        }
        Self {
            request,
            all: all.into(),
            is_deferred: false,
        }
    }

    /// Marks the request as accepted for later: it is retried until it is done, however many servers end under it.
    pub fn deferred(self) -> Self {
        Self {
            is_deferred: true,
            ..self
        }
    }

    pub fn is_deferred(&self) -> bool {
        self.is_deferred
    }

    pub fn request(&self) -> Fingerprint {
        self.request
    }

    pub fn iter(&self) -> impl Iterator<Item = &Feature> {
        self.all.iter()
    }

    /// Shared parts of the prompt, for logs.
    pub fn part_ids(&self) -> Vec<String> {
        let part_id = |feature: &Feature| match feature {
            Feature::Request(_) => None,
            Feature::PromptPart(part) => Some(part.to_string()),
        };
        self.iter().filter_map(part_id).collect()
    }
}

/// A request whose prompt shares nothing.
impl From<Fingerprint> for RequestFeatures {
    fn from(request: Fingerprint) -> Self {
        Self::new(request, [])
    }
}
