//! `oriole-side`: the process beside each endpoint.

use std::process::ExitCode;

use oriole_side::cmd;

#[actix_rt::main]
async fn main() -> ExitCode {
    env_logger::init();
    match cmd::command().run().execute().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!(error:% = e; "the side cannot run");
            ExitCode::FAILURE
        }
    }
}
