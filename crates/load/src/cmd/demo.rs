//! `oriole-load demo`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use serde_json::Value;

use crate::cluster::{Cluster, Options};
use crate::demo::{self, Part};

/// Flags of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    #[bpaf(external(super::deployment))]
    deployment: PathBuf,
    /// Prints the outcome as JSON
    json: bool,
}

impl Command {
    pub(super) async fn execute(self) -> ExitCode {
        let config = match super::read(&self.deployment) {
            Ok(config) => config,
            Err(code) => return code,
        };
        eprintln!("starting {} on embedded stand-ins", self.deployment.display());
        let mut cluster = match Cluster::start(config, Options::default()) {
            Ok(cluster) => cluster,
            Err(e) => {
                eprintln!("{e}");
                return ExitCode::FAILURE;
            }
        };
        let json = self.json;
        let progress = |part: &Part| {
            if !json {
                print(part);
            }
        };
        let parts = demo::run(&mut cluster, progress).await;
        if json {
            println!("{}", serde_json::to_string_pretty(&parts).unwrap_or_default());
        }
        if parts.iter().all(|part| part.right) {
            eprintln!("all came out right");
            ExitCode::SUCCESS
        } else {
            eprintln!("NOT all came out right");
            ExitCode::FAILURE
        }
    }
}

fn print(part: &Part) {
    let verdict = if part.right { "right" } else { "WRONG" };
    println!("{verdict}  {}: {}", part.title, part.seen);
    if let Some(request) = &part.request {
        println!("       request {request}");
    }
    if part.explain != Value::Null {
        let text = serde_json::to_string_pretty(&part.explain).unwrap_or_default();
        for line in text.lines() {
            println!("       {line}");
        }
    }
}
