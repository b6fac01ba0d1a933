//! Job scheduling order: earliest deadline first for urgent jobs, otherwise weighted fair sharing
//! across tenants.

use std::collections::{BTreeMap, BTreeSet};

/// Job with pending work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    pub job: String,
    pub tenant: String,
    /// Deadline, in seconds since the Unix epoch.
    pub deadline_unix_s: u64,
    /// Estimated remaining work, in seconds of the fleet's batch capacity.
    pub remaining_s: u64,
}

/// Weighted virtual time of each tenant.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TenantShares {
    virtual_time: BTreeMap<String, f64>,
}

/// A job whose time to deadline is below this multiple of its remaining work is urgent.
pub const URGENT_SLACK_FACTOR: u64 = 2;

impl TenantShares {
    /// Sets the tenants with pending work. A new tenant starts at the lowest virtual time; tenants
    /// not listed are removed.
    pub fn set_active_tenants(&mut self, tenants: &BTreeSet<&str>) {
        self.virtual_time
            .retain(|tenant, _| tenants.contains(tenant.as_str()));
        let floor = self.lowest();
        for tenant in tenants {
            self.virtual_time
                .entry((*tenant).to_owned())
                .or_insert(floor);
        }
    }

    /// Charges a tenant for work, in items or tokens, divided by its weight.
    pub fn charge(&mut self, tenant: &str, work: f64, weight: u32) {
        let floor = self.lowest();
        let time = self.virtual_time.entry(tenant.to_owned()).or_insert(floor);
        *time += work / f64::from(weight.max(1));
    }

    fn virtual_time_of(&self, tenant: &str) -> f64 {
        let time = self.virtual_time.get(tenant).copied();
        time.unwrap_or_else(|| self.lowest())
    }

    fn lowest(&self) -> f64 {
        let lowest = self.virtual_time.values().copied().reduce(f64::min);
        lowest.unwrap_or(0.0)
    }
}

/// Whether the job is at risk of missing its deadline.
pub fn is_urgent(candidate: &Candidate, now_unix_s: u64) -> bool {
    let slack = candidate.deadline_unix_s.saturating_sub(now_unix_s);
    slack < candidate.remaining_s.saturating_mul(URGENT_SLACK_FACTOR)
}

/// Sorts the candidates in the order in which they are scheduled.
pub fn order(candidates: &mut [Candidate], shares: &TenantShares, now_unix_s: u64) {
    candidates.sort_by(|left, right| {
        let urgent = is_urgent(right, now_unix_s).cmp(&is_urgent(left, now_unix_s));
        urgent
            .then_with(|| by_urgency_or_share(left, right, shares, now_unix_s))
            .then_with(|| left.deadline_unix_s.cmp(&right.deadline_unix_s))
            .then_with(|| left.job.cmp(&right.job))
    });
}

/// Compares urgent jobs by deadline, others by the virtual time of their tenants.
fn by_urgency_or_share(
    left: &Candidate,
    right: &Candidate,
    shares: &TenantShares,
    now_unix_s: u64,
) -> std::cmp::Ordering {
    if is_urgent(left, now_unix_s) && is_urgent(right, now_unix_s) {
        return left.deadline_unix_s.cmp(&right.deadline_unix_s);
    }
    shares
        .virtual_time_of(&left.tenant)
        .total_cmp(&shares.virtual_time_of(&right.tenant))
}
