//! Faults and events caused by operators through the admin API.

use std::time::Duration;

use dappleyard_wire::keys;
use serde_json::Value;

use super::FaultKind;
use crate::fleet::Fleet;
use crate::fleet::admin::{self, AdminError, Operator};
use crate::recorder::{Drain, Event};

/// Long enough, with [`RETRY_INTERVAL`], to outlast a store outage.
const MAX_ATTEMPTS: usize = 24;
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which the row of a confirmed drain must appear.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
/// HTTP status of a plan that conflicts with a change made after it.
const CONFLICT: u16 = 409;
/// Tenant used only to produce configuration changes.
const CHANGED_TENANT: &str = "changed-often";
/// Tenant changed only by racing operators.
const RACED_TENANT: &str = "raced";

/// Changes a tenant's limits; `number` makes each change different.
pub async fn change_configuration(fleet: &Fleet, number: u32) {
    let intent = admin::tenant_intent(CHANGED_TENANT, number + 1);
    let done = plan_and_confirm(fleet, &intent).await;
    record_failure(fleet, FaultKind::ConfigurationChange, done);
}

/// Drains a server for `length`, then undrains it. The drain starts when its row is in the table
/// service.
pub async fn drain_server(fleet: &Fleet, server: &str, length: Duration) {
    if let Err(error) = plan_and_confirm(fleet, &admin::drain_intent(server)).await {
        return record_failure(fleet, FaultKind::ServerDrain, Err(error));
    }
    let row = keys::drain("server", server);
    let row_present = tokio::time::timeout(DRAIN_TIMEOUT, async {
        while fleet.platform.row(&row).is_none() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    });
    if row_present.await.is_err() {
        return fleet.record_not_done(
            FaultKind::ServerDrain,
            "drain row did not appear before the timeout",
        );
    }
    let told = fleet.recorder.clock.now();
    tokio::time::sleep(length).await;
    let taken_back = fleet.recorder.clock.now();
    fleet.recorder.add_event(Event::Drain(Drain {
        server: server.to_owned(),
        told,
        taken_back,
    }));
    let done = plan_and_confirm(fleet, &admin::undrain_intent(server)).await;
    record_failure(fleet, FaultKind::ServerDrain, done);
}

/// Two operators at two nodes plan conflicting intents and confirm both concurrently; at most one
/// may be accepted.
pub async fn race_operators(fleet: &Fleet, number: u32) {
    let addresses = fleet.admin_addresses();
    let (Some(first_node), Some(second_node)) = (addresses.first(), addresses.last()) else {
        return fleet.record_not_done(FaultKind::RacingIntents, "no node is running");
    };
    let (first_node, second_node) = (Operator::new(first_node), Operator::new(second_node));
    let (first, second) = (
        admin::tenant_intent(RACED_TENANT, 1_000 + number),
        admin::tenant_intent(RACED_TENANT, 2_000 + number),
    );
    let plans = futures::join!(first_node.plan(&first), second_node.plan(&second));
    let (Ok(first), Ok(second)) = plans else {
        return fleet.record_not_done(FaultKind::RacingIntents, &format!("{plans:?}"));
    };
    let confirmed = futures::join!(first_node.confirm(&first), second_node.confirm(&second));
    let count = |wanted: fn(&Result<Value, AdminError>) -> bool| {
        u32::from(wanted(&confirmed.0)) + u32::from(wanted(&confirmed.1))
    };
    fleet.recorder.add_event(Event::Race {
        at: fleet.recorder.clock.now(),
        accepted: count(Result::is_ok),
        overtaken: count(|answer| {
            matches!(
                answer,
                Err(AdminError::Refused {
                    status: CONFLICT,
                    ..
                })
            )
        }),
        answers: format!("{confirmed:?}"),
    });
}

/// Plans and confirms an intent, trying the nodes in turn. A confirmation that may have taken
/// effect is retried with the same plan; after any other error the intent is planned again.
async fn plan_and_confirm(fleet: &Fleet, intent: &Value) -> Result<(), String> {
    let mut last = "no node is running".to_owned();
    let mut plan: Option<String> = None;
    for attempt in 0..MAX_ATTEMPTS {
        let addresses = fleet.admin_addresses();
        if let Some(address) = addresses.get(attempt % addresses.len().max(1)) {
            let operator = Operator::new(address);
            match attempt_intent(&operator, intent, &mut plan).await {
                Ok(()) => return Ok(()),
                Err(error) => last = describe(&error),
            }
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    Err(last)
}

async fn attempt_intent(
    operator: &Operator,
    intent: &Value,
    plan: &mut Option<String>,
) -> Result<(), AdminError> {
    let id = match plan.take() {
        Some(id) => id,
        None => operator.plan(intent).await?,
    };
    match operator.confirm(&id).await {
        Ok(_) => Ok(()),
        Err(error) => {
            *plan = error.is_retryable().then_some(id);
            Err(error)
        }
    }
}

fn describe(error: &AdminError) -> String {
    error.to_string().chars().take(300).collect()
}

fn record_failure(fleet: &Fleet, kind: FaultKind, done: Result<(), String>) {
    if let Err(reason) = done {
        fleet.record_not_done(kind, &reason);
    }
}
