//! `oriole-standin`: runs a stand-in for an external system as a separate process.

use std::process::ExitCode;

use oriole_standin::cmd;
use tokio::signal::unix::{SignalKind, signal};

#[actix_rt::main]
async fn main() -> ExitCode {
    env_logger::init();
    let command = cmd::command().run();
    match run(command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!(error:% = e; "the stand-in failed");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: cmd::Command) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        result = command.execute() => result,
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    }
}
