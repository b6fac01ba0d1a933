//! Protobuf messages about streams between nodes, and the row with the versions of a service.

use dappleyard_model::{RunOrigin, SoftwareVersion};
use prost::{Message, Oneof};

/// A [`RunOrigin`].
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct OriginMessage {
    #[prost(string, tag = "1")]
    pub service: String,
    /// Empty if it is unknown.
    #[prost(string, tag = "2")]
    pub version: String,
}

impl From<&RunOrigin> for OriginMessage {
    fn from(origin: &RunOrigin) -> Self {
        Self {
            service: origin.service.clone(),
            version: SoftwareVersion::text_of(origin.version.as_ref()),
        }
    }
}

impl From<OriginMessage> for RunOrigin {
    fn from(message: OriginMessage) -> Self {
        Self {
            service: message.service,
            version: SoftwareVersion::from_text(&message.version),
        }
    }
}

/// Streams that began at the sender, as parallel lists.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StreamNews {
    #[prost(message, repeated, tag = "1")]
    pub origins: Vec<OriginMessage>,
    #[prost(fixed64, repeated, tag = "2")]
    pub streams: Vec<u64>,
    /// Index of each stream's origin in `origins`.
    #[prost(uint32, repeated, tag = "3")]
    pub origin_numbers: Vec<u32>,
    /// Time for which each stream may still be resumed.
    #[prost(uint32, repeated, tag = "4")]
    pub lifetimes_ms: Vec<u32>,
}

/// Question where a stream began.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StreamQuestion {
    /// Chosen by the sender; the answer repeats it.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Absent if the caller named no attempt: only the versions of the service are asked for.
    #[prost(fixed64, optional, tag = "2")]
    pub stream: Option<u64>,
    #[prost(string, tag = "3")]
    pub service: String,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct StreamQuestions {
    #[prost(message, repeated, tag = "1")]
    pub questions: Vec<StreamQuestion>,
}

/// Content of an answer. Absent if the node does not know.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub(crate) enum AnswerKind {
    /// A record of the stream.
    #[prost(message, tag = "2")]
    Began(OriginMessage),
    /// The service has had this version only.
    #[prost(message, tag = "3")]
    Single(OriginMessage),
    /// The service has had several versions, and the node has no record of the stream.
    #[prost(bool, tag = "4")]
    Several(bool),
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct StreamAnswer {
    /// Number of the question.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    #[prost(oneof = "AnswerKind", tags = "2, 3, 4")]
    pub(crate) kind: Option<AnswerKind>,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct StreamAnswers {
    #[prost(message, repeated, tag = "1")]
    pub answers: Vec<StreamAnswer>,
}

/// Row value: versions at which streams of a service may have begun.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceVersions {
    /// An empty version is unknown.
    #[prost(string, repeated, tag = "1")]
    pub versions: Vec<String>,
}
