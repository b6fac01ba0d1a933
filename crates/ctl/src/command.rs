//! Command-line definition of `dappleyard ctl`.

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, Command, value_parser};

pub const DEFAULT_ADMIN: &str = "127.0.0.1:7702";

const EXAMPLES: &str = "\
Examples:
  dappleyard ctl status
  dappleyard ctl plan rollout fittings-llm v8 --canary-percent 20
  dappleyard ctl confirm plan-1f0c2a9be4
  dappleyard ctl drain zone khidirpur-hall --confirm
  dappleyard ctl watch plan-1f0c2a9be4
  dappleyard ctl explain server howrah-hall-s3
  dappleyard ctl get servers --output json

Exit code: 0 done, 1 refused or failed, 2 wrong usage.";

/// Returns the `ctl` subcommand.
pub fn command() -> Command {
    Command::new("ctl")
        .about("Look at the fleet, plan changes and confirm them")
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_arguments())
        .subcommand(Command::new("status").about("The fleet at a glance"))
        .subcommand(watch())
        .subcommand(plan())
        .subcommand(
            Command::new("confirm")
                .about("Let a plan act")
                .after_help("Example: dappleyard ctl confirm plan-1f0c2a9be4 --wait")
                .arg(plan_id())
                .arg(wait()),
        )
        .subcommand(
            Command::new("abort")
                .about("Close a plan, or stop it where it is")
                .arg(plan_id()),
        )
        .subcommand(get())
        .subcommand(explain())
        .subcommand(
            drain_command(
                "drain",
                "Plan a drain; with --confirm also confirm and follow it",
            )
            .arg(confirm_now())
            .arg(wait()),
        )
        .subcommand(rollout().arg(confirm_now()).arg(wait()))
        .subcommand(job())
}

fn global_arguments() -> [Arg; 4] {
    [
        Arg::new("admin")
            .long("admin")
            .value_name("HOST:PORT")
            .global(true)
            .action(ArgAction::Append)
            .help("Admin address of a node; several are tried in turn [default: 127.0.0.1:7702]"),
        Arg::new("output")
            .long("output")
            .short('o')
            .global(true)
            .value_parser(PossibleValuesParser::new(["table", "json"]))
            .default_value("table")
            .help("Tables for people, JSON for programs"),
        Arg::new("operator")
            .long("operator")
            .global(true)
            .value_name("NAME")
            .default_value("ctl")
            .help("Name kept with the plans that you make"),
        Arg::new("timeout-ms")
            .long("timeout-ms")
            .global(true)
            .value_name("MS")
            .value_parser(value_parser!(u64).range(1..))
            .default_value("10000")
            .help("Longest wait for one answer, milliseconds"),
    ]
}

fn plan_id() -> Arg {
    Arg::new("plan")
        .value_name("PLAN")
        .required(true)
        .help("Plan id")
}

fn wait() -> Arg {
    Arg::new("wait")
        .long("wait")
        .action(ArgAction::SetTrue)
        .help("Follow the plan until it is over")
}

fn confirm_now() -> Arg {
    Arg::new("confirm")
        .long("confirm")
        .action(ArgAction::SetTrue)
        .help("Confirm the plan at once, and follow it")
}

fn watch() -> Command {
    Command::new("watch")
        .about("Follow the fleet, or one plan until it is over")
        .after_help("Examples:\n  dappleyard ctl watch\n  dappleyard ctl watch plan-1f0c2a9be4")
        .arg(
            Arg::new("plan")
                .value_name("PLAN")
                .help("Plan id; left out: the fleet"),
        )
        .arg(
            Arg::new("interval-ms")
                .long("interval-ms")
                .value_parser(value_parser!(u64).range(100..))
                .default_value("1000")
                .help("Time between two looks, milliseconds"),
        )
        .arg(
            Arg::new("count")
                .long("count")
                .value_parser(value_parser!(u64))
                .default_value("0")
                .help("Looks before it ends; 0 for no end"),
        )
}

fn plan() -> Command {
    Command::new("plan")
        .about("Say what an intent would do; nothing acts before `confirm`")
        .after_help(
            "Examples:\n  dappleyard ctl plan rollout fittings-llm v8\n  dappleyard ctl plan drain server howrah-hall-s3\n  dappleyard ctl plan tenant yard-counter --requests-per-s 50\n  dappleyard ctl plan window dispatch --service yard-assist --start 17:30 --end 20:00 --warm-before-s 600",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(rollout())
        .subcommand(drain_command("drain", "Take servers or a node out of service"))
        .subcommand(drain_command("undrain", "Take drained servers or a node back"))
        .subcommand(tenant())
        .subcommand(window())
        .subcommand(
            Command::new("remove-window")
                .about("Withdraw a demand window")
                .arg(Arg::new("name").required(true)),
        )
        .subcommand(model_set())
        .subcommand(batch_job("batch-job", "Let a planned batch job run"))
        .subcommand(
            Command::new("json")
                .about("An intent as JSON, as documented in docs/operate/plans.md")
                .arg(Arg::new("intent").required(true)),
        )
}

fn rollout() -> Command {
    Command::new("rollout")
        .about("Bring a new version to all servers of a service, canaries first")
        .after_help("Example: dappleyard ctl rollout fittings-llm v8 --canary-percent 20 --confirm")
        .arg(Arg::new("service").required(true).help("Service"))
        .arg(Arg::new("version").required(true).help("New version"))
        .arg(
            Arg::new("canary-percent")
                .long("canary-percent")
                .value_parser(value_parser!(u32).range(1..=100))
                .default_value("10")
                .help("Share of servers that get it first"),
        )
}

fn drain_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("kind")
                .required(true)
                .value_parser(PossibleValuesParser::new([
                    "server", "node", "hall", "zone",
                ])),
        )
        .arg(Arg::new("name").required(true))
}

