//! `oriolectl check`.

use std::path::PathBuf;

use bpaf::Bpaf;
use derive_more::Display;
use oriole_adapter::documents;
use oriole_core::config::Config;
use oriole_macros::data;

use crate::Error;
use crate::output::Format;

/// Arguments of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    #[bpaf(external(super::folder))]
    folder: PathBuf,
}

/// Numbers of what a valid folder contains.
#[data]
#[derive(Display)]
#[display("valid: {documents} documents, {contracts} contracts, {endpoints} endpoints")]
struct Report {
    documents: usize,
    contracts: usize,
    endpoints: usize,
}

impl Command {
    pub(super) fn execute(self, format: Format) -> Result<(), Error> {
        let documents = documents::read(&self.folder)?;
        let config = Config::load(&documents)?;
        let (contracts, endpoints) = (config.contracts.len(), config.endpoints.len());
        format.print(&Report { documents: documents.len(), contracts, endpoints });
        Ok(())
    }
}
