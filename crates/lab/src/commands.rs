//! The command line; [`SUBCOMMANDS`] lists the subcommands.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

struct Subcommand {
    command: fn() -> Command,
    run: fn(&ArgMatches) -> ExitCode,
}

/// Subcommands in the order of `--help`.
const SUBCOMMANDS: &[Subcommand] = &[
    Subcommand {
        command: crate::run::command,
        run: crate::run::run,
    },
    Subcommand {
        command: crate::overhead::overhead_command,
        run: crate::overhead::run_overhead,
    },
    Subcommand {
        command: crate::overhead::overload_command,
        run: crate::overhead::run_overload,
    },
    Subcommand {
        command: crate::compare::command,
        run: crate::compare::run,
    },
    Subcommand {
        command: crate::capacity::command,
        run: crate::capacity::run,
    },
    Subcommand {
        command: crate::report::command,
        run: crate::report::run,
    },
    Subcommand {
        command: crate::tradeoff::command,
        run: crate::tradeoff::run,
    },
    Subcommand {
        command: crate::replay::command,
        run: crate::replay::run,
    },
    Subcommand {
        command: crate::model::command,
        run: crate::model::run,
    },
    Subcommand {
        command: crate::standins::command,
        run: crate::standins::run,
    },
];

pub fn command() -> Command {
    Command::new("dappleyard-lab")
        .version(clap::crate_version!())
        .about("Experiments with dappleyard: load, faults, invariants, capacity, replay")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(SUBCOMMANDS.iter().map(|subcommand| (subcommand.command)()))
}

/// Parses the process arguments and runs the subcommand.
pub fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_env_filter(
            tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "warn".into()),
        )
        .with_writer(std::io::stderr)
        .init();
    let matches = command().get_matches();
    let Some((name, arguments)) = matches.subcommand() else {
        return ExitCode::from(2);
    };
    SUBCOMMANDS
        .iter()
        .find(|subcommand| (subcommand.command)().get_name() == name)
        .map_or(ExitCode::from(2), |subcommand| (subcommand.run)(arguments))
}
