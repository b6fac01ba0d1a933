//! Decisions on the next run of a request, from the records of its features. Pure; time is an argument.

use std::collections::HashSet;
use std::time::Duration;

use dappleyard_clock::Instant;

use crate::feature::{Feature, RequestFeatures};
use crate::ledger::{Ledger, Permit, REFUSED_RETENTION, RefusedFeature, listed_name};
use crate::record::{MAX_ENDED_SERVERS, Record};

/// Shortest time for which a refusal lasts, since a retry may be under way whose result is known by then.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What the decision on one feature needs to know of the request that asks.
#[derive(Clone, Copy)]
struct RequestContext {
    /// Number of its features that have reached the limit of ended servers.
    refused_features: u32,
    is_deferred: bool,
}

impl Ledger {
    /// Holds all requests back until [`finish_learning`](Self::finish_learning), or until the given time.
    pub fn learn_until(&mut self, until: Instant) {
        self.learning_until = Some(until);
    }

    /// The refusals of other nodes are known.
    pub fn finish_learning(&mut self) {
        self.learning_until = None;
    }

    fn is_learning(&self, now: Instant) -> bool {
        self.learning_until.is_some_and(|until| now < until)
    }

    /// Decides on the next run of a request: the most restrictive decision on one of its features.
    pub fn permit(&self, request: &RequestFeatures, now: Instant) -> Permit {
        let context = self.context(request);
        let permits = request.iter();
        let permits = permits.map(|feature| self.feature_permit(feature, context, now));
        let permit = permits.max().unwrap_or(Permit::Free);
        if context.is_deferred && context.refused_features > 0 && permit == Permit::LastRun {
            let under_way = self.deferred_retries_under_way();
            if !self.deferred_retries.may_begin(under_way, now) {
                return Permit::Wait;
            }
        }
        match self.is_learning(now) {
            true => permit.max(Permit::Wait),
            false => permit,
        }
    }

    /// Same, and reserves the retry of a refused feature: until it may begin, the request waits.
    pub fn prepare(&mut self, request: &RequestFeatures, now: Instant) -> Permit {
        let permit = self.permit(request, now);
        match permit == Permit::LastRun && !self.reserve_retries(request, now) {
            true => Permit::Wait,
            false => permit,
        }
    }

    fn context(&self, request: &RequestFeatures) -> RequestContext {
        RequestContext {
            refused_features: self.refused_features_of(request),
            is_deferred: request.is_deferred(),
        }
    }

    /// Number of refused requests that this node runs.
    fn deferred_retries_under_way(&self) -> usize {
        let running = self.running.keys();
        let refused = running.filter(|feature| !feature.is_shared() && self.is_refused(feature));
        refused.count()
    }

    /// Number of a request's features that have reached the limit of ended servers.
    pub(crate) fn refused_features_of(&self, request: &RequestFeatures) -> u32 {
        let refused = request.iter().filter(|feature| self.is_refused(feature));
        refused.count() as u32
    }

    fn feature_permit(&self, feature: &Feature, context: RequestContext, now: Instant) -> Permit {
        let Some(record) = self.records.get(feature) else {
            return Permit::Free;
        };
        let counted_ends = record.counted_ends(feature, &self.server_failures);
        let own = self.running.get(feature).map_or(0, Vec::len);
        if counted_ends >= MAX_ENDED_SERVERS {
            let wait = self.time_until_retry(feature, record, context, now);
            let is_due = wait.is_some_and(|wait| wait.is_zero());
            let is_taken = own > 0 || record.is_taken_elsewhere(self.node_id, now);
            return match is_due && !is_taken {
                true => Permit::LastRun,
                false => Permit::Refused,
            };
        }
        if !record.limits_runs(feature, counted_ends, now) {
            return Permit::Free;
        }
        // Each active run may end its server.
        let under_way = own + record.reported_servers(now).count();
        if counted_ends + under_way >= MAX_ENDED_SERVERS {
            return Permit::Wait;
        }
        match counted_ends + 1 == MAX_ENDED_SERVERS {
            true => Permit::LastRun,
            false => Permit::Free,
        }
    }

