//! Fair shares of a service's slots among tenants. Counts, times and random points are arguments.
//!
//! When servers fail, one tenant may request more than the remaining slots without exceeding its
//! quota. If requests were served in order of arrival, that tenant would take most slots and delay
//! all others.
//!
//! Slots are divided by weighted max-min fairness: a level `L` is determined such that all tenants
//! together, each limited to its weight times `L` requests, fill the slots. A tenant that needs
//! less gets all it needs, and the rest goes to the others. While all requests fit into the slots,
//! there is no level and no limit.
//!
//! A tenant's count fluctuates and is known with some delay. Each tenant may therefore exceed its
//! share by a few requests, which is enough for a small tenant that stays within its share on
//! average and insignificant for a large one.

use std::time::Duration;

use derive_more::{Display, Error};

/// Minimum weight, so that every tenant has a share.
const MIN_WEIGHT: f64 = 1e-3;
/// Minimum mean duration of a request, in seconds.
const MIN_DURATION_S: f64 = 1e-3;
/// Requests that a tenant may have beyond its share. With random arrivals, a tenant with a mean of
/// one request in flight has at most three 98 % of the time.
const EXTRA_REQUESTS: u32 = 2;

/// Demand of one tenant for a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Online requests in flight or waiting, over all nodes.
    pub requests: u32,
    /// Relative weight; see [`Shares`].
    pub weight: f64,
}

impl Claim {
    fn weight(&self) -> f64 {
        self.weight.max(MIN_WEIGHT)
    }

    fn requests_per_weight(&self) -> f64 {
        f64::from(self.requests) / self.weight()
    }
}

/// Error of a request that would exceed its tenant's share.
#[derive(Debug, Clone, Copy, PartialEq, Display, Error)]
#[display("{requests} requests under way, share {share:.1} of {slots} slots")]
pub struct OverShare {
    pub requests: u32,
    /// Share of the tenant, in slots.
    pub share: f64,
    pub slots: u32,
    /// Requests within the share that finish per second.
    pub completions_per_s: f64,
    /// Retry delay, assuming that no other request was refused before.
    pub retry_after: Duration,
}

/// Shares of one service.
///
/// A tenant's weight is the rate of its limit (`rate_per_s`). A tenant without a limit has the mean
/// weight of those with one. `priority` only orders waiting requests and does not affect shares, so
/// that no tenant loses its share to a higher priority.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shares {
    slots: u32,
    /// Requests per unit of weight; `None` while there is room for all.
    level: Option<f64>,
}

impl Shares {
    /// Divides slots among the tenants with known demand. `others` is the number of requests of
    /// tenants too small to be reported individually; these are served in full.
    pub fn new(claims: &[Claim], others: u32, slots: u32) -> Self {
        let wanted: u64 = claims.iter().map(|claim| u64::from(claim.requests)).sum();
        let is_short = slots > 0 && wanted + u64::from(others) > u64::from(slots);
        let level = is_short.then(|| water_level(claims, slots.saturating_sub(others)));
        Self { slots, level }
    }

    /// Whether demand exceeds the slots.
    pub fn is_short(&self) -> bool {
        self.level.is_some()
    }

    /// Share of a tenant of this weight, in slots; `None` while there is room for all.
    pub fn of(&self, weight: f64) -> Option<f64> {
        self.level.map(|level| level * weight.max(MIN_WEIGHT))
    }

    /// Allows another request of a tenant, or fails if its share is used up. `claim` is the
    /// tenant's current demand, `mean_duration` is that of a request, and `point` is uniform
    /// between 0 and 1.
    pub fn admit(
        &self,
        claim: Claim,
        mean_duration: Duration,
        point: f64,
    ) -> Result<(), OverShare> {
        let Some(share) = self.of(claim.weight) else {
            return Ok(());
        };
        let limit = (share.ceil() as u32).saturating_add(EXTRA_REQUESTS);
        if claim.requests < limit {
            return Ok(());
        }
        Err(OverShare {
            requests: claim.requests,
            share,
            slots: self.slots,
            completions_per_s: f64::from(limit) / mean_duration.as_secs_f64().max(MIN_DURATION_S),
            retry_after: retry_after(claim.requests, limit, mean_duration, point),
        })
    }
}

/// The level at which the tenants' limited demand fills the slots (water-filling). Requires demand
/// above the slots.
fn water_level(claims: &[Claim], slots: u32) -> f64 {
    let mut ascending: Vec<&Claim> = claims.iter().collect();
    ascending.sort_by(|a, b| a.requests_per_weight().total_cmp(&b.requests_per_weight()));
    let mut weight: f64 = ascending.iter().map(|claim| claim.weight()).sum();
    let mut left = f64::from(slots);
    for claim in ascending {
        let level = left / weight;
        if claim.requests_per_weight() >= level {
            return level;
        }
        left -= f64::from(claim.requests);
        weight -= claim.weight();
    }
    f64::INFINITY
}

/// Retry delay of a refused request: the time until enough of the tenant's requests have ended,
/// plus a random part of the mean duration, since all refused requests compete for the same slots.
fn retry_after(requests: u32, limit: u32, mean_duration: Duration, point: f64) -> Duration {
    let too_many = requests.saturating_sub(limit).saturating_add(1);
    let until_free = f64::from(too_many) / f64::from(requests.max(1));
    mean_duration.mul_f64(until_free + point)
}
