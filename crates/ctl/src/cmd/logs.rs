//! `oriolectl logs`.

use std::io::Read;
use std::path::{Path, PathBuf};

use bpaf::Bpaf;

use crate::Error;
use crate::logs::line::Line;
use crate::logs::losses::{Limits, Losses};
use crate::logs::request::Report;
use crate::logs::summary::{Layout, Summary};
use crate::output::Format;

/// Arguments of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub enum Command {
    /// Shows how a request ended, and the state of its entry at that time
    #[bpaf(command("explain"))]
    Explain {
        /// Id of the request, as sent by its caller
        #[bpaf(positional("REQUEST-ID"))]
        id: String,
        /// Log files of entries; without any, reads standard input
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Counts the requests that were not served in time, by second and first logged cause
    #[bpaf(command("losses"))]
    Losses {
        /// Longest time to the first event of an answer in time, in milliseconds
        #[bpaf(argument("MS"), fallback(500), display_fallback)]
        first_ms: u64,
        /// Longest pause between two events of an answer in time, in milliseconds
        #[bpaf(argument("MS"), fallback(250), display_fallback)]
        pause_ms: u64,
        /// Log files of entries; without any, reads standard input
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Shows the last logged state of each entry, and how requests ended
    #[bpaf(command("status"))]
    Status {
        /// Log files of entries; without any, reads standard input
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Shows which endpoints hold which layers in the newest plan
    #[bpaf(command("plan"))]
    Plan {
        /// Log files of entries; without any, reads standard input
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
}

impl Command {
    pub(super) fn execute(&self, format: Format) -> Result<(), Error> {
        match self {
            Self::Explain { id, files } => {
                let what = format!("line about request {id}");
                let report = Report::find(&read(files)?, id).ok_or(Error::NotFound { what })?;
                format.print(&report);
            }
            Self::Losses { first_ms, pause_ms, files } => {
                let limits = Limits { first_ms: *first_ms, pause_ms: *pause_ms };
                format.print(&Losses::of(&read(files)?, limits));
            }
            Self::Status { files } => format.print(&Summary::of(&read(files)?)),
            Self::Plan { files } => {
                let what = "line about a plan".to_owned();
                let summary = Summary::of(&read(files)?);
                format.print(&Layout::of(&summary).ok_or(Error::NotFound { what })?);
            }
        }
        Ok(())
    }
}

/// Reads the log lines of all files, or of standard input if there are none.
fn read(files: &[PathBuf]) -> Result<Vec<Line>, Error> {
    if files.is_empty() {
        let mut bytes = vec![];
        let path = Path::new("standard input");
        std::io::stdin().read_to_end(&mut bytes).map_err(|e| failed(path, e))?;
        return Ok(parse(&bytes, "entry"));
    }
    let mut all = vec![];
    for path in files {
        let bytes = std::fs::read(path).map_err(|e| failed(path, e))?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        all.extend(parse(&bytes, &name));
    }
    Ok(all)
}

fn parse(bytes: &[u8], name: &str) -> Vec<Line> {
    let text = String::from_utf8_lossy(bytes);
    text.lines().filter_map(|line| Line::parse(line, name)).collect()
}

fn failed(path: &Path, source: std::io::Error) -> Error {
    Error::Logs { path: path.to_owned(), source }
}
