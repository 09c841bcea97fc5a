//! `oriole-standin hosts`: runs a host list.

use std::net::SocketAddr;

use bpaf::Bpaf;
use oriole_core::membership::Listing;
use tokio::net::TcpListener;

use crate::fault::Switch;
use crate::hosts::{self, Hosts};

/// Flags of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    #[bpaf(external(super::listen))]
    listen: SocketAddr,
    /// A host that is live; may be given several times
    #[bpaf(long("live"), argument("HOST"))]
    live: Vec<String>,
    /// A host that is leaving; may be given several times
    #[bpaf(long("leaving"), argument("HOST"))]
    leaving: Vec<String>,
}

impl Command {
    pub(super) async fn execute(self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.listen).await?;
        let hosts = Hosts::default();
        for host in &self.live {
            hosts.set(host.as_str().into(), Some(Listing::Live));
        }
        for host in &self.leaving {
            hosts.set(host.as_str().into(), Some(Listing::Leaving));
        }
        hosts::serve(listener, hosts, Switch::new()).await;
        Ok(())
    }
}
