//! `oriolectl explain`.

use std::collections::BTreeMap;
use std::fmt;

use bpaf::Bpaf;
use futures_util::future::join_all;
use oriole_core::name;
use oriole_core::request::{Id, ParseError, host_hash};
use oriole_macros::data;
use serde_json::Value;

use super::Context;
use crate::Error;

/// Arguments of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    /// Also shows what each side did with the request
    sides: bool,
    /// Id of the request, from the answer's headers or problem details
    #[bpaf(positional::<String>("REQUEST-ID"), parse(parse))]
    request: Id,
}

fn parse(text: String) -> Result<Id, ParseError> {
    text.parse()
}

/// What the processes have recorded of a request, by host.
#[data]
struct Report {
    request: String,
    processes: BTreeMap<name::Host, Value>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.request)?;
        for (host, value) in &self.processes {
            let text = serde_json::to_string_pretty(value).unwrap_or_default();
            write!(f, "\n{host}")?;
            for line in text.lines() {
                write!(f, "\n  {line}")?;
            }
        }
        Ok(())
    }
}

impl Command {
    pub(super) async fn execute(self, context: &Context) -> Result<(), Error> {
        let fleet = context.fleet().await?;
        let path = format!("/v1/explain/{}", self.request);
        let entry = fleet.hosts().find(|host| host_hash(host) == self.request.host);
        let what = format!("entry that took {}", self.request);
        let entry = entry.ok_or(Error::NotFound { what })?.clone();
        let queried: Vec<&name::Host> =
            fleet.hosts().filter(|host| self.sides || **host == entry).collect();
        let records = join_all(queried.iter().map(|host| fleet.get(host, &path))).await;
        let by_host = queried.into_iter().cloned().zip(records);
        let processes: BTreeMap<name::Host, Value> =
            by_host.filter_map(|(host, record)| Some((host, record?))).collect();
        if !processes.contains_key(&entry) {
            return Err(self.no_record(&fleet, entry).await);
        }
        context.format.print(&Report { request: self.request.to_string(), processes });
        Ok(())
    }

    /// Returns the error for an entry without a record: it has none any more, or does not respond.
    async fn no_record(&self, fleet: &crate::fleet::Fleet, entry: name::Host) -> Error {
        match fleet.get(&entry, "/v1/status").await {
            Some(_) => Error::NotFound { what: format!("record of {} at {entry}", self.request) },
            None => Error::NoResponse { host: entry },
        }
    }
}
