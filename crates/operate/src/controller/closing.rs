//! Drained servers are ordered to take no new work, so that the engine itself refuses a node that has
//! not heard of the drain; when the drain ends they are ordered to take it again.
//!
//! Which servers were closed stands in the service's row of disruptions: an engine that takes no new
//! work for a reason of its own is never opened.

use std::collections::BTreeSet;

use dappleyard_engine::OrderKind;
use dappleyard_store::Transaction;

use crate::controller::Tools;
use crate::controller::service::{Given, Outcome, ServiceController};
use crate::plans::ledger::Ledger;

impl ServiceController {
    /// Closes drained servers and opens those whose drain has ended.
    pub(super) async fn close_and_open(&mut self, tools: Tools<'_>) -> Outcome {
        let drained = self.drained(tools);
        if self.closed.as_ref() == Some(&drained) {
            return self.repeat_closing(tools, &drained).await;
        }
        let Ok(mut ledger) = Ledger::read(tools.store, &self.service).await else {
            return Outcome::Held;
        };
        let closed = ledger.closed();
        let mut next = closed.clone();
        for server in drained.difference(&closed) {
            next.insert(server.clone());
        }
        for server in closed.difference(&drained) {
            match self.open(tools, server).await {
                Given::Fenced => return Outcome::Lost,
                Given::Yes => {
                    next.remove(server);
                }
                Given::No => {}
            }
        }
        ledger.set_closed(&next);
        if ledger.is_changed() {
            let transaction = ledger.write(self.authority.guard(Transaction::default()));
            match tools.store.transact(transaction).await {
                Ok(_) => {}
                Err(error) if self.authority.is_lost(&error) => return Outcome::Lost,
                Err(_) => return Outcome::Held,
            }
        }
        self.closed = Some(next);
        self.repeat_closing(tools, &drained).await
    }

    fn drained(&self, tools: Tools<'_>) -> BTreeSet<String> {
        let configuration = tools.tables.configuration.current();
        self.seen
            .all()
            .filter(|seen| {
                let entry = &seen.entry;
                configuration.is_draining(entry.server.as_str(), &entry.hall, entry.zone.as_str())
            })
            .map(|seen| seen.view.server.clone())
            .collect()
    }

    /// Closes drained servers that still take new work by their own word.
    async fn repeat_closing(&mut self, tools: Tools<'_>, drained: &BTreeSet<String>) -> Outcome {
        let closed = self.closed.clone().unwrap_or_default();
        for server in drained.intersection(&closed) {
            let open = self.seen.get(server).is_some_and(|seen| {
                seen.looked_at.is_some() && seen.view.reachable && seen.accepting
            });
            if !open {
                continue;
            }
            let kind = OrderKind::SetAccepting { accepting: false };
            if self.order(tools, server, kind, "a drain is in force").await == Given::Fenced {
                return Outcome::Lost;
            }
        }
        Outcome::Held
    }

    async fn open(&mut self, tools: Tools<'_>, server: &str) -> Given {
        if self.seen.get(server).is_none() {
            // It has left the machine list: there is nothing to open.
            return Given::Yes;
        }
        let kind = OrderKind::SetAccepting { accepting: true };
        self.order(tools, server, kind, "its drain has ended").await
    }
}
