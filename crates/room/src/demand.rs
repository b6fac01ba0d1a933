//! Online demand for a service, as exchanged between nodes.

use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use crate::retry_schedule::RETRY_INTERVALS;

/// Hash of a service name, used in messages.
pub fn service_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Requests of one tenant at one service.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TenantWork {
    #[prost(fixed32, tag = "1")]
    pub tenant: u32,
    /// Online requests in flight or waiting for a slot.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

/// Online demand for one service, of one or several nodes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Demand {
    /// Hash of the service name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Requests waiting for a slot.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Refused requests expected to be retried, by interval from now on. Trailing zeros are
    /// omitted.
    #[prost(uint32, repeated, tag = "3")]
    pub returns: Vec<u32>,
    /// Requests by tenant, sorted by tenant hash without duplicates.
    #[prost(message, repeated, tag = "4")]
    pub tenants: Vec<TenantWork>,
}

impl Demand {
    /// Creates an empty demand for a service.
    pub fn of(service: u32) -> Self {
        Self {
            service,
            ..Self::default()
        }
    }

    pub fn is_empty(&self) -> bool {
        self.waiting == 0 && self.returns.is_empty() && self.tenants.is_empty()
    }

    /// Adds another demand that was sent `intervals_ago` whole intervals ago. Retries that were due
    /// in these intervals are dropped.
    pub fn add(&mut self, other: &Demand, intervals_ago: usize) {
        self.add_without_tenants(other, intervals_ago);
        for work in &other.tenants {
            let place = self
                .tenants
                .binary_search_by_key(&work.tenant, |entry| entry.tenant);
            match place {
                Ok(index) => {
                    let held = &mut self.tenants[index].requests;
                    *held = held.saturating_add(work.requests);
                }
                Err(index) => self.tenants.insert(index, *work),
            }
        }
    }

    /// Same as `add`, without the tenants.
    pub fn add_without_tenants(&mut self, other: &Demand, intervals_ago: usize) {
        self.waiting = self.waiting.saturating_add(other.waiting);
        let due = other
            .returns
            .iter()
            .take(RETRY_INTERVALS)
            .skip(intervals_ago);
        for (span, requests) in due.enumerate() {
            if self.returns.len() <= span {
                self.returns.push(0);
            }
            self.returns[span] = self.returns[span].saturating_add(*requests);
        }
    }

    /// Subtracts a demand that was added before.
    pub fn subtract(&mut self, other: &Demand, intervals_ago: usize) {
        self.waiting = self.waiting.saturating_sub(other.waiting);
        let due = other
            .returns
            .iter()
            .take(RETRY_INTERVALS)
            .skip(intervals_ago);
        for (held, requests) in self.returns.iter_mut().zip(due) {
            *held = held.saturating_sub(*requests);
        }
        for work in &other.tenants {
            let held = self.tenants.iter_mut();
            let held = held.filter(|entry| entry.tenant == work.tenant);
            held.for_each(|entry| entry.requests = entry.requests.saturating_sub(work.requests));
        }
        self.tenants.retain(|entry| entry.requests > 0);
        while self.returns.last() == Some(&0) {
            self.returns.pop();
        }
    }

    /// Keeps only the tenants with the most requests, to limit the message size.
    pub fn keep_busiest(&mut self, most: usize) {
        if self.tenants.len() <= most {
            return;
        }
        self.tenants
            .sort_by_key(|work| std::cmp::Reverse(work.requests));
        self.tenants.truncate(most);
        self.tenants.sort_by_key(|work| work.tenant);
    }
}
