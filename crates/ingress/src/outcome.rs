//! Why a request was not served, and the answer to each kind.

use derive_more::Display;

/// The closed list of reasons for which a caller gets an answer of the node's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ErrorKind {
    /// The node knows no configuration yet.
    #[display("not_ready")]
    NotReady,
    /// No route takes the host and path.
    #[display("no_route")]
    NoRoute,
    /// No route takes the host and path in a configuration so old that a newer one may be in force.
    #[display("configuration_old")]
    ConfigurationOld,
    /// No tenant holds the key of the request, or it came without one.
    #[display("unknown_key")]
    UnknownKey,
    /// The configuration is too old to tell whether a tenant holds the key.
    #[display("key_in_doubt")]
    KeyInDoubt,
    /// The tenant has used up what it may ask of all nodes together.
    #[display("over_quota")]
    OverQuota,
    /// This node hears too few others to tell whether the tenant has used up its quota.
    #[display("quota_in_doubt")]
    QuotaInDoubt,
    /// The tenant has its share of a service that has too little room for all; the request did not run.
    #[display("over_share")]
    OverShare,
    /// The request names no identifier.
    #[display("no_request_id")]
    NoRequestId,
    /// The request cannot be read.
    #[display("malformed")]
    Malformed,
    /// The body is longer than the operators allow.
    #[display("body_too_long")]
    BodyTooLong,
    /// No server took the request; it did not run.
    #[display("no_server")]
    NoServer,
    /// Slots free themselves too late for the request, while others can be in time; it did not run.
    #[display("no_room_in_time")]
    NoRoomInTime,
    /// All servers that could run it are in zones that the operators have evacuated; it did not run.
    #[display("zones_evacuated")]
    ZonesEvacuated,
    /// No server in the regions that the request is bound to takes it; it did not run.
    #[display("homes_cannot_serve")]
    HomesCannotServe,
    /// The time was over before any server ran the request.
    #[display("expired_before_run")]
    ExpiredBeforeRun,
    /// The time was over; the request may have run.
    #[display("expired")]
    Expired,
    /// A server broke off; the request may have run.
    #[display("server_failed")]
    ServerFailed,
    /// As many servers as may have ended while they ran the request, in this try or earlier ones; it runs no more.
    #[display("servers_ended")]
    ServersEnded,
    /// The store did not answer; nothing of the job was accepted.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// The store's answer was lost; the job may have been accepted.
    #[display("store_in_doubt")]
    StoreInDoubt,
    /// The job does not fit into the tokens that may wait.
    #[display("quota_exceeded")]
    QuotaExceeded,
    /// There is no such job or item.
    #[display("no_job")]
    NoJob,
}

/// Whether a status promises that the request did not and will not run.
pub(crate) fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

impl ErrorKind {
    /// Status of the answer. 429 and 503 promise that the request did not and will not run.
    pub fn status(self) -> u16 {
        match self {
            ErrorKind::NoRequestId | ErrorKind::Malformed => 400,
            ErrorKind::UnknownKey => 401,
            ErrorKind::NoRoute | ErrorKind::NoJob => 404,
            ErrorKind::BodyTooLong => 413,
            ErrorKind::QuotaExceeded | ErrorKind::OverQuota => 429,
            ErrorKind::StoreInDoubt => 500,
            // Not 4xx: it may stand beside the guilty one. Not 503: earlier tries of it have run.
            ErrorKind::ServerFailed | ErrorKind::ServersEnded => 502,
            ErrorKind::NotReady
            | ErrorKind::ConfigurationOld
            | ErrorKind::KeyInDoubt
            | ErrorKind::QuotaInDoubt
            // Not 429: the tenant asks for no more than it is granted.
            | ErrorKind::OverShare
            | ErrorKind::NoServer
            | ErrorKind::NoRoomInTime
            | ErrorKind::ZonesEvacuated
            | ErrorKind::HomesCannotServe
            | ErrorKind::ExpiredBeforeRun
            | ErrorKind::StoreUnavailable => 503,
            ErrorKind::Expired => 504,
        }
    }

    /// When the caller may come back, in milliseconds, where it has not run.
    pub fn retry_after_ms(self) -> Option<u64> {
        match self {
            ErrorKind::NotReady | ErrorKind::ConfigurationOld | ErrorKind::KeyInDoubt => Some(200),
            ErrorKind::NoServer | ErrorKind::QuotaInDoubt => Some(50),
            ErrorKind::ExpiredBeforeRun => Some(100),
            // A region that is cut off or emptied comes back in seconds, not in milliseconds.
            ErrorKind::HomesCannotServe | ErrorKind::NoRoomInTime => Some(500),
            ErrorKind::OverShare | ErrorKind::StoreUnavailable => Some(500),
            ErrorKind::QuotaExceeded | ErrorKind::OverQuota => Some(1000),
            // Nobody knows when the zones are taken back; an evacuation lasts seconds at least, and a caller that
            // comes back sooner is only refused again.
            ErrorKind::ZonesEvacuated => Some(1000),
            _ => None,
        }
    }
}
