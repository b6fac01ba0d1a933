//! Online demand for a service, as nodes tell it to each other.

use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use crate::returns::SPANS;

/// Number that stands for a service in messages.
pub fn service_number(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Work of one tenant at one service.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TenantWork {
    /// Hash of the tenant's name.
    #[prost(fixed32, tag = "1")]
    pub tenant: u32,
    /// Its online requests that are under way or wait for a slot.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

/// Online demand for one service, of one node or of several.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Demand {
    /// Number of the service.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Requests that wait for a slot.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Requests that were refused and are expected back: in the present span, the next one, and so on. Spans without
    /// any at the end are left out.
    #[prost(uint32, repeated, tag = "3")]
    pub returns: Vec<u32>,
    /// Work of tenants, each once, in the order of their numbers.
    #[prost(message, repeated, tag = "4")]
    pub tenants: Vec<TenantWork>,
}

impl Demand {
    /// No demand for a service yet.
    pub fn of(service: u32) -> Self {
        Self {
            service,
            ..Self::default()
        }
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0 && self.returns.is_empty() && self.tenants.is_empty()
    }

    /// Adds what others want, told some whole spans ago.
    pub fn add(&mut self, other: &Demand, spans_ago: usize) {
        self.add_pressure(other, spans_ago);
        for work in &other.tenants {
            let place = self
                .tenants
                .binary_search_by_key(&work.tenant, |held| held.tenant);
            match place {
                Ok(index) => {
                    let held = &mut self.tenants[index].requests;
                    *held = held.saturating_add(work.requests);
                }
                Err(index) => self.tenants.insert(index, *work),
            }
        }
    }

    /// Adds what others want, but for whose it is.
    pub fn add_pressure(&mut self, other: &Demand, spans_ago: usize) {
        self.waiting = self.waiting.saturating_add(other.waiting);
        let due = other.returns.iter().take(SPANS).skip(spans_ago);
        for (span, requests) in due.enumerate() {
            if self.returns.len() <= span {
                self.returns.push(0);
            }
            self.returns[span] = self.returns[span].saturating_add(*requests);
        }
    }

    /// Takes off what was added of another one before.
    pub fn take_off(&mut self, other: &Demand, spans_ago: usize) {
        self.waiting = self.waiting.saturating_sub(other.waiting);
        let due = other.returns.iter().take(SPANS).skip(spans_ago);
        for (held, requests) in self.returns.iter_mut().zip(due) {
            *held = held.saturating_sub(*requests);
        }
        for work in &other.tenants {
            let held = self.tenants.iter_mut();
            let held = held.filter(|held| held.tenant == work.tenant);
            held.for_each(|held| held.requests = held.requests.saturating_sub(work.requests));
        }
        self.tenants.retain(|held| held.requests > 0);
        while self.returns.last() == Some(&0) {
            self.returns.pop();
        }
    }

    /// Keeps the tenants with the most work, so that the message stays short.
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
