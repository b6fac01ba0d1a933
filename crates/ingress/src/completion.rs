//! Whether a request can end in the time that it has left.

use std::time::Duration;

use crate::attempt::Ran;
use crate::capacity::MIN_RETRY_DELAY;
use crate::dispatch::{Request, is_event_route};
use crate::error_kind::ErrorKind;
use crate::node::Node;
use crate::response_times::DurationRange;
use crate::resumption::is_resumption;

/// How many times as long as others a request may take, since its server may be slower or become so.
const SLOWDOWN_ALLOWANCE: u32 = 2;
/// Time for which a sound server may be silent and go on.
const SILENCE_ALLOWANCE: Duration = Duration::from_millis(1_500);

/// Whether a request may end before its deadline. That is the same at any node, so only one that almost certainly misses
/// it is refused. `range`: durations of requests like it, if enough have ended lately.
pub fn may_meet_deadline(time_left: Duration, range: Option<DurationRange>) -> bool {
    range.is_none_or(|range| range.low <= time_left)
}

/// Whether a request surely ends before the process does. Another node can serve it, so in doubt it is refused.
/// `deadline`: time until its own deadline, after which nothing of it is left to cut. `longest`: the time that such
/// requests take, if it is known.
pub fn ends_before_process(
    time_left: Duration,
    deadline: Duration,
    longest: Option<Duration>,
) -> bool {
    deadline.min(duration_bound(longest).unwrap_or(deadline)) <= time_left
}

fn duration_bound(longest: Option<Duration>) -> Option<Duration> {
    let longest = longest?;
    Some((longest * SLOWDOWN_ALLOWANCE).max(longest + SILENCE_ALLOWANCE))
}

/// Longest duration of a request: by the tokens that it asks for, or else that of the last ones of the route.
fn longest(node: &Node, request: &Request) -> Option<Duration> {
    let times = &node.response_times;
    let (facts, route) = (&request.facts, &request.route);
    if facts.tokens_out == 0 {
        return times.longest_unsized(&route.name);
    }
    let after = match is_resumption(route, facts) {
        true => facts.last_event_id.unwrap_or(0),
        false => 0,
    };
    let service = request.service.as_str();
    let generation = times.longest_generation((service, route.kind), facts.tokens_out, after)?;
    let first_event = match is_event_route(route) {
        true => times.longest_first_event(service, request.shape.tokens)?,
        // The generation includes it.
        false => Duration::ZERO,
    };
    Some(first_event + generation)
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
    if let Some(time_left) = node.process_end.time_left() {
        let deadline = request.deadline.until_own();
        if !ends_before_process(time_left, deadline, longest(node, request)) {
            return Err(OutOfTime::Stopping);
        }
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
    let (deadline, longest) = (request.deadline.until_own(), longest(node, request));
    node.log.write("late_request_checked", || {
        let ms = |time: Duration| time.as_millis() as u64;
        serde_json::json!({"request": request.facts.id, "tokens_out": request.facts.tokens_out,
            "admitted": ends_before_process(time_left, deadline, longest),
            "process_end_ms": ms(time_left), "deadline_ms": ms(deadline),
            "longest_ms": longest.map(ms), "bound_ms": duration_bound(longest).map(ms)})
    });
}
