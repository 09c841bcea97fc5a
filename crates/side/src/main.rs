//! The `oriole-side` binary, which runs on a host beside its endpoints.

use std::process::ExitCode;

use oriole_follow::daemon;
use oriole_side::cmd;

#[actix_rt::main]
async fn main() -> ExitCode {
    env_logger::init();
    daemon::exit_code(cmd::command().run().execute().await)
}
