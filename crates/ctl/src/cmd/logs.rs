//! `oriolectl logs`.

use std::io::Read;
use std::path::{Path, PathBuf};

use bpaf::Bpaf;

use crate::Error;
use crate::logs::line::Line;
use crate::logs::request::Report;
use crate::logs::summary::{Layout, Summary};
use crate::output::Form;

/// Flags of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub enum Command {
    /// Tells what became of a request, and what its entry believed then
    #[bpaf(command("explain"))]
    Explain {
        /// Id of the request, as its caller sent it
        #[bpaf(positional("REQUEST-ID"))]
        id: String,
        /// Log files of entries; the standard input without any
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Shows what each entry believed last, and how requests ended
    #[bpaf(command("status"))]
    Status {
        /// Log files of entries; the standard input without any
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Shows who holds which layers by the newest plan
    #[bpaf(command("plan"))]
    Plan {
        /// Log files of entries; the standard input without any
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
}

impl Command {
    pub(super) fn execute(&self, form: Form) -> Result<(), Error> {
        match self {
            Self::Explain { id, files } => {
                let what = format!("line about request {id}");
                let report = Report::find(&read(files)?, id).ok_or(Error::NotFound { what })?;
                form.print(&report);
            }
            Self::Status { files } => form.print(&Summary::of(&read(files)?)),
            Self::Plan { files } => {
                let what = "line about a plan".to_owned();
                let summary = Summary::of(&read(files)?);
                form.print(&Layout::of(&summary).ok_or(Error::NotFound { what })?);
            }
        }
        Ok(())
    }
}

/// The log lines of all files, or of the standard input.
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
