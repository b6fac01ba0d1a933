//! Error kinds and their HTTP statuses.

use derive_more::Display;

/// Reasons for an error response of the node itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ErrorKind {
    /// No configuration received yet.
    #[display("not_ready")]
    NotReady,
    /// The node stops and takes no more requests; the request did not run.
    #[display("stopping")]
    Stopping,
    /// No route matches the host and path.
    #[display("no_route")]
    NoRoute,
    /// No route matches, but the configuration may be outdated.
    #[display("configuration_old")]
    ConfigurationOld,
    /// The key is missing or belongs to no tenant.
    #[display("unknown_key")]
    UnknownKey,
    /// The key is unknown, but the configuration may be outdated.
    #[display("key_in_doubt")]
    KeyInDoubt,
    /// The tenant has used up its quota over all nodes.
    #[display("over_quota")]
    OverQuota,
    /// This node reaches too few others to check the quota.
    #[display("quota_in_doubt")]
    QuotaInDoubt,
    /// The tenant has used up its share of an overloaded service; the request did not run.
    #[display("over_share")]
    OverShare,
    /// The request ID is missing.
    #[display("no_request_id")]
    NoRequestId,
    #[display("malformed")]
    Malformed,
    /// The request asks for a WebSocket.
    #[display("upgrade_unsupported")]
    UpgradeUnsupported,
    /// The body did not arrive before the deadline; the request did not run.
    #[display("body_timeout")]
    BodyTimeout,
    /// The body exceeds the configured limit.
    #[display("body_too_long")]
    BodyTooLong,
    /// The node has no memory for the request; it did not run.
    #[display("memory_short")]
    MemoryShort,
    /// No server accepted the request; it did not run.
    #[display("no_server")]
    NoServer,
    /// No slot will be free in time for the request's target; it did not run.
    #[display("no_room_in_time")]
    NoRoomInTime,
    /// Requests like it take longer than the time to its deadline; it did not run.
    #[display("deadline_too_near")]
    DeadlineTooNear,
    /// All eligible servers are in evacuated zones; the request did not run.
    #[display("zones_evacuated")]
    ZonesEvacuated,
    /// No server in the request's home regions accepted it; it did not run.
    #[display("homes_cannot_serve")]
    HomesCannotServe,
    /// The deadline passed before any server ran the request.
    #[display("expired_before_run")]
    ExpiredBeforeRun,
    /// The deadline passed; the request may have run.
    #[display("expired")]
    Expired,
    /// A server failed; the request may have run.
    #[display("server_failed")]
    ServerFailed,
    /// Where the resumed stream began is not known; nothing ran.
    #[display("stream_origin_unknown")]
    StreamOriginUnknown,
    /// No server runs the software that began the resumed stream; nothing ran.
    #[display("stream_origin_gone")]
    StreamOriginGone,
    /// The maximum number of servers crashed while they ran the request; it is not run again.
    #[display("servers_ended")]
    ServersEnded,
    /// Servers crashed while they ran such requests, and those that run now did not end in time; the request did not run.
    #[display("suspects_pending")]
    SuspectsPending,
    /// Servers crashed while they ran other requests with the same prompt part; the request did not run.
    #[display("prompt_part_refused")]
    PromptPartRefused,
    /// The store did not respond; the job was not accepted.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// The store's response was lost; the job may have been accepted.
    #[display("store_in_doubt")]
    StoreInDoubt,
    /// The job exceeds the limit of queued tokens.
    #[display("quota_exceeded")]
    QuotaExceeded,
    #[display("no_job")]
    NoJob,
}

/// Whether a status states that the request did not and will not run.
pub(crate) fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

impl ErrorKind {
    /// HTTP status. 429 and 503 state that the request did not and will not run.
    pub fn status(self) -> u16 {
        match self {
            ErrorKind::NoRequestId | ErrorKind::Malformed | ErrorKind::UpgradeUnsupported => 400,
            ErrorKind::UnknownKey => 401,
            ErrorKind::NoRoute | ErrorKind::NoJob => 404,
            ErrorKind::BodyTimeout => 408,
            ErrorKind::BodyTooLong => 413,
            ErrorKind::QuotaExceeded | ErrorKind::OverQuota => 429,
            ErrorKind::StoreInDoubt => 500,
            // Not 4xx: another request may have caused the crashes. Not 503: earlier attempts have
            // run.
            ErrorKind::ServerFailed | ErrorKind::ServersEnded => 502,
            ErrorKind::NotReady
            | ErrorKind::Stopping
            | ErrorKind::ConfigurationOld
            | ErrorKind::KeyInDoubt
            | ErrorKind::QuotaInDoubt
            // Not 429: the tenant is within its quota.
            | ErrorKind::OverShare
            | ErrorKind::MemoryShort
            | ErrorKind::NoServer
            | ErrorKind::NoRoomInTime
            | ErrorKind::DeadlineTooNear
            | ErrorKind::ZonesEvacuated
            | ErrorKind::HomesCannotServe
            | ErrorKind::ExpiredBeforeRun
            | ErrorKind::StreamOriginUnknown
            | ErrorKind::StreamOriginGone
            // Not 4xx: another part of the prompts may have caused the crashes.
            | ErrorKind::PromptPartRefused
            | ErrorKind::SuspectsPending
            | ErrorKind::StoreUnavailable => 503,
            ErrorKind::Expired => 504,
        }
    }

    /// Retry delay in milliseconds, if the request did not run.
    pub fn retry_after_ms(self) -> Option<u64> {
        match self {
            // Other nodes can serve it now.
            ErrorKind::Stopping => Some(0),
            ErrorKind::NotReady | ErrorKind::ConfigurationOld | ErrorKind::KeyInDoubt => Some(200),
            ErrorKind::NoServer | ErrorKind::QuotaInDoubt => Some(50),
            ErrorKind::ExpiredBeforeRun => Some(100),
            // Other nodes have memory of their own.
            ErrorKind::MemoryShort => Some(100),
            // An isolated or evacuated region recovers in seconds, not milliseconds.
            ErrorKind::HomesCannotServe | ErrorKind::NoRoomInTime => Some(500),
            ErrorKind::OverShare | ErrorKind::StoreUnavailable | ErrorKind::SuspectsPending => {
                Some(500)
            }
            ErrorKind::QuotaExceeded | ErrorKind::OverQuota => Some(1000),
            // The end of an evacuation is unknown, but it lasts for seconds at least.
            ErrorKind::ZonesEvacuated => Some(1000),
            _ => None,
        }
    }
}
