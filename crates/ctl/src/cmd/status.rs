//! `oriolectl status`.

use std::fmt;
use std::path::PathBuf;

use bpaf::Bpaf;
use oriole_adapter::documents;
use oriole_core::config::Config;
use oriole_core::name;
use oriole_macros::data;

use super::Context;
use crate::Error;
use crate::fleet::{Fleet, Report, Rollout};

/// Arguments of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    /// Folder of documents to find the processes in if the key-value service cannot be reached
    #[bpaf(argument("DIR"), optional)]
    dir: Option<PathBuf>,
}

/// The state of a deployment, as far as it can be read.
#[data]
struct State {
    /// Revision in the key-value service; `None` if its configuration cannot be read.
    accepted: Option<u64>,
    /// Why the configuration cannot be read.
    failure: Option<String>,
    /// Endpoints that operators have drained.
    drained: Vec<name::Endpoint>,
    /// Latest revision that the service or any process has, which is to be in force.
    revision: u64,
    processes: Vec<Report>,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.accepted, &self.failure) {
            (Some(number), _) if *number < self.revision => {
                writeln!(f, "key-value service: OLDER CONTENTS, revision {number}")?;
            }
            (Some(number), _) => writeln!(f, "key-value service: revision {number}")?,
            (None, failure) => {
                let failure = failure.as_deref().unwrap_or("cannot be reached");
                writeln!(f, "key-value service: {failure}")?;
                writeln!(f, "  changes cannot be accepted until it is available again")?;
            }
        }
        for endpoint in &self.drained {
            writeln!(f, "drained: {endpoint}")?;
        }
        for report in &self.processes {
            let Some(status) = &report.status else {
                writeln!(f, "{}: no response", report.host)?;
                continue;
            };
            let marker = if status.revision < self.revision { " BEHIND" } else { "" };
            write!(f, "{}: {}, revision {}{marker}", report.host, status.ready, status.revision)?;
            writeln!(f, ", key-value service {}", status.kv)?;
        }
        Ok(())
    }
}

impl Command {
    pub(super) async fn execute(self, context: &Context) -> Result<(), Error> {
        let (found, failure) = match context.store.config().await {
            Ok(found) => (Some(found), None),
            Err(e) => (None, Some(e)),
        };
        let accepted = found.as_ref().map(|(number, _)| *number);
        let config = match (found, &self.dir) {
            (Some((_, config)), _) => Some(config),
            (None, Some(folder)) => Some(Config::load(&documents::read(folder)?)?),
            (None, None) => None,
        };
        let fleet = Fleet::new(&context.settings, config.as_ref());
        let processes = fleet.reports().await;
        let known = processes.iter().filter_map(|r| r.status.as_ref()).map(|s| s.revision);
        let revision = known.chain(accepted).max().unwrap_or(0);
        let endpoints = config.map(|config| config.endpoints).unwrap_or_default();
        let drained = endpoints.into_iter().filter(|(_, e)| e.drain).map(|(name, _)| name);
        let state = State {
            accepted,
            failure: failure.as_ref().map(Error::to_string),
            drained: drained.collect(),
            revision,
            processes,
        };
        context.format.print(&state);
        if let Some(e) = failure {
            return Err(e);
        }
        check_state(state)
    }
}

/// Fails if the service holds an older revision than a process, or if a process is behind.
fn check_state(state: State) -> Result<(), Error> {
    let (revision, found) = (state.revision, state.accepted.unwrap_or(0));
    if found < revision {
        return Err(Error::SetBack { found, known: revision });
    }
    let processes = state.processes.len();
    let behind = |r: &Report| r.status.as_ref().is_none_or(|s| s.revision < revision);
    let behind: Vec<Report> = state.processes.into_iter().filter(behind).collect();
    match behind.is_empty() {
        true => Ok(()),
        false => Err(Error::NotInForce(Rollout { revision, processes, behind })),
    }
}
