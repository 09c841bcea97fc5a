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

/// The deployment that is run if none is named.
const DEFAULT_DEPLOYMENT: &str = "examples/kigali";

/// Seed of the arrivals if none is given.
const DEFAULT_SEED: u64 = 20_261_203;

/// Runs deployments on embedded stand-ins and measures them
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(command))]
pub enum Command {
    /// Shows the main job: answers, a refusal, and recovery from the death of a stage
    #[bpaf(command("demo"))]
    Demo(#[bpaf(external(demo::command))] demo::Command),
    /// Measures admitted throughput over the bounds of the contracts
    #[bpaf(command("bound"))]
    Bound(#[bpaf(external(bound::command))] bound::Command),
    /// Measures the time from a fault to the next token
    #[bpaf(command("recover"))]
    Recover(#[bpaf(external(recover::command))] recover::Command),
    /// Shows the path on the operators' platform: answers, a refusal, a lost stage, a revoked key
    #[bpaf(command("platform"))]
    Platform(#[bpaf(external(platform::command))] platform::Command),
    /// Proposes which layers lie where on a site, with baselines and the cost of each loss
    #[bpaf(command("placement"))]
    Placement(#[bpaf(external(placement::command))] placement::Command),
    /// Measures how the costs of each role grow with the size of a deployment
    #[bpaf(command("slopes"))]
    Slopes(#[bpaf(external(slopes::command))] slopes::Command),
}

impl Command {
    /// Runs the subcommand; the exit code tells whether all came out right.
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

/// Directory of the deployment
fn deployment() -> impl Parser<PathBuf> {
    bpaf::long("deployment")
        .help("Directory of the deployment (default: examples/kigali)")
        .argument::<PathBuf>("DIR")
        .fallback(PathBuf::from(DEFAULT_DEPLOYMENT))
}

/// Reads the deployment, or says why that failed.
fn read(directory: &Path) -> Result<Config, ExitCode> {
    deployment::read(directory).map_err(|e| {
        eprintln!("{e}");
        ExitCode::FAILURE
    })
}

/// Seed of the random numbers
fn seed() -> impl Parser<u64> {
    bpaf::long("seed")
        .help("Seed of the arrivals (default: 20261203)")
        .argument::<u64>("N")
        .fallback(DEFAULT_SEED)
}

/// Keeps the figures of one case, printed for people unless JSON was asked for.
fn keep<T, E: Display>(
    figures: Result<T, E>,
    json: bool,
    print: impl Fn(&T),
    all: &mut Vec<T>,
) -> Result<(), ExitCode> {
    match figures {
        Ok(figures) => {
            if !json {
                print(&figures);
            }
            all.push(figures);
            Ok(())
        }
        Err(e) => {
            eprintln!("{e}");
            Err(ExitCode::FAILURE)
        }
    }
}

/// Draws bars into a file, or says why that failed.
fn write_plot(path: &Path, bars: &plot::Bars) {
    if let Err(e) = plot::bars(path, bars) {
        eprintln!("{e}");
    }
}

/// Prints the figures as JSON if that was asked for; the exit code tells whether all were met.
fn conclude<T: Serialize>(json: bool, figures: &T, met: bool) -> ExitCode {
    if json {
        println!("{}", serde_json::to_string_pretty(figures).unwrap_or_default());
    }
    if met { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