fn number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u32))
        .help(help)
}

fn rate(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("RATE")
        .value_parser(value_parser!(f64))
        .help(help)
}

fn tenant() -> Command {
    Command::new("tenant")
        .about("Limits and standing approvals of a tenant; what is left out stays")
        .arg(Arg::new("name").required(true))
        .arg(rate(
            "requests-per-s",
            "Requests a second in the whole fleet; 0 lifts the limit",
        ))
        .arg(rate("requests-burst", "Requests at once above that rate"))
        .arg(
            Arg::new("concurrent-tokens")
                .long("concurrent-tokens")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .help("Tokens of all requests in progress; 0 lifts the limit"),
        )
        .arg(number(
            "batch-weight",
            "Share of batch work relative to other tenants",
        ))
        .arg(number(
            "standing-batch-items",
            "Batch jobs up to this many items need no confirmation",
        ))
}

fn window() -> Command {
    Command::new("window")
        .about("Declare a demand window: batch shrinks, models are warm before it")
        .arg(Arg::new("name").required(true))
        .arg(Arg::new("service").long("service").required(true))
        .arg(
            Arg::new("start")
                .long("start")
                .required(true)
                .value_name("HH:MM")
                .help("UTC"),
        )
        .arg(
            Arg::new("end")
                .long("end")
                .required(true)
                .value_name("HH:MM")
                .help("UTC"),
        )
        .arg(
            Arg::new("days")
                .long("days")
                .value_name("DAYS")
                .default_value("mon,tue,wed,thu,fri,sat,sun"),
        )
        .arg(number(
            "batch-percent",
            "Batch width during the window, percent [default: 0]",
        ))
        .arg(number(
            "warm-before-s",
            "Load models this long before, seconds [default: 0]",
        ))
}

fn model_set() -> Command {
    Command::new("model-set")
        .about("Create or change a service; what is left out stays")
        .arg(Arg::new("service").required(true))
        .arg(
            Arg::new("version")
                .long("version")
                .help("Version of a new service"),
        )
        .arg(
            Arg::new("adapter")
                .long("adapter")
                .action(ArgAction::Append)
                .help("Adapter that each server loads; may be repeated"),
        )
        .arg(number("replicas", "Servers that carry it; 0 for all"))
        .arg(number(
            "online-slowdown-percent",
            "How much slower online steps may become",
        ))
        .arg(number(
            "max-unavailable-zone",
            "Servers of a zone that may be out at once",
        ))
        .arg(number(
            "max-unavailable-total",
            "Servers that may be out at once",
        ))
        .arg(number("max-prompt-tokens", "Longest prompt"))
        .arg(number("max-output-tokens", "Longest answer"))
}

fn batch_job(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(Arg::new("tenant").required(true))
        .arg(Arg::new("job").required(true))
}

fn job() -> Command {
    Command::new("job")
        .about("Batch jobs")
        .after_help("Examples:\n  dappleyard ctl job list\n  dappleyard ctl job explain job-12\n  dappleyard ctl job plan estimators job-12")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("All jobs"))
        .subcommand(
            Command::new("explain")
                .about("What was decided about a job, and why")
                .arg(Arg::new("job").required(true)),
        )
        .subcommand(batch_job("plan", "Plan to let a job run that waits for a confirmation"))
}

fn get() -> Command {
    Command::new("get")
        .about("Rows as they are")
        .after_help(
            "Examples:\n  dappleyard ctl get plans\n  dappleyard ctl get plan plan-1f0c2a9be4",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("plans").about("Plans, newest first"))
        .subcommand(Command::new("plan").about("One plan").arg(plan_id()))
        .subcommand(Command::new("servers").about("Servers"))
        .subcommand(Command::new("nodes").about("Nodes as the asked one believes them to be"))
        .subcommand(Command::new("configuration").about("Configuration in force on the asked node"))
        .subcommand(Command::new("jobs").about("Batch jobs"))
        .subcommand(Command::new("decisions").about("Latest decision records of the asked node"))
}

fn explain() -> Command {
    Command::new("explain")
        .about("What was decided about a subject, why, and from which inputs")
        .after_help("Examples:\n  dappleyard ctl explain server howrah-hall-s3\n  dappleyard ctl explain request 5f0c...")
        .arg(
            Arg::new("kind")
                .required(true)
                .value_parser(PossibleValuesParser::new([
                    "request", "job", "server", "service", "node", "plan",
                ])),
        )
        .arg(Arg::new("id").required(true))
}
