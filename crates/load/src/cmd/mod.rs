//! The subcommands of `oriole-load`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Bpaf, Parser};
use oriole_core::config::Config;

use crate::deployment;

pub mod demo;

/// The deployment that is run if none is named.
const DEFAULT_DEPLOYMENT: &str = "examples/kigali";

/// Runs deployments on embedded stand-ins and measures them
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(command))]
pub enum Command {
    /// Shows the main job: answers, a refusal, and recovery from the death of a stage
    #[bpaf(command("demo"))]
    Demo(#[bpaf(external(demo::command))] demo::Command),
}

impl Command {
    /// Runs the subcommand; the exit code tells whether all came out right.
    pub async fn execute(self) -> ExitCode {
        match self {
            Self::Demo(command) => command.execute().await,
        }
    }
}

/// Directory of the deployment
fn deployment() -> impl Parser<PathBuf> {
    bpaf::long("deployment")
        .help("Directory of the deployment (default: examples/kigali)")
        .argument::<PathBuf>("DIR")
        .fallback(PathBuf::from(DEFAULT_DEPLOYMENT))
}

/// Reads the deployment, or says why that failed.
fn read(directory: &std::path::Path) -> Result<Config, ExitCode> {
    deployment::read(directory).map_err(|e| {
        eprintln!("{e}");
        ExitCode::FAILURE
    })
}
