//! Retries of refused features: when the next one may begin, and which node begins it. Pure; time is an argument.

use std::time::Duration;

use dappleyard_clock::Instant;

use crate::feature::Feature;
use crate::record::{MAX_ENDED_SERVERS, MAX_ENDS_HELD, Record};
use crate::server_failures::ServerFailures;

/// Time from the last end to the retry of a refused feature, by which other causes of ends should be over.
const TRIAL_DELAY: Duration = Duration::from_secs(3);
/// Time after an end from which the next one counts as that of a retry; less than the delay of retries, since nodes observe
/// ends at different times.
const MIN_TRIAL_GAP: Duration = Duration::from_secs(2);
/// Longest time from the last end to the retry of a deferred request, and the time to that of a shared feature whose other
/// retries are used up. Short enough for jobs whose deadlines are tens of seconds away.
const MAX_DEFERRED_DELAY: Duration = Duration::from_secs(12);
/// Retries of a refused shared feature for deferred requests: the operators' rule allows three requests with it after its fifth
/// end, which is that of the second retry.
const MAX_SHARED_DEFERRED_TRIALS: usize = 5;
/// Ends of servers within this time of that of a retry show that there is another cause of ends, if the retry was not at
/// one of them.
const OTHER_ENDS_WINDOW: Duration = Duration::from_secs(1);
/// Time from the reservation of a retry to its begin, in which the other nodes learn of it.
const RESERVATION_DELAY: Duration = Duration::from_millis(300);
/// Time after which a reservation that was not used is void. An item that waits for it is looked at again sooner.
const RESERVATION_TTL: Duration = Duration::from_secs(5);

impl Record {
    /// Time until a refused feature that may be innocent may be retried once, on one server, by a request with
    /// `refused_features` of them; `None` if its retries are used up. Requests with fewer refused features go first, since
    /// they tell more about each.
    pub(crate) fn time_until_retry(
        &self,
        feature: &Feature,
        refused_features: u32,
        server_failures: &ServerFailures,
        now: Instant,
    ) -> Option<Duration> {
        let has_trials = self.used_trials(feature, server_failures) < feature.max_trials()
            && self.ended.len() < MAX_ENDS_HELD;
        let delay = TRIAL_DELAY * refused_features;
        let since = now.saturating_duration_since(self.changed);
        has_trials.then(|| delay.saturating_sub(since))
    }

    /// Same, for a request that is deferred: it is retried until it is done, after a growing time. `None` if the retries of a
    /// shared feature are used up; those beside ends that it cannot explain do not count.
    pub(crate) fn time_until_deferred_retry(
        &self,
        feature: &Feature,
        refused_features: u32,
        server_failures: &ServerFailures,
        now: Instant,
    ) -> Option<Duration> {
        let times = self.counted_times(feature, server_failures);
        let delay = match feature.is_shared() {
            true => {
                let trials = trials(&times).count();
                if self.unexplained_trials(&times, server_failures) >= MAX_SHARED_DEFERRED_TRIALS {
                    return None;
                }
                match trials < feature.max_trials() {
                    true => TRIAL_DELAY * refused_features,
                    false => MAX_DEFERRED_DELAY,
                }
            }
            false => {
                let doublings = times.len().saturating_sub(MAX_ENDED_SERVERS).min(8) as u32;
                (TRIAL_DELAY * 2_u32.pow(doublings)).min(MAX_DEFERRED_DELAY)
            }
        };
        let since = now.saturating_duration_since(self.changed);
        Some(delay.saturating_sub(since))
    }

    /// Whether another node runs requests with the feature, or has reserved the next retry. Of two nodes that reserve it
    /// at the same time, the one with the lower identifier goes first.
    pub(crate) fn is_taken_elsewhere(&self, own: u64, now: Instant) -> bool {
        let holds_reservation = self.holds_reservation(now);
        let mut alive = self.reported_runs.iter();
        alive.any(|(node, report)| {
            let goes_first = report.reserves_retry && (!holds_reservation || *node < own);
            report.until > now && goes_first
        }) || self.reported_servers(now).next().is_some()
    }

    /// Whether this node has reserved the next retry.
    pub(crate) fn holds_reservation(&self, now: Instant) -> bool {
        let since = self.reserved.map(|at| now.saturating_duration_since(at));
        since.is_some_and(|since| since < RESERVATION_TTL)
    }

    /// Reserves the next retry; returns whether the reservation is old enough to begin.
    pub(crate) fn reserve(&mut self, now: Instant) -> bool {
        if !self.holds_reservation(now) {
            self.reserved = Some(now);
        }
        let since = self.reserved.map(|at| now.saturating_duration_since(at));
        since.is_some_and(|since| since >= RESERVATION_DELAY)
    }

    /// Gives up the reservation, because the retry begins.
    pub(crate) fn use_reservation(&mut self) {
        self.reserved = None;
    }

    /// Number of retries since the feature was refused after which a server ended.
    fn used_trials(&self, feature: &Feature, server_failures: &ServerFailures) -> usize {
        let times = self.counted_times(feature, server_failures);
        trials(&times).count()
    }

    /// Number of retries after which a server ended, while no others ended that did not run the feature.
    fn unexplained_trials(&self, times: &[Instant], server_failures: &ServerFailures) -> usize {
        let own: Vec<&str> = self.ended.iter().map(|end| end.server.as_str()).collect();
        trials(times)
            .filter(|at| !server_failures.others_ended_near(*at, OTHER_ENDS_WINDOW, &own))
            .count()
    }
}

/// Times of the ends of retries, from those of all ends that count.
fn trials(times: &[Instant]) -> impl Iterator<Item = Instant> + '_ {
    let gaps = times.windows(2).skip(MAX_ENDED_SERVERS - 1);
    let trials = gaps.filter(|pair| pair[1].saturating_duration_since(pair[0]) >= MIN_TRIAL_GAP);
    trials.map(|pair| pair[1])
}
