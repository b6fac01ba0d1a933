//! Describes the current state of an explained subject from stored rows and this node's tables.

use dappleyard_store::{Platform, StoreError};
use dappleyard_tables::NodeTables;
use dappleyard_wire::ids::{NodeId, PlanId, ServerId};
use dappleyard_wire::keys;

use crate::describe::describe_row;
use crate::explain::SubjectRef;
use crate::jobs::list_jobs;
use crate::plans::store::read_plan;
use crate::status::member_name;

/// Returns sentences about the state, and errors for what could not be read.
pub async fn describe_state(
    tables: &NodeTables,
    platform: &Platform,
    subject_ref: &SubjectRef,
) -> (Vec<String>, Vec<String>) {
    match subject_ref.kind.as_str() {
        "server" => (describe_server(tables, &subject_ref.id), Vec::new()),
        "node" => (describe_node(tables, &subject_ref.id), Vec::new()),
        "service" => describe_stored_row(platform, &keys::service(&subject_ref.id)).await,
        "plan" => describe_plan(platform, &subject_ref.id).await,
        "job" => describe_job(platform, &subject_ref.id).await,
        _ => (Vec::new(), Vec::new()),
    }
}

fn describe_server(tables: &NodeTables, id: &str) -> Vec<String> {
    let Some(entry) = tables.directory.get(&ServerId::from(id)) else {
        return vec!["it is not in the machine list".to_owned()];
    };
    let owner = entry
        .owner
        .as_ref()
        .map_or_else(|| "no node".to_owned(), |owner| format!("node {owner}"));
    let mut description = vec![format!(
        "it serves {} in hall {} of zone {} and is owned by {owner}",
        entry.service, entry.hall, entry.zone
    )];
    if entry.leaving {
        description.push("the machine list says that it is leaving".to_owned());
    }
    let configuration = tables.configuration.current();
    let locations = [
        ("server", id),
        ("hall", entry.hall.as_str()),
        ("zone", entry.zone.as_str()),
    ];
    for (kind, name) in locations {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(drain) = configuration.drains.get(&key) {
            description.push(format!(
                "{kind} {name} is drained by plan {}",
                drain.plan_id
            ));
        }
    }
    description
}

fn describe_node(tables: &NodeTables, id: &str) -> Vec<String> {
    let Some(member) = tables.members.get(&NodeId::from(id)) else {
        return vec!["it is not a known member".to_owned()];
    };
    let draining = if member.draining { ", draining" } else { "" };
    vec![format!(
        "it is {}{draining} in zone {}, incarnation {}, with configuration revision {}",
        member_name(member.state()),
        member.zone,
        member.incarnation,
        member.configuration_revision
    )]
}

async fn describe_stored_row(platform: &Platform, key: &str) -> (Vec<String>, Vec<String>) {
    match platform.tables.get(key).await {
        Ok(row) => {
            let value = row.as_ref().map(|row| row.value.as_ref());
            (vec![describe_row(key, value)], Vec::new())
        }
        Err(error) => (Vec::new(), vec![describe_store_error(&error)]),
    }
}

async fn describe_plan(platform: &Platform, id: &str) -> (Vec<String>, Vec<String>) {
    let key = keys::plan(&PlanId::from(id));
    let (mut description, unknown) = describe_stored_row(platform, &key).await;
    if let Ok(plan) = read_plan(&*platform.tables, id).await {
        description.push(plan.row.message.clone());
        if let Ok(body) = plan.body() {
            description.push(format!("it is to {}", body.summary));
        }
    }
    (description, unknown)
}

async fn describe_job(platform: &Platform, id: &str) -> (Vec<String>, Vec<String>) {
    match list_jobs(&*platform.tables).await {
        Ok(jobs) => {
            let known = jobs.into_iter().find(|job| job.job == id);
            let description = known.map_or_else(
                || "no job of this id was found".to_owned(),
                |job| {
                    format!(
                        "it is {} for tenant {}, {} of {} items settled, due at {} (Unix s)",
                        job.phase, job.tenant, job.settled, job.items, job.deadline_unix_s
                    )
                },
            );
            (vec![description], Vec::new())
        }
        Err(failure) => (Vec::new(), vec![failure.to_string()]),
    }
}

fn describe_store_error(error: &StoreError) -> String {
    format!("the table service: {error}")
}