    fn time_until_retry(
        &self,
        feature: &Feature,
        record: &Record,
        context: RequestContext,
        now: Instant,
    ) -> Option<Duration> {
        let failures = &self.server_failures;
        if context.is_deferred {
            return record.time_until_deferred_retry(
                feature,
                context.refused_features,
                failures,
                now,
            );
        }
        let until_retry = record.time_until_retry(feature, context.refused_features, failures, now);
        until_retry.filter(|_| self.may_be_innocent(feature, record))
    }

    /// Whether a refused feature may be innocent: a shared one, since it may have stood beside the cause each time; a
    /// request that has run well before, since many callers may send it; and one beside which another feature crashed
    /// servers.
    fn may_be_innocent(&self, feature: &Feature, record: &Record) -> bool {
        feature.is_shared()
            || record.has_run_well()
            || record.is_explained(feature, &self.server_failures)
    }

    /// Reserves the retries of the refused features that a request shares with others, so that no two nodes begin one;
    /// returns whether it may begin now.
    fn reserve_retries(&mut self, request: &RequestFeatures, now: Instant) -> bool {
        let shared = request.iter().filter(|feature| feature.is_shared());
        let refused: Vec<Feature> = shared
            .copied()
            .filter(|feature| self.is_refused(feature))
            .collect();
        let mut may_begin = true;
        for feature in &refused {
            if let Some(record) = self.records.get_mut(feature) {
                may_begin &= record.reserve(now);
            }
            self.queue_runs(feature, now);
        }
        may_begin
    }

    /// Servers that run other requests in the state [`Permit::LastRun`].
    pub fn last_run_servers(&self, except: &RequestFeatures, now: Instant) -> HashSet<String> {
        let others = self.records.iter();
        let others = others.filter(|(feature, record)| {
            if record.ended.len() + 1 < MAX_ENDED_SERVERS {
                return false;
            }
            let counted_ends = record.counted_ends(feature, &self.server_failures);
            // A deferred request keeps away from retries of refused ones too.
            let is_last = counted_ends + 1 == MAX_ENDED_SERVERS
                || except.is_deferred() && counted_ends >= MAX_ENDED_SERVERS;
            is_last
                && record.limits_runs(feature, counted_ends, now)
                && !except.iter().any(|own| own == *feature)
        });
        let mut servers = HashSet::new();
        for (feature, record) in others {
            let own = self.running.get(feature).into_iter().flatten();
            servers.extend(own.map(|server| listed_name(server).to_owned()));
            let reported = record.reported_servers(now).map(listed_name);
            servers.extend(reported.map(str::to_owned));
        }
        servers
    }

    /// Whether a feature has reached the limit of ended servers.
    pub(crate) fn is_refused(&self, feature: &Feature) -> bool {
        let record = self.records.get(feature);
        record.is_some_and(|record| {
            record.counted_ends(feature, &self.server_failures) >= MAX_ENDED_SERVERS
        })
    }

    /// The first feature for which a request is refused, if it is.
    pub fn refusal(&self, request: &RequestFeatures, now: Instant) -> Option<RefusedFeature> {
        let context = self.context(request);
        let is_refused =
            |feature: &&Feature| self.feature_permit(feature, context, now) == Permit::Refused;
        let feature = request.iter().find(is_refused)?;
        self.refused_feature(feature, context, now)
    }

    /// Refused features, and the number of other records.
    pub fn refused(&self, now: Instant) -> (Vec<RefusedFeature>, usize) {
        let context = RequestContext {
            refused_features: 1,
            is_deferred: false,
        };
        let refused = self.records.keys();
        let refused = refused.filter(|feature| self.is_refused(feature));
        let refused: Vec<RefusedFeature> = refused
            .filter_map(|feature| self.refused_feature(feature, context, now))
            .collect();
        let others = self.records.len() - refused.len();
        (refused, others)
    }

    fn refused_feature(
        &self,
        feature: &Feature,
        context: RequestContext,
        now: Instant,
    ) -> Option<RefusedFeature> {
        let record = self.records.get(feature)?;
        let age = now.saturating_duration_since(record.changed);
        let retry = self.time_until_retry(feature, record, context, now);
        Some(RefusedFeature {
            feature: *feature,
            ended: record.servers(),
            age,
            retry_after: retry
                .unwrap_or_else(|| REFUSED_RETENTION.saturating_sub(age))
                .max(MIN_RETRY_AFTER),
        })
    }
}
