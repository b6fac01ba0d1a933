//! How fast a service generates streams, by which the longest duration of a stream is estimated from the tokens that its
//! request asks for.

use std::time::Duration;

use dappleyard_clock::Instant;

use crate::response_times::LatencyHistogram;

/// Statistics of the streams of one service that one node has seen end.
#[derive(Debug, Default)]
pub struct GenerationPace {
    /// Mean interval between the events of a stream.
    intervals: LatencyHistogram,
    /// Highest number of events for each token asked for. It belongs to the software of the service, so it does not
    /// expire. Most outputs end early; those that use all their tokens show it.
    events_per_token: f64,
}

impl GenerationPace {
    /// Records a whole stream: the tokens that its request asked for, and the time from its first event to its last.
    pub fn record(&mut self, tokens_out: u32, events: u64, generation: Duration, now: Instant) {
        let Some(intervals) = u32::try_from(events).ok().filter(|events| *events > 1) else {
            return;
        };
        self.intervals.record(generation / (intervals - 1), now);
        if tokens_out > 0 {
            let events_per_token = events as f64 / f64::from(tokens_out);
            self.events_per_token = self.events_per_token.max(events_per_token);
        }
    }

    /// Time in which nearly all streams that ask for as many tokens are generated after the event `after`; `None` if too
    /// few streams have ended lately.
    pub fn longest(&mut self, tokens_out: u32, after: u64, now: Instant) -> Option<Duration> {
        let interval = self.intervals.range(now)?.high;
        let events = (f64::from(tokens_out) * self.events_per_token).ceil();
        let events_left = (events - after as f64).max(0.0);
        (self.events_per_token > 0.0).then(|| interval.mul_f64(events_left))
    }
}
