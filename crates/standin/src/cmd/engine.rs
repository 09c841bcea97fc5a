//! `oriole-standin engine`: runs a model engine.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use tokio::net::TcpListener;

use crate::engine::{Settings, server};
use crate::fault::Switch;

/// Flags of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    #[bpaf(external(super::listen))]
    listen: SocketAddr,
    /// Model that is loaded
    #[bpaf(argument("NAME"))]
    model: String,
    /// Layers of the whole model
    #[bpaf(argument("N"), fallback(32))]
    layers: u16,
    /// First layer held
    #[bpaf(argument("N"), fallback(0))]
    first_layer: u16,
    /// One past the last layer held
    #[bpaf(argument("N"), fallback(32))]
    end_layer: u16,
    /// Time of a batch without its prompt tokens, in microseconds
    #[bpaf(argument("US"), fallback(4000))]
    step_us: u64,
    /// Time that each prompt token adds, in microseconds
    #[bpaf(argument("US"), fallback(20))]
    prompt_token_us: u64,
    /// Accepts orders regardless of their fencing token
    ignore_fencing: bool,
}

impl Command {
    pub(super) async fn execute(self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.listen).await?;
        let settings = Settings {
            model: Some(self.model.as_str().into()),
            layers: self.layers,
            first_layer: self.first_layer,
            end_layer: self.end_layer,
            step_time: Duration::from_micros(self.step_us),
            prompt_token_time: Duration::from_micros(self.prompt_token_us),
            checks_fencing: !self.ignore_fencing,
            ..Settings::default()
        };
        server::serve(listener, settings, Switch::new()).await;
        Ok(())
    }
}
