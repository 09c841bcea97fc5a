//! The `oriole-entry` binary, which takes the requests of callers on an entry host.

use std::process::ExitCode;

use oriole_entry::cmd;
use oriole_follow::daemon;

#[actix_rt::main]
async fn main() -> ExitCode {
    env_logger::init();
    daemon::exit_code(cmd::command().run().execute().await)
}
