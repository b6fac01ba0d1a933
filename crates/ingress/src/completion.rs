//! Whether a request can end in the time that it has left.

use std::time::Duration;

use crate::attempt::Ran;
use crate::capacity::MIN_RETRY_DELAY;
use crate::dispatch::Request;
use crate::node::Node;
use crate::response_times::DurationRange;
use crate::resumption::is_resumption;

/// Time that a request is expected to need at least when the process stops.
const MIN_REQUEST_TIME: Duration = Duration::from_millis(2_000);
/// While too few requests have ended, one is expected to take up to this many times the mean of its service.
const MEAN_HOLD_TIMES: u32 = 2;

/// How long requests like one take.
#[derive(Debug, Clone, Copy)]
pub struct ExpectedDuration {
    /// Mean over all requests of the service.
    pub mean: Duration,
    /// Of those with as many tokens to generate, if enough have ended.
    pub range: Option<DurationRange>,
}

impl ExpectedDuration {
    pub(crate) fn of(node: &Node, service: &str, tokens_out: u32) -> Self {
        Self {
            mean: node.capacities.hold_time(service),
            range: node.response_times.duration_range(service, tokens_out),
        }
    }

    /// Time that nearly all such requests end in.
    fn longest(&self) -> Duration {
        let longest = self
            .range
            .map_or(self.mean * MEAN_HOLD_TIMES, |range| range.high);
        longest.max(MIN_REQUEST_TIME)
    }
}

/// What ends the time that a request has.
#[derive(Debug, Clone, Copy)]
pub enum TimeLimit {
    /// The deadline. It is the same at any node, so only a request that almost certainly misses it is refused.
    Deadline,
    /// The end of the process. Another node can serve the request, so it is accepted only if it almost certainly ends.
    ProcessEnd {
        /// Time until the request's own deadline, after which nothing of it is left to cut.
        deadline: Duration,
    },
}

/// Whether a request is expected to end in the time left.
pub fn can_finish(time_left: Duration, limit: TimeLimit, expected: &ExpectedDuration) -> bool {
    let needed = match limit {
        TimeLimit::Deadline => expected.range.map_or(Duration::ZERO, |range| range.low),
        TimeLimit::ProcessEnd { deadline } => deadline.min(expected.longest()),
    };
    needed <= time_left
}

/// A request that cannot end before its deadline.
pub(crate) struct DeadlineTooNear {
    /// Retry delay; `None` if the client's own deadline is too near as well.
    pub(crate) retry_after: Option<Duration>,
}

/// Fails for a request that has not run and cannot end before its deadline. A resumption needs less time than others.
pub(crate) fn check_deadline(node: &Node, request: &Request) -> Result<(), DeadlineTooNear> {
    if request.ran != Ran::No || is_resumption(&request.route, &request.facts) {
        return Ok(());
    }
    let expected = ExpectedDuration::of(node, &request.service, request.facts.tokens_out);
    let can_finish = |left| can_finish(left, TimeLimit::Deadline, &expected);
    if can_finish(request.remaining()) {
        return Ok(());
    }
    let left_then = request.client_time_left().saturating_sub(MIN_RETRY_DELAY);
    let retry_after = can_finish(left_then).then_some(MIN_RETRY_DELAY);
    Err(DeadlineTooNear { retry_after })
}
