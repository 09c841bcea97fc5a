//! `oriole-router`: an entry on the users' platform.

use std::process::ExitCode;

fn main() -> ExitCode {
    oriole_router::cmd::main()
}
