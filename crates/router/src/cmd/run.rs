//! `oriole-router run`: runs the entry with the settings file that the environment names.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use oriole_adapter::settings;

use crate::settings::Settings;
use crate::{log_output, process};

/// Longest time for writing the last log lines, such as why the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs until the process is signalled to stop.
pub fn execute() -> ExitCode {
    let output = log_output::start();
    let code = run();
    output.flush(FLUSH_TIMEOUT);
    code
}

fn run() -> ExitCode {
    let Some(path) = std::env::var_os(oriole_platform::SETTINGS_VARIABLE) else {
        log::error!(
            "environment variable {} is not set; it must name the settings file",
            oriole_platform::SETTINGS_VARIABLE
        );
        return ExitCode::FAILURE;
    };
    let path = PathBuf::from(path);
    let settings = match settings::load::<Settings>(&path) {
        Ok(settings) => settings,
        Err(e) => {
            log::error!("{e}");
            return ExitCode::FAILURE;
        }
    };
    match actix_rt::System::new().block_on(process::run(settings, path)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
