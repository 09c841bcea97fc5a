//! The binary `oriole-load`; see the library for an overview.

use std::process::ExitCode;

use oriole_load::cmd;

#[actix_rt::main]
async fn main() -> ExitCode {
    env_logger::init();
    cmd::command().run().execute().await
}
