//! `oriole-standin service`: runs a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use tokio::net::TcpListener;

use crate::fault::Switch;
use crate::service::{self, Record};

/// Flags of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    #[bpaf(external(super::listen))]
    listen: SocketAddr,
    /// Delay of each call, in milliseconds
    #[bpaf(argument("MS"), fallback(5))]
    delay_ms: u64,
}

impl Command {
    pub(super) async fn execute(self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.listen).await?;
        let delay = Duration::from_millis(self.delay_ms);
        service::serve(listener, delay, Switch::new(), Record::default()).await;
        Ok(())
    }
}
