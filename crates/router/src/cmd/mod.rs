//! The command line of `oriole-router`, with one module per subcommand.

pub mod check;
pub mod run;

use std::process::ExitCode;

use bpaf::Bpaf;

/// An entry on the platform.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs the entry with the settings that the environment names
    #[bpaf(command)]
    Run,
    /// Checks a settings file
    #[bpaf(command)]
    Check {
        /// The settings file
        #[bpaf(positional("SETTINGS"))]
        path: std::path::PathBuf,
    },
}

/// Parses the command line and runs the subcommand.
pub fn main() -> ExitCode {
    match command().run() {
        Command::Run => run::execute(),
        Command::Check { path } => check::execute(&path),
    }
}
