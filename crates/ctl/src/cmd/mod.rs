//! The subcommands of `oriolectl`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Bpaf, Parser};

use crate::Error;
use crate::error::Failure;
use crate::fleet::Fleet;
use crate::output::Format;
use crate::settings::Settings;
use crate::store::Store;

pub mod apply;
pub mod check;
pub mod diff;
pub mod drain;
pub mod explain;
pub mod get;
pub mod history;
pub mod logs;
pub mod status;

const FOOTER: &str = "Exit codes:
 0 success
 1 invalid usage, settings or files
 2 the documents are not a valid configuration
 3 conflict: others changed the same documents, or the folder's base revision is not known
 4 the key-value service cannot be reached; nothing was changed
 5 it is not known whether the change was accepted
 6 accepted, but not yet in force on all processes
 7 the key-value service holds older contents than were accepted, or is damaged; nothing was changed
 8 no such endpoint, document or request
 9 a process did not respond";

/// Manages the configuration of an oriolelanding deployment
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, footer(FOOTER), generate(command))]
pub struct Command {
    /// Settings file
    #[bpaf(argument("FILE"), fallback(PathBuf::from("oriolectl.toml")))]
    settings: PathBuf,
    /// Prints results and errors as JSON
    json: bool,
    #[bpaf(external(action))]
    action: Action,
}

/// The subcommands.
#[derive(Clone, Debug, Bpaf)]
pub enum Action {
    /// Validates a folder of documents, without calling the key-value service
    #[bpaf(command("check"))]
    Check(#[bpaf(external(check::command))] check::Command),
    /// Shows what applying a folder would change
    #[bpaf(command("diff"))]
    Diff(#[bpaf(external(diff::command))] diff::Command),
    /// Applies the documents of a folder, and waits until they are in force on all processes
    #[bpaf(command("apply"))]
    Apply(#[bpaf(external(apply::command))] apply::Command),
    /// Prints a document, lists all documents, or writes them into a folder
    #[bpaf(command("get"))]
    Get(#[bpaf(external(get::command))] get::Command),
    /// Lists the latest changes of the configuration
    #[bpaf(command("history"))]
    History(#[bpaf(external(history::command))] history::Command),
    /// Shows the state of the key-value service and of all processes
    #[bpaf(command("status"))]
    Status(#[bpaf(external(status::command))] status::Command),
    /// Drains an endpoint: it gets no new work, and work in progress finishes
    #[bpaf(command("drain"))]
    Drain(#[bpaf(external(drain::command))] drain::Command),
    /// Ends the drain of an endpoint: it gets new work again
    #[bpaf(command("undrain"))]
    Undrain(#[bpaf(external(drain::command))] drain::Command),
    /// Shows how a request ended, and why
    #[bpaf(command("explain"))]
    Explain(#[bpaf(external(explain::command))] explain::Command),
    /// Analyzes log files of entries on the operators' platform: requests, entries, layers
    #[bpaf(command("logs"))]
    Logs(#[bpaf(external(logs::command))] logs::Command),
}

/// What the subcommands that call the deployment share.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) store: Store,
    pub(crate) format: Format,
}

impl Context {
    /// Returns the processes of the latest configuration, or those in the settings if the
    /// key-value service cannot be reached.
    pub(crate) async fn fleet(&self) -> Result<Fleet, Error> {
        match self.store.config().await {
            Ok((_, config)) => Ok(Fleet::new(&self.settings, Some(&config))),
            Err(Error::Unreachable(_)) if !self.settings.http.is_empty() => {
                Ok(Fleet::new(&self.settings, None))
            }
            Err(e) => Err(e),
        }
    }
}

impl Command {
    /// Runs the command, prints its error if it fails, and returns the exit code.
    pub async fn execute(self) -> ExitCode {
        let format = self.format();
        match self.run().await {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                if format == Format::Json {
                    format.print(&Failure::from(&e));
                }
                eprintln!("oriolectl: {e}");
                ExitCode::from(&e)
            }
        }
    }

    fn format(&self) -> Format {
        if self.json { Format::Json } else { Format::Text }
    }

    /// Runs the command and prints its result.
    pub async fn run(self) -> Result<(), Error> {
        let format = self.format();
        match self.action {
            Action::Check(command) => return command.execute(format),
            Action::Logs(command) => return command.execute(format),
            _ => {}
        }
        let settings = Settings::load(&self.settings)?;
        let store = Store::new(&settings);
        let context = Context { settings, store, format };
        match self.action {
            Action::Check(command) => command.execute(format),
            Action::Logs(command) => command.execute(format),
            Action::Diff(command) => command.execute(&context).await,
            Action::Apply(command) => command.execute(&context).await,
            Action::Get(command) => command.execute(&context).await,
            Action::History(command) => command.execute(&context).await,
            Action::Status(command) => command.execute(&context).await,
            Action::Drain(command) => command.execute(&context, true).await,
            Action::Undrain(command) => command.execute(&context, false).await,
            Action::Explain(command) => command.execute(&context).await,
        }
    }
}

/// Parses the argument `DIR`.
fn folder() -> impl Parser<PathBuf> {
    bpaf::positional("DIR")
        .help("Folder of documents")
        .complete_shell(bpaf::ShellComp::Dir { mask: None })
}

/// Parses the flag `--wait-s`.
fn wait_s() -> impl Parser<u64> {
    bpaf::long("wait-s")
        .help("Seconds to wait until the change is in force on all processes; 0 for no wait [30]")
        .argument("SECONDS")
        .fallback(30)
}
