//! Online demand per service: exact for this node, last reported for the others.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_room::{Demand, RETRY_INTERVAL, RetrySchedule, TenantWork, service_hash};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::server_loads::Source;

/// Age from which the report of another node is ignored.
const REPORT_LIFE: Duration = Duration::from_millis(1_500);
/// Most tenants per service in one message; those with the least work are left out.
const MAX_TENANTS_SENT: usize = 32;

struct OwnDemand {
    waiting: u32,
    retries: RetrySchedule,
    tenants: HashMap<u32, u32>,
}

impl OwnDemand {
    fn report(&mut self, service: u32, now: Instant) -> Demand {
        let mut tenants: Vec<TenantWork> = self
            .tenants
            .iter()
            .map(|(tenant, requests)| TenantWork {
                tenant: *tenant,
                requests: *requests,
            })
            .collect();
        tenants.sort_by_key(|work| work.tenant);
        Demand {
            service,
            waiting: self.waiting,
            returns: self.retries.due(now),
            tenants,
        }
    }
}

#[derive(Default)]
struct State {
    own: HashMap<u32, OwnDemand>,
    others: HashMap<Source, (Instant, Vec<Demand>)>,
}

impl State {
    fn own(&mut self, service: u32, now: Instant) -> &mut OwnDemand {
        self.own.entry(service).or_insert_with(|| OwnDemand {
            waiting: 0,
            retries: RetrySchedule::new(now),
            tenants: HashMap::new(),
        })
    }

    fn own_report(&mut self, now: Instant) -> Vec<Demand> {
        let report = self
            .own
            .iter_mut()
            .map(|(service, own)| own.report(*service, now))
            .map(|mut report| {
                report.keep_busiest(MAX_TENANTS_SENT);
                report
            });
        report.filter(|demand| !demand.is_empty()).collect()
    }

    /// The report of a source and its age in multiples of `RETRY_INTERVAL`; `None` if it has expired.
    fn report_of(&self, source: &Source, now: Instant) -> Option<(usize, &[Demand])> {
        let (at, demands) = self.others.get(source)?;
        let age = now.saturating_duration_since(*at);
        let spans = (age.as_millis() / RETRY_INTERVAL.as_millis()) as usize;
        (age < REPORT_LIFE).then_some((spans, demands.as_slice()))
    }

    /// Sum of this node's demand and that of the sources for which `counted` holds, by service.
    fn sum(&mut self, counted: impl Fn(&Source) -> bool, now: Instant) -> HashMap<u32, Demand> {
        let own = self.own_report(now).into_iter();
        let mut sums: HashMap<u32, Demand> = own.map(|demand| (demand.service, demand)).collect();
        let sources = self.others.keys().filter(|source| counted(source));
        for (spans, demands) in sources.filter_map(|source| self.report_of(source, now)) {
            for demand in demands {
                let sum = sums
                    .entry(demand.service)
                    .or_insert_with(|| Demand::of(demand.service));
                sum.add(demand, spans);
            }
        }
        sums
    }
}

/// Limits the tenants of each sum to `MAX_TENANTS_SENT`, and drops empty sums.
fn limited(sums: HashMap<u32, Demand>) -> Vec<Demand> {
    let mut sums: Vec<Demand> = sums.into_values().collect();
    sums.iter_mut()
        .for_each(|sum| sum.keep_busiest(MAX_TENANTS_SENT));
    sums.retain(|sum| !sum.is_empty());
    sums
}

/// Online demand for all services. No other lock is held while its lock is taken.
#[derive(Default)]
pub struct DemandTable {
    state: Mutex<State>,
    /// Signalled when requests begin to wait at this node or another.
    pressure: Notify,
}

impl DemandTable {
    /// Counts a request as waiting for a slot of a service until the guard is dropped.
    pub fn wait(self: &Arc<Self>, service: &str) -> WaitGuard {
        let service = service_hash(service);
        let waiting = {
            let mut state = self.state.lock();
            let own = state.own(service, Instant::now());
            own.waiting += 1;
            own.waiting
        };
        if waiting == 1 {
            self.pressure.notify_one();
        }
        WaitGuard {
            table: self.clone(),
            service,
        }
    }

    /// Signals pressure when the requests of a source begin to wait.
    fn signal_pressure(&self, before: &[Demand], now: &[Demand]) {
        let waits = |demands: &[Demand]| demands.iter().any(|demand| demand.waiting > 0);
        if waits(now) && !waits(before) {
            self.pressure.notify_one();
        }
    }

    /// Waits until requests begin to wait for a slot of any service.
    pub async fn wait_for_pressure(&self) {
        self.pressure.notified().await;
    }

