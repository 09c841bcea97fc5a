//! The configuration that every process shares: what exists, and the contracts.
//!
//! Operators write it as a set of TOML documents, one a file: `models`, `services`, `endpoints`,
//! `links`, `entries`, `weights` and `contract/<workspace>`. [`Config::load`] turns their text
//! into a [`Config`] or into an [`Error`] that names every [`Fault`] found, and
//! [`Config::documents`] does the reverse. Reading files is left to an adapter.

mod check;
mod document;
mod fault;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use oriole_macros::data;

use crate::contract::Contract;
use crate::name;
use crate::units;

pub use self::document::{DOCUMENT_LIMIT_BYTES, is_document};
pub use self::fault::{Error, Fault, Reason};

/// The whole configuration of one revision.
#[data]
#[derive(Default)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Config {
    /// Models by name.
    pub models: BTreeMap<name::Model, Model>,
    /// Plain services by name.
    pub services: BTreeMap<name::Service, Service>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<name::Endpoint, Endpoint>,
    /// Links between availability zones or hosts, where they differ from the default.
    pub links: Vec<Link>,
    /// Entries that share the limits, by host.
    pub entries: BTreeMap<name::Host, Entry>,
    /// Contracts by workspace.
    pub contracts: BTreeMap<name::Workspace, Contract>,
    /// The weight store.
    pub weights: Weights,
}

/// A model.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Model {
    /// Number of layers.
    pub layers: u16,
    /// Longest sequence, prompt and answer, in tokens.
    pub context: u32,
    /// Longest prompt part that is run in one step, in tokens.
    #[serde(default = "default_chunk")]
    pub chunk: u32,
    /// Version that the engines are to hold.
    #[serde(default)]
    pub version: String,
}

fn default_chunk() -> u32 {
    512
}

/// A plain service.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Service {
    /// Calls that may not be repeated; a call that matches none may be.
    #[serde(default)]
    pub non_idempotent: Vec<Route>,
}

/// A set of calls of a plain service.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Route {
    /// HTTP method, in capitals.
    pub method: String,
    /// Start of the path.
    pub path: String,
}

/// An endpoint.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Endpoint {
    /// The host whose side serves it.
    pub host: name::Host,
    /// Where that side listens for the system's own connections.
    pub side: SocketAddr,
    /// Where the endpoint itself listens, as the side reaches it.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: name::Zone,
    /// What it is.
    pub kind: Kind,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether an operator has ordered it to be drained.
    #[serde(default)]
    pub drain: bool,
}

/// What an endpoint is.
#[data]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case", deny_unknown_fields)]
pub enum Kind {
    /// A model engine that holds a range of layers.
    Engine {
        /// The model.
        model: name::Model,
        /// First layer, counted from 0.
        first_layer: u16,
        /// One past the last layer.
        end_layer: u16,
        /// Kind of accelerator, for people.
        accelerator: String,
        /// Microseconds of one batch, before its tokens.
        step_us: u32,
        /// Microseconds that each prompt token adds to a batch.
        prompt_token_us: u32,
        /// Most sequences in one batch.
        batch: u32,
        /// Most sequences held at once.
        sequences: u32,
    },
    /// A plain service.
    Service {
        /// The service.
        service: name::Service,
        /// Calls that run at once.
        concurrency: u32,
    },
}

/// A link.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Link {
    /// One end: an availability zone or a host.
    pub from: String,
    /// The other end; the link holds in both directions.
    pub to: String,
    /// One-way latency.
    #[serde(with = "units::duration")]
    pub latency: Duration,
    /// Megabytes a second.
    pub megabytes_per_second: u32,
}

/// An entry.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Entry {
    /// Where it listens for the system's own connections.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: name::Zone,
    /// Weight by which the limits are divided at first.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// The weight store.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Weights {
    /// Megabytes a second that all hosts together may load.
    pub megabytes_per_second: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self { megabytes_per_second: 1000 }
    }
}
