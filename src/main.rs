//! The `ryevalve` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    ryevalve::cli::main(std::env::args_os().skip(1))
}
