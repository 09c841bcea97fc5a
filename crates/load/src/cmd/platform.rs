//! `oriole-load platform`: checks the router of the operators' platform.

use std::process::ExitCode;

use bpaf::Bpaf;

use super::demo;
use crate::platform;

/// Flags of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    /// Prints the outcome as JSON
    json: bool,
}

impl Command {
    pub(super) async fn execute(self) -> ExitCode {
        let json = self.json;
        let outcome = platform::run(|check| {
            if !json {
                demo::print(check);
            }
        });
        match outcome.await {
            Ok(checks) => demo::finish(&checks, json),
            Err(e) => {
                eprintln!("{e}");
                ExitCode::FAILURE
            }
        }
    }
}
