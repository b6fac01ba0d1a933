//! Fair shares of a service's slots among tenants. Pure: counts, times and random points are arguments.
//!
//! The load: a tenant that may ask for much, by its quota, asks for it in a second in which the servers that are left
//! cannot serve everybody. Served in the order of arrival it takes most slots, and tenants beside it that ask for no
//! more than usual are late with it.
//!
//! The answer is max-min fairness: a level `L` of requests per unit of weight is sought at which all tenants together,
//! each with no more than its weight times `L`, fill the slots. Who asks for less gets all that it asks for; what it
//! leaves goes to the others at once. While all requests fit into the slots there is no level, and nobody is
//! limited.
//!
//! A tenant's count goes up and down by chance, and is known some time late. Lateness alone shifts it by what the tenant begins and
//! ends meanwhile, both ways, and by less than one request for a tenant with few. So each tenant may have some requests more
//! than its share: enough for a small one that keeps to it in the mean, and next to nothing for a large one.

use std::time::Duration;

use derive_more::{Display, Error};

/// Least weight of a tenant, so that one that is granted next to nothing still has a share.
const LEAST_WEIGHT: f64 = 1e-3;
/// Least time for which a request is taken to be under way, seconds.
const LEAST_STAY_S: f64 = 1e-3;
/// Requests that a tenant may have beyond its share. Callers come at random: a tenant that has one request under way
/// in the mean has three or fewer at 98 of 100 moments.
const BY_CHANCE: u32 = 2;

/// What one tenant wants of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Its online requests that are under way or wait, over all nodes.
    pub requests: u32,
    /// What it gets in relation to others; see [`Shares`].
    pub weight: f64,
}

impl Claim {
    fn weight(&self) -> f64 {
        self.weight.max(LEAST_WEIGHT)
    }

    /// Requests per unit of weight.
    fn height(&self) -> f64 {
        f64::from(self.requests) / self.weight()
    }
}

/// A request that would take its tenant over its share.
#[derive(Debug, Clone, Copy, PartialEq, Display, Error)]
#[display("{requests} requests under way, share {share:.1} of {slots} slots")]
pub struct OverShare {
    /// Requests of the tenant.
    pub requests: u32,
    /// Its share, in slots.
    pub share: f64,
    /// Slots of the service.
    pub slots: u32,
    /// Requests of the share that end in a second.
    pub ends_per_s: f64,
    /// When a request of it can be expected to find its share free, if none was refused before it.
    pub come_back: Duration,
}

/// The shares of one service.
///
/// A tenant's weight is the rate that the operators grant it (`rate_per_s` of its limit): whoever may send more may also have more
/// of what is short. A tenant without a limit weighs as much as one with a limit does in the mean. `priority` is a rank and
/// no size: it orders what waits, and doesn't enter here, so that no rank, however low, takes a share away.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shares {
    slots: u32,
    /// Requests per unit of weight; `None` while there is room for all.
    level: Option<f64>,
}

impl Shares {
    /// Shares of some slots among the tenants that are known to want them. `others` are requests of tenants that are too small to be
    /// told of one by one; they get all that they want.
    pub fn new(claims: &[Claim], others: u32, slots: u32) -> Self {
        let wanted: u64 = claims.iter().map(|claim| u64::from(claim.requests)).sum();
        // Without any slot there is nothing to share.
        let is_short = slots > 0 && wanted + u64::from(others) > u64::from(slots);
        let level = is_short.then(|| water_level(claims, slots.saturating_sub(others)));
        Self { slots, level }
    }

    /// Whether requests compete for the slots.
    pub fn is_short(&self) -> bool {
        self.level.is_some()
    }

    /// Slots that a tenant of some weight may have; `None` while there is room for all.
    pub fn of(&self, weight: f64) -> Option<f64> {
        self.level.map(|level| level * weight.max(LEAST_WEIGHT))
    }

    /// Whether another request of a tenant may pass. `claim` is what the tenant has already, `stay` how long a request is
    /// under way in the mean, and `point` is uniform between 0 and 1.
    pub fn admit(&self, claim: Claim, stay: Duration, point: f64) -> Result<(), OverShare> {
        let Some(share) = self.of(claim.weight) else {
            return Ok(());
        };
        let most = (share.ceil() as u32).saturating_add(BY_CHANCE);
        if claim.requests < most {
            return Ok(());
        }
        Err(OverShare {
            requests: claim.requests,
            share,
            slots: self.slots,
            ends_per_s: f64::from(most) / stay.as_secs_f64().max(LEAST_STAY_S),
            come_back: come_back(claim.requests, most, stay, point),
        })
    }
}

/// Requests per unit of weight at which tenants fill some slots, when together they want more.
fn water_level(claims: &[Claim], slots: u32) -> f64 {
    let mut rising: Vec<&Claim> = claims.iter().collect();
    rising.sort_by(|a, b| a.height().total_cmp(&b.height()));
    let mut weight: f64 = rising.iter().map(|claim| claim.weight()).sum();
    let mut left = f64::from(slots);
    for claim in rising {
        let level = left / weight;
        if claim.height() >= level {
            return level;
        }
        left -= f64::from(claim.requests);
        weight -= claim.weight();
    }
    f64::INFINITY
}

/// When a request that was refused may come back: once as many of its tenant's requests have ended as are too many, and then
/// spread over the time in which each slot of the tenant frees once, since all that are refused go for the same slots.
fn come_back(requests: u32, most: u32, stay: Duration, point: f64) -> Duration {
    let too_many = requests.saturating_sub(most).saturating_add(1);
    let until_free = f64::from(too_many) / f64::from(requests.max(1));
    stay.mul_f64(until_free + point)
}
