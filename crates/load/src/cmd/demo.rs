//! `oriole-load demo`: runs the demo and prints its checks.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use serde_json::Value;

use crate::cluster::{Cluster, Options};
use crate::demo::{self, Check};

/// Longest printed line of an explanation, in characters.
const MAX_LINE_CHARS: usize = 320;

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
        let config = match super::read_deployment(&self.deployment) {
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
        let progress = |check: &Check| {
            if !json {
                print(check);
            }
        };
        let checks = demo::run(&mut cluster, progress).await;
        finish(&checks, json)
    }
}

/// Prints the checks as JSON if `json` is set; returns success if all of them passed.
pub(super) fn finish(checks: &[Check], json: bool) -> ExitCode {
    if json {
        println!("{}", serde_json::to_string_pretty(&checks).unwrap_or_default());
    }
    if checks.iter().all(|check| check.passed) {
        eprintln!("all checks passed");
        ExitCode::SUCCESS
    } else {
        eprintln!("some checks FAILED");
        ExitCode::FAILURE
    }
}

pub(super) fn print(check: &Check) {
    let verdict = if check.passed { "right" } else { "WRONG" };
    println!("{verdict}  {}: {}", check.title, check.observed);
    if let Some(request) = &check.request {
        println!("       request {request}");
    }
    for fact in check.explain.get("facts").and_then(Value::as_array).into_iter().flatten() {
        println!("         {}", shorten(fact.clone()));
    }
}

/// Formats a fact as one line of bounded length, without the candidates that were not chosen.
fn shorten(mut fact: Value) -> String {
    if let Some(Value::Array(candidates)) = fact.pointer_mut("/fact/planned/choice/candidates") {
        candidates.retain(|candidate| candidate.get("chosen") == Some(&Value::Bool(true)));
    }
    let line = fact.to_string();
    match line.char_indices().nth(MAX_LINE_CHARS) {
        Some((end, _)) => format!("{}...", &line[..end]),
        None => line,
    }
}
