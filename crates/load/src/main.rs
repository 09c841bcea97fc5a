//! `oriole-load`: runs deployments on embedded stand-ins and measures them.

use std::process::ExitCode;

use oriole_load::cmd;

#[actix_rt::main]
async fn main() -> ExitCode {
    env_logger::init();
    cmd::command().run().execute().await
}