    /// Counts a request of a tenant as in flight at a service until the guard is dropped.
    pub fn work(self: &Arc<Self>, service: &str, tenant: u32) -> Work {
        let service = service_hash(service);
        let mut state = self.state.lock();
        let own = state.own(service, Instant::now());
        *own.tenants.entry(tenant).or_default() += 1;
        Work {
            table: self.clone(),
            service,
            tenant,
        }
    }

    /// Records that the caller of a rejected request was asked to retry after `after`.
    pub fn note_retry(&self, service: &str, after: Duration) {
        let now = Instant::now();
        let mut state = self.state.lock();
        state
            .own(service_hash(service), now)
            .retries
            .note(after, now);
    }

    /// Demand of all nodes for a service.
    pub fn total(&self, service: &str) -> Demand {
        self.sum_with(service, Demand::add)
    }

    /// Waiting requests and expected retries for a service at all nodes, without the split by
    /// tenant.
    pub fn pressure_on(&self, service: &str) -> Demand {
        self.sum_with(service, Demand::add_without_tenants)
    }

    fn sum_with(&self, service: &str, add: impl Fn(&mut Demand, &Demand, usize)) -> Demand {
        let number = service_hash(service);
        let now = Instant::now();
        let mut state = self.state.lock();
        let mut sum = Demand::of(number);
        if let Some(own) = state.own.get_mut(&number) {
            add(&mut sum, &own.report(number, now), 0);
        }
        let sources = state.others.keys();
        for (spans, demands) in sources.filter_map(|source| state.report_of(source, now)) {
            let report = demands.iter().filter(|demand| demand.service == number);
            report.for_each(|demand| add(&mut sum, demand, spans));
        }
        sum
    }

    /// Demand of this node, as sent in messages.
    pub(crate) fn own(&self) -> Vec<Demand> {
        self.state.lock().own_report(Instant::now())
    }

    /// Demand of the nodes of this zone.
    pub(crate) fn zone_sum(&self) -> Vec<Demand> {
        let mut state = self.state.lock();
        limited(state.sum(|source| matches!(source, Source::Node(_)), Instant::now()))
    }

    /// For each of `nodes`, the demand of all other nodes. Sums all sources once and subtracts the
    /// node's own demand.
    pub(crate) fn sums_without(&self, nodes: &[u64]) -> Vec<Vec<Demand>> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let all = state.sum(|source| *source != Source::Fleet, now);
        let without = |node: &u64| {
            let mut sums = all.clone();
            let report = state.report_of(&Source::Node(*node), now);
            let (spans, own) = report.unwrap_or_default();
            for demand in own {
                if let Some(sum) = sums.get_mut(&demand.service) {
                    sum.subtract(demand, spans);
                }
            }
            limited(sums)
        };
        nodes.iter().map(without).collect()
    }

    /// Replaces the demand of a source that is known from an earlier report; the demand of an
    /// unknown one is ignored.
    pub(crate) fn change_source(&self, source: Source, demands: Vec<Demand>) {
        let update = (Instant::now(), demands);
        let mut state = self.state.lock();
        if let Some(held) = state.others.get_mut(&source) {
            let before = std::mem::replace(held, update);
            self.signal_pressure(&before.1, &held.1);
        }
    }

    /// Replaces the demand of a source. A fleet-wide sum replaces all other sources, and any other
    /// source replaces the fleet-wide sum.
    pub(crate) fn set_source(&self, source: Source, demands: Vec<Demand>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        match source {
            Source::Fleet => state.others.clear(),
            _ => {
                state.others.remove(&Source::Fleet);
            }
        }
        let before = state.others.remove(&source);
        let before = before.map_or_else(Vec::new, |(_, demands)| demands);
        self.signal_pressure(&before, &demands);
        state.others.insert(source, (now, demands));
        state
            .others
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < REPORT_LIFE);
    }
}

/// Counts one waiting request; dropping it ends the wait.
pub struct WaitGuard {
    table: Arc<DemandTable>,
    service: u32,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if let Some(own) = self.table.state.lock().own.get_mut(&self.service) {
            own.waiting = own.waiting.saturating_sub(1);
        }
    }
}

/// Counts one request of a tenant in flight; dropping it ends the count.
pub struct Work {
    table: Arc<DemandTable>,
    service: u32,
    tenant: u32,
}

impl Drop for Work {
    fn drop(&mut self) {
        let mut state = self.table.state.lock();
        let Some(own) = state.own.get_mut(&self.service) else {
            return;
        };
        let Some(requests) = own.tenants.get_mut(&self.tenant) else {
            return;
        };
        *requests = requests.saturating_sub(1);
        if *requests == 0 {
            own.tenants.remove(&self.tenant);
        }
    }
}
