//! `oriole-router`: an entry on the operators' platform.

use std::process::ExitCode;

fn main() -> ExitCode {
    oriole_router::cmd::main()
}
