//! `oriole-standin kv`: runs a key-value service.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use tokio::net::TcpListener;

use crate::fault::Switch;
use crate::kv::{self, Service};

/// Flags of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    #[bpaf(external(super::listen))]
    listen: SocketAddr,
    /// Delay of each call, in milliseconds
    #[bpaf(argument("MS"), fallback(2))]
    delay_ms: u64,
}

impl Command {
    pub(super) async fn execute(self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.listen).await?;
        let service = Service::default();
        service.set_delay(Duration::from_millis(self.delay_ms));
        kv::serve(listener, service, Switch::new()).await;
        Ok(())
    }
}
