//! The subcommands of `oriole-load`.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::{Bpaf, Parser};
use oriole_core::config::Config;
use serde::Serialize;

use crate::{deployment, plot};

pub mod bound;
pub mod demo;
pub mod placement;
pub mod platform;
pub mod recover;
pub mod slopes;

/// Deployment that runs unless another one is given.
const DEFAULT_DEPLOYMENT: &str = "examples/kigali";

/// Seed of the arrivals unless another one is given.
const DEFAULT_SEED: u64 = 20_261_203;

/// Runs deployments on embedded stand-ins and measures them
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(command))]
pub enum Command {
    /// Checks the main functions: answers, a refusal, and recovery from the death of a stage
    #[bpaf(command("demo"))]
    Demo(#[bpaf(external(demo::command))] demo::Command),
    /// Measures admitted throughput relative to the limits of the contracts
    #[bpaf(command("bound"))]
    Bound(#[bpaf(external(bound::command))] bound::Command),
    /// Measures the time from a fault to the next token
    #[bpaf(command("recover"))]
    Recover(#[bpaf(external(recover::command))] recover::Command),
    /// Checks the operators' platform router: answers, a refusal, a lost stage, a revoked key
    #[bpaf(command("platform"))]
    Platform(#[bpaf(external(platform::command))] platform::Command),
    /// Proposes a placement of layers for a site, with baselines and the cost of each loss
    #[bpaf(command("placement"))]
    Placement(#[bpaf(external(placement::command))] placement::Command),
    /// Measures how the costs of each role grow with the size of a deployment
    #[bpaf(command("slopes"))]
    Slopes(#[bpaf(external(slopes::command))] slopes::Command),
}

impl Command {
    /// Runs the subcommand; returns success if all checks passed and all targets were met.
    pub async fn execute(self) -> ExitCode {
        match self {
            Self::Demo(command) => command.execute().await,
            Self::Bound(command) => command.execute().await,
            Self::Recover(command) => command.execute().await,
            Self::Platform(command) => command.execute().await,
            Self::Placement(command) => command.execute(),
            Self::Slopes(command) => command.execute().await,
        }
    }
}

/// Parses the directory of the deployment.
fn deployment() -> impl Parser<PathBuf> {
    bpaf::long("deployment")
        .help("Directory of the deployment (default: examples/kigali)")
        .argument::<PathBuf>("DIR")
        .fallback(PathBuf::from(DEFAULT_DEPLOYMENT))
}

/// Reads the deployment, or prints the error and returns the exit code.
fn read_deployment(directory: &Path) -> Result<Config, ExitCode> {
    deployment::read(directory).map_err(|e| {
        eprintln!("{e}");
        ExitCode::FAILURE
    })
}

/// Parses the seed of the arrivals.
fn seed() -> impl Parser<u64> {
    bpaf::long("seed")
        .help("Seed of the arrivals (default: 20261203)")
        .argument::<u64>("N")
        .fallback(DEFAULT_SEED)
}

/// Adds the report of one case to `reports`, and prints it unless `json` is set.
///
/// Prints the error and returns the exit code if the case could not run.
fn record<T, E: Display>(
    report: Result<T, E>,
    json: bool,
    print: impl Fn(&T),
    reports: &mut Vec<T>,
) -> Result<(), ExitCode> {
    match report {
        Ok(report) => {
            if !json {
                print(&report);
            }
            reports.push(report);
            Ok(())
        }
        Err(e) => {
            eprintln!("{e}");
            Err(ExitCode::FAILURE)
        }
    }
}

/// Draws bars into a file, or prints the error.
fn write_plot(path: &Path, bars: &plot::Bars) {
    if let Err(e) = plot::bars(path, bars) {
        eprintln!("{e}");
    }
}

/// Prints the report as JSON if `json` is set; returns success if `met` is set.
fn finish<T: Serialize>(json: bool, report: &T, met: bool) -> ExitCode {
    if json {
        println!("{}", serde_json::to_string_pretty(report).unwrap_or_default());
    }
    if met { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
