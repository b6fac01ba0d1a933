//! How a subject of an explanation stands now, from rows and from this node's tables, in words.

use dappleyard_store::{Platform, StoreError};
use dappleyard_tables::NodeTables;
use dappleyard_wire::ids::{NodeId, PlanId, ServerId};
use dappleyard_wire::keys;

use crate::describe::row_words;
use crate::explain::Question;
use crate::jobs::list_jobs;
use crate::plans::store::read_plan;
use crate::status::member_name;

/// Sentences about the subject's state, and what could not be learnt.
pub async fn state_words(
    tables: &NodeTables,
    platform: &Platform,
    question: &Question,
) -> (Vec<String>, Vec<String>) {
    match question.kind.as_str() {
        "server" => (server_words(tables, &question.id), Vec::new()),
        "node" => (node_words(tables, &question.id), Vec::new()),
        "service" => row(platform, &keys::service(&question.id)).await,
        "plan" => plan_words(platform, &question.id).await,
        "job" => job_words(platform, &question.id).await,
        _ => (Vec::new(), Vec::new()),
    }
}

fn server_words(tables: &NodeTables, id: &str) -> Vec<String> {
    let Some(entry) = tables.directory.get(&ServerId::from(id)) else {
        return vec!["it is not in the machine list".to_owned()];
    };
    let owner = entry
        .owner
        .as_ref()
        .map_or_else(|| "no node".to_owned(), |owner| format!("node {owner}"));
    let mut words = vec![format!(
        "it serves {} in hall {} of zone {} and is owned by {owner}",
        entry.service, entry.hall, entry.zone
    )];
    if entry.leaving {
        words.push("the machine list says that it is leaving".to_owned());
    }
    let configuration = tables.configuration.current();
    let places = [
        ("server", id),
        ("hall", entry.hall.as_str()),
        ("zone", entry.zone.as_str()),
    ];
    for (kind, name) in places {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(drain) = configuration.drains.get(&key) {
            words.push(format!(
                "{kind} {name} is drained by plan {}",
                drain.plan_id
            ));
        }
    }
    words
}

fn node_words(tables: &NodeTables, id: &str) -> Vec<String> {
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

async fn row(platform: &Platform, key: &str) -> (Vec<String>, Vec<String>) {
    match platform.tables.get(key).await {
        Ok(row) => {
            let value = row.as_ref().map(|row| row.value.as_ref());
            (vec![row_words(key, value)], Vec::new())
        }
        Err(error) => (Vec::new(), vec![store_words(&error)]),
    }
}

async fn plan_words(platform: &Platform, id: &str) -> (Vec<String>, Vec<String>) {
    let key = keys::plan(&PlanId::from(id));
    let (mut words, unknown) = row(platform, &key).await;
    if let Ok(plan) = read_plan(&*platform.tables, id).await {
        words.push(plan.row.message.clone());
        if let Ok(body) = plan.body() {
            words.push(format!("it is to {}", body.summary));
        }
    }
    (words, unknown)
}

async fn job_words(platform: &Platform, id: &str) -> (Vec<String>, Vec<String>) {
    match list_jobs(&*platform.tables).await {
        Ok(jobs) => {
            let known = jobs.into_iter().find(|job| job.job == id);
            let words = known.map_or_else(
                || "no job of this id was found".to_owned(),
                |job| {
                    format!(
                        "it is {} for tenant {}, {} of {} items settled, due at {} (Unix s)",
                        job.phase, job.tenant, job.settled, job.items, job.deadline_unix_s
                    )
                },
            );
            (vec![words], Vec::new())
        }
        Err(failure) => (Vec::new(), vec![failure.to_string()]),
    }
}

fn store_words(error: &StoreError) -> String {
    format!("the table service: {error}")
}
