//! The subcommands of `oriole-standin`.

use bpaf::{Bpaf, Parser};

pub mod engine;
pub mod hosts;
pub mod kv;
pub mod service;
pub mod weights;

/// Stand-ins for external systems, for tests and measurements
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(command))]
pub enum Command {
    /// Runs a model engine that holds a range of layers
    #[bpaf(command("engine"))]
    Engine(#[bpaf(external(engine::command))] engine::Command),
    /// Runs a key-value service
    #[bpaf(command("kv"))]
    Kv(#[bpaf(external(kv::command))] kv::Command),
    /// Runs a host list
    #[bpaf(command("hosts"))]
    Hosts(#[bpaf(external(hosts::command))] hosts::Command),
    /// Runs a plain service
    #[bpaf(command("service"))]
    Service(#[bpaf(external(service::command))] service::Command),
    /// Runs a weight store
    #[bpaf(command("weights"))]
    Weights(#[bpaf(external(weights::command))] weights::Command),
}

impl Command {
    /// Runs the stand-in. Returns an error if it cannot listen on its address.
    pub async fn execute(self) -> std::io::Result<()> {
        match self {
            Self::Engine(command) => command.execute().await,
            Self::Kv(command) => command.execute().await,
            Self::Hosts(command) => command.execute().await,
            Self::Service(command) => command.execute().await,
            Self::Weights(command) => command.execute().await,
        }
    }
}

fn listen() -> impl Parser<std::net::SocketAddr> {
    bpaf::long("listen").help("Address to listen on").argument("IP:PORT")
}
