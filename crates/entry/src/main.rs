//! `oriole-entry`: the process on the entry hosts.

use std::process::ExitCode;

use oriole_entry::cmd;

#[actix_rt::main]
async fn main() -> ExitCode {
    env_logger::init();
    match cmd::command().run().execute().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!(error:% = e; "the entry cannot run");
            ExitCode::FAILURE
        }
    }
}
