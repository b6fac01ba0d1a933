//! Orders drained servers to reject new work, so that the engine also refuses nodes with an older
//! configuration, and to accept it again when the drain ends.
//!
//! The service's disruption row lists the servers closed by these orders. An engine that rejects
//! work for another reason is never opened.

use std::collections::BTreeSet;

use dappleyard_engine::OrderKind;
use dappleyard_store::Transaction;

use crate::controller::ReconcilerDeps;
use crate::controller::service::{OrderOutcome, RoundOutcome, ServiceController};
use crate::plans::disruptions::ServiceDisruptions;

impl ServiceController {
    /// Closes drained servers to new work and opens those whose drain has ended.
    pub(super) async fn update_accepting(&mut self, deps: ReconcilerDeps<'_>) -> RoundOutcome {
        let drained = self.drained(deps);
        if self.closed.as_ref() == Some(&drained) {
            return self.reissue_closing(deps, &drained).await;
        }
        let Ok(mut disruptions) = ServiceDisruptions::read(deps.store, &self.service).await else {
            return RoundOutcome::Held;
        };
        let closed = disruptions.closed();
        let mut next = closed.clone();
        for server in drained.difference(&closed) {
            next.insert(server.clone());
        }
        for server in closed.difference(&drained) {
            match self.open(deps, server).await {
                OrderOutcome::Fenced => return RoundOutcome::Lost,
                OrderOutcome::Accepted => {
                    next.remove(server);
                }
                OrderOutcome::NotAccepted => {}
            }
        }
        disruptions.set_closed(&next);
        if disruptions.is_changed() {
            let transaction = disruptions.write(self.authority.guard(Transaction::default()));
            match deps.store.transact(transaction).await {
                Ok(_) => {}
                Err(error) if self.authority.is_lost(&error) => return RoundOutcome::Lost,
                Err(_) => return RoundOutcome::Held,
            }
        }
        self.closed = Some(next);
        self.reissue_closing(deps, &drained).await
    }

    fn drained(&self, deps: ReconcilerDeps<'_>) -> BTreeSet<String> {
        let configuration = deps.tables.configuration.current();
        self.observed
            .all()
            .filter(|observed| {
                let entry = &observed.entry;
                configuration.is_draining(entry.server.as_str(), &entry.hall, entry.zone.as_str())
            })
            .map(|observed| observed.view.server.clone())
            .collect()
    }

    /// Repeats the order for drained servers that still report accepting new work.
    async fn reissue_closing(
        &mut self,
        deps: ReconcilerDeps<'_>,
        drained: &BTreeSet<String>,
    ) -> RoundOutcome {
        let closed = self.closed.clone().unwrap_or_default();
        for server in drained.intersection(&closed) {
            let open = self.observed.get(server).is_some_and(|observed| {
                observed.observed_at.is_some() && observed.view.reachable && observed.accepting
            });
            if !open {
                continue;
            }
            let kind = OrderKind::SetAccepting { accepting: false };
            if self.order(deps, server, kind, "a drain is in force").await == OrderOutcome::Fenced {
                return RoundOutcome::Lost;
            }
        }
        RoundOutcome::Held
    }

    async fn open(&mut self, deps: ReconcilerDeps<'_>, server: &str) -> OrderOutcome {
        if self.observed.get(server).is_none() {
            // The server is no longer in the machine list.
            return OrderOutcome::Accepted;
        }
        let kind = OrderKind::SetAccepting { accepting: true };
        self.order(deps, server, kind, "its drain has ended").await
    }
}
