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
        .about("Inspect the fleet, plan changes and confirm them")
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_arguments())
        .subcommand(Command::new("status").about("Show the fleet status"))
        .subcommand(watch())
        .subcommand(plan())
        .subcommand(
            Command::new("confirm")
                .about("Confirm a plan")
                .after_help("Example: dappleyard ctl confirm plan-1f0c2a9be4 --wait")
                .arg(plan_id())
                .arg(wait()),
        )
        .subcommand(
            Command::new("abort")
                .about("Abort a proposed or running plan")
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
            .help("Output format"),
        Arg::new("operator")
            .long("operator")
            .global(true)
            .value_name("NAME")
            .default_value("ctl")
            .help("Operator name recorded with the plans"),
        Arg::new("timeout-ms")
            .long("timeout-ms")
            .global(true)
            .value_name("MS")
            .value_parser(value_parser!(u64).range(1..))
            .default_value("10000")
            .help("Timeout of a request in milliseconds"),
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
        .help("Follow the plan until it ends")
}

fn confirm_now() -> Arg {
    Arg::new("confirm")
        .long("confirm")
        .action(ArgAction::SetTrue)
        .help("Confirm the plan immediately and follow it")
}

fn watch() -> Command {
    Command::new("watch")
        .about("Follow the fleet, or one plan until it ends")
        .after_help("Examples:\n  dappleyard ctl watch\n  dappleyard ctl watch plan-1f0c2a9be4")
        .arg(
            Arg::new("plan")
                .value_name("PLAN")
                .help("Plan id; the fleet if omitted"),
        )
        .arg(
            Arg::new("interval-ms")
                .long("interval-ms")
                .value_parser(value_parser!(u64).range(100..))
                .default_value("1000")
                .help("Interval between updates in milliseconds"),
        )
        .arg(
            Arg::new("count")
                .long("count")
                .value_parser(value_parser!(u64))
                .default_value("0")
                .help("Number of updates; 0 for no limit"),
        )
}

fn plan() -> Command {
    Command::new("plan")
        .about("Plan a change; nothing is executed before `confirm`")
        .after_help(
            "Examples:\n  dappleyard ctl plan rollout fittings-llm v8\n  dappleyard ctl plan drain server howrah-hall-s3\n  dappleyard ctl plan tenant yard-counter --requests-per-s 50\n  dappleyard ctl plan window dispatch --service yard-assist --start 17:30 --end 20:00 --warm-before-s 600",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(rollout())
        .subcommand(drain_command("drain", "Take servers or a node out of service"))
        .subcommand(drain_command("undrain", "Return drained servers or a node to service"))
        .subcommand(tenant())
        .subcommand(window())
        .subcommand(
            Command::new("remove-window")
                .about("Remove a demand window")
                .arg(Arg::new("name").required(true)),
        )
        .subcommand(model_set())
        .subcommand(batch_job("batch-job", "Approve a planned batch job"))
        .subcommand(
            Command::new("json")
                .about("An intent as JSON, as documented in docs/operate/plans.md")
                .arg(Arg::new("intent").required(true)),
        )
}

fn rollout() -> Command {
    Command::new("rollout")
        .about("Roll out a new version to all servers of a service, canaries first")
        .after_help("Example: dappleyard ctl rollout fittings-llm v8 --canary-percent 20 --confirm")
        .arg(Arg::new("service").required(true).help("Service"))
        .arg(Arg::new("version").required(true).help("New version"))
        .arg(
            Arg::new("canary-percent")
                .long("canary-percent")
                .value_parser(value_parser!(u32).range(1..=100))
                .default_value("10")
                .help("Percentage of servers that load it first"),
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
        .about("Set limits and standing approvals of a tenant; omitted values are kept")
        .arg(Arg::new("name").required(true))
        .arg(rate(
            "requests-per-s",
            "Requests per second in the whole fleet; 0 for no limit",
        ))
        .arg(rate("requests-burst", "Burst size"))
        .arg(
            Arg::new("concurrent-tokens")
                .long("concurrent-tokens")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .help("Tokens of all requests in progress; 0 for no limit"),
        )
        .arg(number(
            "batch-weight",
            "Weight in fair sharing of batch capacity",
        ))
        .arg(number(
            "standing-batch-items",
            "Batch jobs up to this many items need no confirmation",
        ))
}

fn window() -> Command {
    Command::new("window")
        .about("Declare a demand window: batch work is reduced, models are loaded in advance")
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
            "Batch concurrency during the window, percent of normal [default: 0]",
        ))
        .arg(number(
            "warm-before-s",
            "Time before the start at which models are loaded, seconds [default: 0]",
        ))
}

fn model_set() -> Command {
    Command::new("model-set")
        .about("Create or change a service; omitted values are kept")
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
        .arg(number(
            "replicas",
            "Number of servers that load it; 0 for all",
        ))
        .arg(number(
            "online-slowdown-percent",
            "Allowed slowdown of online steps, percent",
        ))
        .arg(number(
            "max-unavailable-zone",
            "Limit on unavailable servers per zone",
        ))
        .arg(number(
            "max-unavailable-total",
            "Limit on unavailable servers in total",
        ))
        .arg(number(
            "max-prompt-tokens",
            "Maximum prompt length in tokens",
        ))
        .arg(number(
            "max-output-tokens",
            "Maximum output length in tokens",
        ))
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
                .about("Explain the decisions about a job")
                .arg(Arg::new("job").required(true)),
        )
        .subcommand(batch_job("plan", "Plan the approval of a job that needs confirmation"))
}

fn get() -> Command {
    Command::new("get")
        .about("Show current state")
        .after_help(
            "Examples:\n  dappleyard ctl get plans\n  dappleyard ctl get plan plan-1f0c2a9be4",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("plans").about("Plans, newest first"))
        .subcommand(Command::new("plan").about("One plan").arg(plan_id()))
        .subcommand(Command::new("servers").about("Servers"))
        .subcommand(Command::new("nodes").about("Nodes known to the queried node"))
        .subcommand(
            Command::new("configuration").about("Configuration in force on the queried node"),
        )
        .subcommand(Command::new("jobs").about("Batch jobs"))
        .subcommand(Command::new("decisions").about("Latest decision records of the queried node"))
}

fn explain() -> Command {
    Command::new("explain")
        .about("Explain the decisions about a subject, with causes and inputs")
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
