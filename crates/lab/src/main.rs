use std::process::ExitCode;

fn main() -> ExitCode {
    dappleyard_lab::commands::main()
}
