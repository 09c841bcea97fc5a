//! `oriole-load demo`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use serde_json::Value;

use crate::cluster::{Cluster, Options};
use crate::demo::{self, Part};

/// Characters of one line of an explanation.
const LINE_CHARS: usize = 320;

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
        conclude(&parts, json)
    }
}

/// Prints the outcome as JSON if that was asked for; the exit code tells whether all is right.
pub(super) fn conclude(parts: &[Part], json: bool) -> ExitCode {
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

pub(super) fn print(part: &Part) {
    let verdict = if part.right { "right" } else { "WRONG" };
    println!("{verdict}  {}: {}", part.title, part.seen);
    if let Some(request) = &part.request {
        println!("       request {request}");
    }
    for fact in part.explain.get("facts").and_then(Value::as_array).into_iter().flatten() {
        println!("         {}", shorten(fact.clone()));
    }
}

/// The fact without candidates that were not chosen, as one line of bounded length.
fn shorten(mut fact: Value) -> String {
    if let Some(Value::Array(candidates)) = fact.pointer_mut("/fact/planned/choice/candidates") {
        candidates.retain(|candidate| candidate.get("chosen") == Some(&Value::Bool(true)));
    }
    let line = fact.to_string();
    match line.char_indices().nth(LINE_CHARS) {
        Some((end, _)) => format!("{}...", &line[..end]),
        None => line,
    }
}
