//! `dappleyard-lab model`: explores the protocol specifications.

use std::process::ExitCode;
use std::time::Instant;

use clap::{Arg, ArgMatches, Command, value_parser};
use dappleyard_spec::catalogue::{CatalogueEntry, SPECIFICATIONS, find};
use dappleyard_spec::checker::Exploration;

pub fn command() -> Command {
    let names: Vec<&str> = SPECIFICATIONS.iter().map(|entry| entry.name).collect();
    Command::new("model")
        .about("Explores the protocol specifications and prints states and counterexamples")
        .long_about(format!(
            "Explores the protocol specifications breadth first and prints the number of states, \
             the bounds, and the shortest counterexample if a property is violated.\n\n{}",
            listing()
        ))
        .arg(
            Arg::new("spec")
                .long("spec")
                .value_name("NAME")
                .help("Explores only this specification")
                .value_parser(names),
        )
        .arg(
            Arg::new("mutant")
                .long("mutant")
                .value_name("NAME")
                .requires("spec")
                .help("Applies this mutant to the specification; the exploration must detect it"),
        )
        .arg(
            Arg::new("faults")
                .long("faults")
                .value_name("N")
                .help("Most faults in one run; by default the thorough bound of each specification")
                .value_parser(value_parser!(u8)),
        )
        .after_help(
            "Examples:\n  dappleyard-lab model\n  dappleyard-lab model --spec once --mutant \
             retry-after-maybe",
        )
}

/// Exits with 0 if every property holds or the mutant is detected, 1 if not, 2 on invalid usage.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let chosen = arguments.get_one::<String>("spec");
    let faults = arguments.get_one::<u8>("faults").copied();
    if let Some(mutant) = arguments.get_one::<String>("mutant") {
        return run_mutant(chosen.map_or("", String::as_str), mutant, faults);
    }
    let mut holds = true;
    for entry in SPECIFICATIONS {
        if chosen.is_none_or(|name| name == entry.name) {
            let found = timed(entry.name, || entry.explore(faults.unwrap_or(entry.faults)));
            holds &= found.counterexample.is_none();
        }
    }
    exit_code(holds)
}

fn run_mutant(name: &str, mutant: &str, faults: Option<u8>) -> ExitCode {
    let Some(entry) = find(name) else {
        return ExitCode::from(2);
    };
    if !entry.mutants.iter().any(|known| known.name == mutant) {
        eprintln!(
            "specification {name} has no mutant {mutant}; known mutants: {}",
            mutants(entry)
        );
        return ExitCode::from(2);
    }
    let faults = faults.unwrap_or(entry.faults);
    let mut caught = false;
    timed(&format!("{name} with mutant {mutant}"), || {
        let found = entry.explore_mutant(mutant, faults);
        caught = found
            .as_ref()
            .is_some_and(|found| found.counterexample.is_some());
        found.unwrap_or_else(|| entry.explore(faults))
    });
    if !caught {
        println!("the mutant was not detected");
    }
    exit_code(caught)
}

fn timed(name: &str, explore: impl FnOnce() -> Exploration) -> Exploration {
    let started = Instant::now();
    let found = explore();
    println!(
        "{name} ({:.1} s): {found}\n",
        started.elapsed().as_secs_f64()
    );
    found
}

fn exit_code(good: bool) -> ExitCode {
    if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn listing() -> String {
    let lines: Vec<String> = SPECIFICATIONS
        .iter()
        .map(|entry| {
            format!(
                "  {}: {} (mutants: {})",
                entry.name,
                entry.about,
                mutants(entry)
            )
        })
        .collect();
    lines.join("\n")
}

fn mutants(entry: &CatalogueEntry) -> String {
    let names: Vec<&str> = entry.mutants.iter().map(|mutant| mutant.name).collect();
    names.join(", ")
}
