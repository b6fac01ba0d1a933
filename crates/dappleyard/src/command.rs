//! Definition of the command line.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, crate_version, value_parser};
use clap_complete::Shell;

use crate::{flags, logging};

pub fn command() -> Command {
    Command::new("dappleyard")
        .version(crate_version!())
        .about("Online and batch inference on one shared fleet")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve())
        .subcommand(node())
        .subcommand(sidecar())
        .subcommand(explain())
        .subcommand(check())
        .subcommand(zones())
        .subcommand(dappleyard_ctl::command())
        .subcommand(completions())
}

fn serve() -> Command {
    Command::new("serve")
        .about("Runs one node on the users' platform: caller requests, directory and batch jobs")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help(
                    "Settings file of the platform; defaults to the one named by the environment",
                ),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .value_name("PORT")
                .value_parser(value_parser!(u16).range(1..))
                .help("Port that serves metrics at /metrics; without it metrics are not served"),
        )
        .arg(
            Arg::new("quiet")
                .long("quiet")
                .action(clap::ArgAction::SetTrue)
                .help("Writes no decision records"),
        )
        .after_help("Example:\n  dappleyard serve --settings /etc/dappleyard/node.toml")
}

fn node() -> Command {
    Command::new("node")
        .about("Runs a node, which routes work from sidecars to engines")
        .args(logging::arguments())
        .args(flags::node_arguments())
        .after_help("Example:\n  dappleyard node --config node.toml --id node-3 --zone zone-2")
}

fn sidecar() -> Command {
    Command::new("sidecar")
        .about("Runs the sidecar of a caller: an OpenAI-compatible API on loopback")
        .args(logging::arguments())
        .args(flags::sidecar_arguments())
        .after_help("Example:\n  dappleyard sidecar --listen 127.0.0.1:8080 --node 10.0.0.7:7700")
}

fn explain() -> Command {
    Command::new("explain")
        .about("Prints the history of a request or job, or a summary of all, from decision records")
        .arg(
            Arg::new("log")
                .long("log")
                .required(true)
                .value_name("FILE")
                .help("Decision records, one per line; - for standard input"),
        )
        .arg(
            Arg::new("id")
                .required_unless_present("summary")
                .value_name("ID")
                .help("Identifier of a request, job or item, or name of a zone"),
        )
        .arg(
            Arg::new("summary")
                .long("summary")
                .action(clap::ArgAction::SetTrue)
                .conflicts_with("id")
                .help("Counts all requests and item runs by outcome and cause"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(clap::ArgAction::SetTrue)
                .requires("summary")
                .help("Prints the summary as JSON"),
        )
        .after_help(
            "Example:\n  dappleyard explain --log node.log 9c41d07be2a35f68\n  \
             dappleyard explain --log node.log --summary",
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Reads a settings file and prints the effective settings, or every error in it")
        .arg(
            Arg::new("file")
                .required(true)
                .value_name("FILE")
                .help("Settings file"),
        )
        .arg(
            Arg::new("kind")
                .long("kind")
                .value_parser(["node", "serve", "sidecar"])
                .default_value("node")
                .help("Program that the settings are for"),
        )
        .after_help(
            "Example:\n  dappleyard check node.toml\n  dappleyard check --kind sidecar s.toml",
        )
}

fn zones() -> Command {
    Command::new("zones")
        .about("Prints whether each zone is evacuated, and what still runs there")
        .arg(
            Arg::new("node")
                .long("node")
                .required(true)
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .help("Metrics address of any node"),
        )
        .after_help("Example:\n  dappleyard zones --node 10.0.0.7:9464")
}

fn completions() -> Command {
    Command::new("completions")
        .about("Prints a shell's completion script")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
        .after_help("Example:\n  dappleyard completions bash > /etc/bash_completion.d/dappleyard")
}

pub fn print_completions(arguments: &ArgMatches) -> ExitCode {
    if let Some(shell) = arguments.get_one::<Shell>("shell") {
        clap_complete::generate(*shell, &mut command(), "dappleyard", &mut std::io::stdout());
    }
    ExitCode::SUCCESS
}
