//! Executes commands.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

use clap::ArgMatches;
use dappleyard_operate::api::bodies::{ConfigurationBody, ConfirmBody, ProposeBody};
use dappleyard_operate::explain::Explanation;
use dappleyard_operate::intent::Intent;
use dappleyard_operate::jobs::JobSummary;
use dappleyard_operate::plans::PlanDocument;
use dappleyard_operate::plans::store::PlanSummary;
use dappleyard_operate::status::{FleetStatus, ServerStatus};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client::{Client, CtlError};
use crate::command::DEFAULT_ADMIN;
use crate::intents;
use crate::tables;
use crate::watch;

/// Exit code for errors other than invalid usage.
const EXIT_REFUSED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    Table,
    Json,
}

/// Dependencies shared by all commands.
struct Context {
    client: Client,
    output: Output,
    operator: String,
}

/// Executes the command and returns the exit code.
pub fn run(matches: &ArgMatches) -> u8 {
    match actix_rt::System::new().block_on(execute(matches)) {
        Ok(()) => 0,
        Err(error) => {
            eprintln!("{error}");
            match error {
                CtlError::Usage { .. } => EXIT_USAGE,
                _ => EXIT_REFUSED,
            }
        }
    }
}

fn context(matches: &ArgMatches) -> Context {
    let addresses: Vec<String> = match matches.get_many::<String>("admin") {
        Some(addresses) => addresses.cloned().collect(),
        None => vec![DEFAULT_ADMIN.to_owned()],
    };
    let timeout_ms = matches.get_one::<u64>("timeout-ms").copied();
    let json = matches
        .get_one::<String>("output")
        .is_some_and(|form| form == "json");
    Context {
        client: Client::new(addresses, timeout_ms.unwrap_or(10_000)),
        output: if json { Output::Json } else { Output::Table },
        operator: text(matches, "operator"),
    }
}

fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

async fn execute(matches: &ArgMatches) -> Result<(), CtlError> {
    let context = context(matches);
    let Some((name, arguments)) = matches.subcommand() else {
        return Err(no_command());
    };
    match name {
        "status" => {
            show(&context, "/admin/v1/status", |status: &FleetStatus| {
                tables::status(status)
            })
            .await
        }
        "watch" => watch_command(&context, arguments).await,
        "plan" => {
            let (kind, arguments) = arguments.subcommand().ok_or_else(no_command)?;
            propose(&context, intents::intent(kind, arguments)?)
                .await
                .map(|_| ())
        }
        "confirm" => {
            confirm(
                &context,
                &text(arguments, "plan"),
                arguments.get_flag("wait"),
            )
            .await
        }
        "abort" => {
            let path = format!("/admin/v1/plans/{}/abort", text(arguments, "plan"));
            let plan: PlanDocument = context.client.post(&path, &ConfirmBody::default()).await?;
            context.print(&plan, tables::progress);
            Ok(())
        }
        "get" => get(&context, arguments).await,
        "explain" => explain(&context, &text(arguments, "kind"), &text(arguments, "id")).await,
        "drain" => {
            let intent = Intent::Drain(intents::drain_target(arguments)?);
            propose_and_confirm(&context, intent, arguments).await
        }
        "rollout" => {
            let intent = Intent::Rollout(intents::rollout(arguments));
            propose_and_confirm(&context, intent, arguments).await
        }
        "job" => job(&context, arguments).await,
        _ => Err(no_command()),
    }
}

fn no_command() -> CtlError {
    CtlError::Usage {
        message: "missing command".to_owned(),
    }
}

impl Context {
    fn print<T: Serialize>(&self, value: &T, render: impl FnOnce(&T) -> String) {
        match self.output {
            Output::Table => println!("{}", render(value)),
            Output::Json => print_json(value),
        }
    }
}

/// Prints a value as single-line JSON.
pub fn print_json(value: &impl Serialize) {
    match serde_json::to_string(value) {
        Ok(json) => println!("{json}"),
        Err(error) => eprintln!("cannot encode the response as JSON: {error}"),
    }
}

async fn show<T: Serialize + DeserializeOwned>(
    context: &Context,
    path: &str,
    render: impl FnOnce(&T) -> String,
) -> Result<(), CtlError> {
    let value: T = context.client.get(path).await?;
    context.print(&value, render);
    Ok(())
}

