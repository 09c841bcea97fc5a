//! `oriole-router check`: checks a settings file.

use std::path::Path;
use std::process::ExitCode;

use oriole_adapter::settings;

use crate::settings::Settings;

/// Reads the settings file at `path` and prints whether it is valid, or the first fault in it.
pub fn execute(path: &Path) -> ExitCode {
    match settings::load::<Settings>(path) {
        Ok(settings) => {
            println!("{}: settings of {} are valid", path.display(), settings.name);
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
