//! Row of a service's disruptions in flight. It is updated in the same transaction as the
//! disruption itself, so that two controllers cannot use the same budget.

use std::collections::BTreeSet;

use dappleyard_decide::disruption::{InFlight, unfinished_disruptions};
use dappleyard_store::{Expect, TableStore, Transaction};
use dappleyard_wire::Failure;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{Disruption, DisruptionRow};

use crate::plans::store::encoded;
use crate::snapshot::{decode, store_failure};

/// Cause recorded for a load order from a controller.
pub const LOAD_CAUSE: &str = "load";

/// Disruptions in flight of a service, with the revision that was read.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDisruptions {
    service: String,
    row: DisruptionRow,
    revision: Option<u64>,
    changed: bool,
}

impl ServiceDisruptions {
    pub async fn read(
        tables: &dyn TableStore,
        service: &str,
    ) -> Result<ServiceDisruptions, Failure> {
        let key = keys::disruption(service);
        let row = tables
            .get(&key)
            .await
            .map_err(|error| store_failure(&error))?;
        Ok(ServiceDisruptions {
            service: service.to_owned(),
            revision: row.as_ref().map(|row| row.revision),
            row: match row {
                Some(row) => decode(&key, &row.value)?,
                None => DisruptionRow::default(),
            },
            changed: false,
        })
    }

    pub fn in_flight(&self) -> Vec<InFlight> {
        self.row.disruptions.iter().map(in_flight).collect()
    }

    /// Removes disruptions that are finished or timed out.
    pub fn remove_settled(
        &mut self,
        observed: &BTreeSet<String>,
        timeout_ms: u64,
        now_unix_ms: u64,
    ) {
        let current = self.in_flight();
        let kept: BTreeSet<&str> =
            unfinished_disruptions(&current, observed, timeout_ms, now_unix_ms)
                .into_iter()
                .map(|entry| entry.server.as_str())
                .collect();
        let before = self.row.disruptions.len();
        self.row
            .disruptions
            .retain(|disruption| kept.contains(disruption.server.as_str()));
        self.changed |= self.row.disruptions.len() != before;
    }

    pub fn add(&mut self, server: &str, zone: &str, cause: &str, now_unix_ms: u64) {
        self.row.disruptions.push(Disruption {
            server: server.to_owned(),
            zone: zone.to_owned(),
            cause: cause.to_owned(),
            since_unix_ms: now_unix_ms,
        });
        self.changed = true;
    }

    /// Servers that were ordered to reject new work.
    pub fn closed(&self) -> BTreeSet<String> {
        self.row.closed.iter().cloned().collect()
    }

    /// Replaces the set of servers that were ordered to reject new work.
    pub fn set_closed(&mut self, closed: &BTreeSet<String>) {
        let next: Vec<String> = closed.iter().cloned().collect();
        self.changed |= next != self.row.closed;
        self.row.closed = next;
    }

    /// Servers with a load order in flight, with its start time in Unix milliseconds.
    pub fn loads(&self) -> Vec<(String, u64)> {
        let loads = self
            .row
            .disruptions
            .iter()
            .filter(|item| item.cause == LOAD_CAUSE);
        loads
            .map(|item| (item.server.clone(), item.since_unix_ms))
            .collect()
    }

    pub fn is_changed(&self) -> bool {
        self.changed
    }

    /// Adds the row to a transaction, on condition that it has not changed since it was read.
    #[must_use]
    pub fn write(&self, transaction: Transaction) -> Transaction {
        let key = keys::disruption(&self.service);
        let expect = self.revision.map_or(Expect::Absent, Expect::Revision);
        transaction
            .expect(key.clone(), expect)
            .put(key, encoded(&self.row))
    }
}

fn in_flight(disruption: &Disruption) -> InFlight {
    InFlight {
        server: disruption.server.clone(),
        zone: disruption.zone.clone(),
        since_ms: disruption.since_unix_ms,
    }
}
