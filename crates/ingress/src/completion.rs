//! Whether a request can end in the time that it has left.

use std::time::Duration;

use crate::attempt::Ran;
use crate::capacity::MIN_RETRY_DELAY;
use crate::dispatch::Request;
use crate::error_kind::ErrorKind;
use crate::node::Node;
use crate::response_times::DurationRange;
use crate::resumption::is_resumption;

/// Whether a request may end before its deadline. That is the same at any node, so only one that almost certainly misses
/// it is refused. `range`: durations of requests like it, if enough have ended lately.
pub fn may_meet_deadline(time_left: Duration, range: Option<DurationRange>) -> bool {
    range.is_none_or(|range| range.low <= time_left)
}

/// Whether a request surely ends before the process does. Only its deadline bounds it: no history of other requests tells
/// how long this one takes. Another node can serve it, so in doubt it is refused.
pub fn ends_before_process(time_left: Duration, deadline: Duration) -> bool {
    deadline <= time_left
}

/// Why a request that has not run cannot end in time.
pub(crate) enum OutOfTime {
    /// It cannot end before its deadline.
    DeadlineTooNear {
        /// Retry delay; `None` if the client's own deadline is too near as well.
        retry_after: Option<Duration>,
    },
    /// The process may end before it.
    Stopping,
}

impl OutOfTime {
    pub(crate) fn kind(&self) -> ErrorKind {
        match self {
            OutOfTime::DeadlineTooNear { .. } => ErrorKind::DeadlineTooNear,
            OutOfTime::Stopping => ErrorKind::Stopping,
        }
    }
}

/// Fails for a request that has not run and cannot end before its deadline or the end of the process.
pub(crate) fn check_time_left(node: &Node, request: &Request) -> Result<(), OutOfTime> {
    if request.ran != Ran::No {
        return Ok(());
    }
    if let Some(time_left) = node.process_end.time_left()
        && !ends_before_process(time_left, request.deadline.until_own())
    {
        return Err(OutOfTime::Stopping);
    }
    // A resumption needs less time than others.
    if is_resumption(&request.route, &request.facts) {
        return Ok(());
    }
    let (service, tokens_out) = (&request.service, request.facts.tokens_out);
    let range = node.response_times.duration_range(service, tokens_out);
    if may_meet_deadline(request.remaining(), range) {
        return Ok(());
    }
    let left_then = request.client_time_left().saturating_sub(MIN_RETRY_DELAY);
    let retry_after = may_meet_deadline(left_then, range).then_some(MIN_RETRY_DELAY);
    Err(OutOfTime::DeadlineTooNear { retry_after })
}

/// Records what a request that came during a stop is judged by.
pub(crate) fn log_late_request(node: &Node, request: &Request) {
    let Some(time_left) = node.process_end.time_left() else {
        return;
    };
    let deadline = request.deadline.until_own();
    node.log.write("late_request_checked", || {
        let ms = |time: Duration| time.as_millis() as u64;
        serde_json::json!({"request": request.facts.id, "admitted": ends_before_process(time_left, deadline),
            "process_end_ms": ms(time_left), "deadline_ms": ms(deadline)})
    });
}
