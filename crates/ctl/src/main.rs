//! The binary `oriolectl`; see the library for its modules.

use std::process::ExitCode;

use oriole_ctl::cmd;

#[actix_rt::main]
async fn main() -> ExitCode {
    env_logger::init();
    cmd::command().run().execute().await
}