async fn watch_command(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    if let Some(plan) = arguments.get_one::<String>("plan") {
        return watch::follow(&context.client, plan, context.output).await;
    }
    let interval_ms = arguments.get_one::<u64>("interval-ms").copied();
    let count = arguments.get_one::<u64>("count").copied();
    watch::fleet(
        &context.client,
        interval_ms.unwrap_or(1_000),
        count.unwrap_or(0),
        context.output,
    )
    .await
}

async fn propose(context: &Context, intent: Intent) -> Result<PlanDocument, CtlError> {
    let body = ProposeBody {
        intent,
        operator: context.operator.clone(),
    };
    let plan: PlanDocument = context.client.post("/admin/v1/plans", &body).await?;
    context.print(&plan, tables::plan);
    Ok(plan)
}

async fn confirm(context: &Context, plan: &str, wait: bool) -> Result<(), CtlError> {
    let path = format!("/admin/v1/plans/{plan}/confirm");
    let body = ConfirmBody { token: token() };
    let confirmed: PlanDocument = context.client.post(&path, &body).await?;
    context.print(&confirmed, tables::progress);
    if wait {
        watch::follow(&context.client, plan, context.output).await?;
    }
    Ok(())
}

/// Random idempotency token, by which a node recognizes a repeated confirmation.
fn token() -> String {
    let part = || RandomState::new().build_hasher().finish();
    format!("{:016x}{:016x}", part(), part())
}

async fn propose_and_confirm(
    context: &Context,
    intent: Intent,
    arguments: &ArgMatches,
) -> Result<(), CtlError> {
    let plan = propose(context, intent).await?;
    if arguments.get_flag("confirm") {
        confirm(context, &plan.id, true).await?;
    } else if arguments.get_flag("wait") {
        return Err(CtlError::Usage {
            message: format!(
                "the plan is not confirmed: run `dappleyard ctl confirm {}`; --wait requires --confirm",
                plan.id
            ),
        });
    }
    Ok(())
}

async fn explain(context: &Context, kind: &str, id: &str) -> Result<(), CtlError> {
    let path = format!("/admin/v1/explain/{kind}/{id}");
    show(context, &path, |explanation: &Explanation| {
        tables::explanation(explanation)
    })
    .await
}

async fn job(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    match arguments.subcommand() {
        Some(("list", _)) => jobs(context).await,
        Some(("explain", arguments)) => explain(context, "job", &text(arguments, "job")).await,
        Some(("plan", arguments)) => {
            let intent = Intent::BatchJob(intents::batch_job(arguments));
            propose(context, intent).await.map(|_| ())
        }
        _ => Err(no_command()),
    }
}

async fn jobs(context: &Context) -> Result<(), CtlError> {
    show(context, "/admin/v1/jobs", |jobs: &Vec<JobSummary>| {
        tables::jobs(jobs).to_string()
    })
    .await
}

async fn get(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    match arguments.subcommand() {
        Some(("plans", _)) => {
            show(context, "/admin/v1/plans", |plans: &Vec<PlanSummary>| {
                tables::plans(plans).to_string()
            })
            .await
        }
        Some(("plan", arguments)) => {
            let path = format!("/admin/v1/plans/{}", text(arguments, "plan"));
            show(context, &path, |plan: &PlanDocument| tables::plan(plan)).await
        }
        Some(("servers", _)) => {
            show(
                context,
                "/admin/v1/servers",
                |servers: &Vec<ServerStatus>| tables::servers(servers).to_string(),
            )
            .await
        }
        Some(("nodes", _)) => {
            show(context, "/admin/v1/status", |status: &FleetStatus| {
                tables::nodes(&status.nodes).to_string()
            })
            .await
        }
        Some(("configuration", _)) => {
            show(
                context,
                "/admin/v1/configuration",
                |answer: &ConfigurationBody| tables::configuration(answer),
            )
            .await
        }
        Some(("jobs", _)) => jobs(context).await,
        Some(("decisions", _)) => {
            show(
                context,
                "/admin/v1/decisions",
                |records: &serde_json::Value| {
                    serde_json::to_string_pretty(records).unwrap_or_default()
                },
            )
            .await
        }
        _ => Err(no_command()),
    }
}
