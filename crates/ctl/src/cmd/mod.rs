//! The subcommands of `oriolectl`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Bpaf, Parser};

use crate::Error;
use crate::error::Failure;
use crate::fleet::Fleet;
use crate::output::Form;
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
 0 done
 1 wrong usage, settings or files
 2 the documents are no valid configuration
 3 conflict: others changed the same documents, or the folder's revision is not known
 4 the key-value service cannot be reached; nothing was changed
 5 it is not known whether the change was accepted
 6 accepted, but not in force everywhere yet
 7 the key-value service went back to older contents, or is damaged; nothing was changed
 8 no such endpoint, document or request
 9 a process did not answer";

/// Drives oriolelanding through its configuration
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, footer(FOOTER), generate(command))]
pub struct Command {
    /// Settings file
    #[bpaf(argument("FILE"), fallback(PathBuf::from("oriolectl.toml")))]
    settings: PathBuf,
    /// Prints JSON for scripts
    json: bool,
    #[bpaf(external(action))]
    action: Action,
}

/// The subcommands.
#[derive(Clone, Debug, Bpaf)]
pub enum Action {
    /// Checks a folder of documents, without the key-value service
    #[bpaf(command("check"))]
    Check(#[bpaf(external(check::command))] check::Command),
    /// Shows what applying a folder would change
    #[bpaf(command("diff"))]
    Diff(#[bpaf(external(diff::command))] diff::Command),
    /// Has the documents of a folder accepted, and waits until they are in force
    #[bpaf(command("apply"))]
    Apply(#[bpaf(external(apply::command))] apply::Command),
    /// Prints a document, lists them, or writes all into a folder
    #[bpaf(command("get"))]
    Get(#[bpaf(external(get::command))] get::Command),
    /// Lists the latest changes
    #[bpaf(command("history"))]
    History(#[bpaf(external(history::command))] history::Command),
    /// Shows the key-value service and all processes
    #[bpaf(command("status"))]
    Status(#[bpaf(external(status::command))] status::Command),
    /// Gives an endpoint no new work; what is in progress finishes
    #[bpaf(command("drain"))]
    Drain(#[bpaf(external(drain::command))] drain::Command),
    /// Gives an endpoint new work again
    #[bpaf(command("undrain"))]
    Undrain(#[bpaf(external(drain::command))] drain::Command),
    /// Tells what became of a request, and why
    #[bpaf(command("explain"))]
    Explain(#[bpaf(external(explain::command))] explain::Command),
    /// Reads the logs of entries on the users' platform: requests, beliefs, layers
    #[bpaf(command("logs"))]
    Logs(#[bpaf(external(logs::command))] logs::Command),
}

/// What the subcommands share.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) store: Store,
    pub(crate) form: Form,
}

impl Context {
    /// The processes of the configuration in force; those that the settings name if the
    /// configuration is out of reach.
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
    /// Runs the command; its failure is printed and gives the exit code.
    pub async fn execute(self) -> ExitCode {
        let form = self.form();
        match self.run().await {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                if form == Form::Json {
                    form.print(&Failure::from(&e));
                }
                eprintln!("oriolectl: {e}");
                ExitCode::from(&e)
            }
        }
    }

    fn form(&self) -> Form {
        if self.json { Form::Json } else { Form::Text }
    }

    /// Runs the command.
    pub async fn run(self) -> Result<(), Error> {
        let form = self.form();
        match self.action {
            Action::Check(command) => return command.execute(form),
            Action::Logs(command) => return command.execute(form),
            _ => {}
        }
        let settings = Settings::load(&self.settings)?;
        let store = Store::new(&settings);
        let context = Context { settings, store, form };
        match self.action {
            Action::Check(command) => command.execute(form),
            Action::Logs(command) => command.execute(form),
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

/// Folder of documents
fn folder() -> impl Parser<PathBuf> {
    bpaf::positional("DIR")
        .help("Folder of documents")
        .complete_shell(bpaf::ShellComp::Dir { mask: None })
}

/// Time to wait for a change to be in force.
fn wait_s() -> impl Parser<u64> {
    bpaf::long("wait-s")
        .help("Seconds to wait until the change is in force everywhere, 0 not to wait [30]")
        .argument("SECONDS")
        .fallback(30)
}
