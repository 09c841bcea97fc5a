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
use crate::fleet::{Fleet, Missing, Report};

/// Flags of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    /// Folder of documents that names the processes while the key-value service is out of reach
    #[bpaf(argument("DIR"), optional)]
    dir: Option<PathBuf>,
}

/// The state of a deployment.
#[data]
struct State {
    /// Revision in the key-value service, `None` if it cannot be reached.
    accepted: Option<u64>,
    /// Why it cannot be reached.
    failure: Option<String>,
    /// Endpoints that operators have drained.
    drained: Vec<name::Endpoint>,
    /// Revision that is to be in force: the latest that is known.
    revision: u64,
    processes: Vec<Report>,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.accepted, &self.failure) {
            (Some(number), _) if *number < self.revision => {
                writeln!(f, "key-value service: WENT BACK to revision {number}")?;
            }
            (Some(number), _) => writeln!(f, "key-value service: revision {number}")?,
            (None, failure) => {
                let failure = failure.as_deref().unwrap_or("cannot be reached");
                writeln!(f, "key-value service: {failure}")?;
                writeln!(f, "  changes cannot be accepted until it is back")?;
            }
        }
        for endpoint in &self.drained {
            writeln!(f, "drained: {endpoint}")?;
        }
        for report in &self.processes {
            let Some(status) = &report.status else {
                writeln!(f, "{}: no answer", report.host)?;
                continue;
            };
            let late = if status.revision < self.revision { " BEHIND" } else { "" };
            write!(f, "{}: {}, revision {}{late}", report.host, status.ready, status.revision)?;
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
        context.form.print(&state);
        if let Some(e) = failure {
            return Err(e);
        }
        verdict(state)
    }
}

/// Fails if the service went back, or a process is behind.
fn verdict(state: State) -> Result<(), Error> {
    let (revision, found) = (state.revision, state.accepted.unwrap_or(0));
    if found < revision {
        return Err(Error::SetBack { found, known: revision });
    }
    let processes = state.processes.len();
    let behind = |r: &Report| r.status.as_ref().is_none_or(|s| s.revision < revision);
    let behind: Vec<Report> = state.processes.into_iter().filter(behind).collect();
    match behind.is_empty() {
        true => Ok(()),
        false => Err(Error::NotInForce(Missing { revision, processes, behind })),
    }
}
