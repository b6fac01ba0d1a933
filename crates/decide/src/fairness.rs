//! Which job's chunk is worked on next: earliest deadline where slack is short, otherwise weighted
//! fair across tenants.

use std::collections::{BTreeMap, BTreeSet};

/// A job with work that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Job id.
    pub job: String,
    /// Its tenant.
    pub tenant: String,
    /// Deadline, seconds since 1970.
    pub deadline_unix_s: u64,
    /// Estimate of the work that is left, seconds of the fleet's batch capacity.
    pub remaining_s: u64,
}

/// Work given to tenants so far, scaled by their weights.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TenantShares {
    virtual_time: BTreeMap<String, f64>,
}

/// Slack, as a multiple of the work left, below which a job goes first whatever its tenant's share.
pub const URGENT_SLACK_FACTOR: u64 = 2;

impl TenantShares {
    /// Makes `tenants` those that have work. One that had none starts level with the one that is
    /// furthest behind; one that has none any more is forgotten.
    pub fn set_waiting(&mut self, tenants: &BTreeSet<&str>) {
        self.virtual_time
            .retain(|tenant, _| tenants.contains(tenant.as_str()));
        let floor = self.lowest();
        for tenant in tenants {
            self.virtual_time
                .entry((*tenant).to_owned())
                .or_insert(floor);
        }
    }

    /// Counts work (items or tokens) given to a tenant of some weight.
    pub fn charge(&mut self, tenant: &str, work: f64, weight: u32) {
        let floor = self.lowest();
        let time = self.virtual_time.entry(tenant.to_owned()).or_insert(floor);
        *time += work / f64::from(weight.max(1));
    }

    fn of(&self, tenant: &str) -> f64 {
        let time = self.virtual_time.get(tenant).copied();
        time.unwrap_or_else(|| self.lowest())
    }

    fn lowest(&self) -> f64 {
        let lowest = self.virtual_time.values().copied().reduce(f64::min);
        lowest.unwrap_or(0.0)
    }
}

/// Whether the job risks its deadline if others go first.
pub fn is_urgent(candidate: &Candidate, now_unix_s: u64) -> bool {
    let slack = candidate.deadline_unix_s.saturating_sub(now_unix_s);
    slack < candidate.remaining_s.saturating_mul(URGENT_SLACK_FACTOR)
}

/// Orders the candidates: the first one is served first.
pub fn order(candidates: &mut [Candidate], shares: &TenantShares, now_unix_s: u64) {
    candidates.sort_by(|left, right| {
        let urgent = is_urgent(right, now_unix_s).cmp(&is_urgent(left, now_unix_s));
        urgent
            .then_with(|| by_urgency_or_share(left, right, shares, now_unix_s))
            .then_with(|| left.deadline_unix_s.cmp(&right.deadline_unix_s))
            .then_with(|| left.job.cmp(&right.job))
    });
}

/// Urgent jobs compare by deadline alone; the others by the shares of their tenants.
fn by_urgency_or_share(
    left: &Candidate,
    right: &Candidate,
    shares: &TenantShares,
    now_unix_s: u64,
) -> std::cmp::Ordering {
    if is_urgent(left, now_unix_s) && is_urgent(right, now_unix_s) {
        return left.deadline_unix_s.cmp(&right.deadline_unix_s);
    }
    shares.of(&left.tenant).total_cmp(&shares.of(&right.tenant))
}
