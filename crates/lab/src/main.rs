//! The `dappleyard-lab` binary: parses the command line and runs the selected experiment.

use std::process::ExitCode;

fn main() -> ExitCode {
    dappleyard_lab::commands::main()
}
