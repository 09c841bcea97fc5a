//! `oriolectl check`.

use std::path::PathBuf;

use bpaf::Bpaf;
use derive_more::Display;
use oriole_core::config::Config;
use oriole_macros::data;
use oriole_platform::documents;

use crate::Error;
use crate::output::Form;

/// Flags of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    #[bpaf(external(super::folder))]
    folder: PathBuf,
}

/// What a valid folder holds.
#[data]
#[derive(Display)]
#[display("valid: {documents} documents, {contracts} contracts, {endpoints} endpoints")]
struct Report {
    documents: usize,
    contracts: usize,
    endpoints: usize,
}

impl Command {
    pub(super) fn execute(self, form: Form) -> Result<(), Error> {
        let documents = documents::read(&self.folder)?;
        let config = match Config::load(&documents) {
            Ok(config) => config,
            Err(e) => {
                if form == Form::Json {
                    form.print(&Faults { faults: e.faults.clone() });
                }
                return Err(e.into());
            }
        };
        let (contracts, endpoints) = (config.contracts.len(), config.endpoints.len());
        form.print(&Report { documents: documents.len(), contracts, endpoints });
        Ok(())
    }
}

/// The faults, for scripts.
#[data]
#[derive(Display)]
#[display("{} faults", faults.len())]
struct Faults {
    faults: Vec<oriole_core::config::Fault>,
}
