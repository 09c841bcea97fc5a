//! `oriole-standin weights`: runs a weight store.

use std::net::SocketAddr;

use bpaf::Bpaf;
use tokio::net::TcpListener;

use crate::fault::Switch;
use crate::weights::{self, Settings};

/// Flags of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    #[bpaf(external(super::listen))]
    listen: SocketAddr,
    /// Download rate of all callers together, in bytes per second
    #[bpaf(argument("N"), fallback(1_000_000_000))]
    bytes_per_second: u64,
    /// Size of a layer, in bytes
    #[bpaf(argument("N"), fallback(1_000_000))]
    layer_bytes: usize,
}

impl Command {
    pub(super) async fn execute(self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.listen).await?;
        let settings = Settings {
            bytes_per_second: self.bytes_per_second,
            layer_bytes: self.layer_bytes,
            ..Settings::default()
        };
        weights::serve(listener, settings, Switch::new()).await;
        Ok(())
    }
}
