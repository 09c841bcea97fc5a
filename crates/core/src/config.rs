//! The configuration that all processes share: models, services, endpoints, links, entries and
//! contracts.
//!
//! Operators write it as a set of TOML documents, one per file: `models`, `services`, `endpoints`,
//! `links`, `entries`, `weights` and `contract/<workspace>`. [`Config::load`] parses their text
//! into a [`Config`] or returns an [`Error`] that lists every [`Fault`] found, and
//! [`Config::documents`] serializes a [`Config`] into documents. An adapter reads the files.

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
    /// Plain services, which are called without a model, by name.
    pub services: BTreeMap<name::Service, Service>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<name::Endpoint, Endpoint>,
    /// Links between availability zones or hosts whose properties differ from the default.
    pub links: Vec<Link>,
    /// Entries that share the limits of the contracts, by host.
    pub entries: BTreeMap<name::Host, Entry>,
    /// Contracts by workspace.
    pub contracts: BTreeMap<name::Workspace, Contract>,
    /// The store from which hosts load model weights.
    pub weights: Weights,
}

/// A model.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Model {
    /// Number of layers.
    pub layers: u16,
    /// Longest sequence (prompt and answer) in tokens.
    pub context: u32,
    /// Longest part of a prompt that an engine prefills in one step, in tokens.
    #[serde(default = "default_chunk")]
    pub chunk: u32,
    /// Version of the weights that the engines are to hold.
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
    /// Calls that must not be retried. A call that matches none of them is idempotent.
    #[serde(default)]
    pub non_idempotent: Vec<Route>,
}

/// A set of calls of a plain service.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Route {
    /// HTTP method in capitals.
    pub method: String,
    /// Prefix of the path.
    pub path: String,
}

/// An endpoint.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Endpoint {
    /// Host whose side forwards requests to the endpoint.
    pub host: name::Host,
    /// Address at which that side listens for connections of other entries and sides.
    pub side: SocketAddr,
    /// Address of the endpoint itself, as the side reaches it.
    pub address: SocketAddr,
    /// Availability zone of the host.
    pub zone: name::Zone,
    /// Whether it is a model engine or a plain service.
    pub kind: Kind,
    /// Whether the engine rejects orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether an operator has ordered a drain of the endpoint.
    #[serde(default)]
    pub drain: bool,
}

/// The kind of an endpoint.
#[data]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case", deny_unknown_fields)]
pub enum Kind {
    /// A model engine that holds a range of layers.
    Engine {
        /// Model whose layers the engine holds.
        model: name::Model,
        /// First layer, counted from 0.
        first_layer: u16,
        /// One past the last layer.
        end_layer: u16,
        /// Type of accelerator, for information only.
        accelerator: String,
        /// Base duration of a batch in microseconds, without its prompt tokens.
        step_us: u32,
        /// Microseconds that each prompt token adds to a batch.
        prompt_token_us: u32,
        /// Most sequences in one batch.
        batch: u32,
        /// Most sequences held at once, which is at least `batch`.
        sequences: u32,
    },
    /// A plain service.
    Service {
        /// Service that the endpoint provides.
        service: name::Service,
        /// Most calls that run at once.
        concurrency: u32,
    },
}

/// A network link between two availability zones or hosts.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Link {
    /// One end: an availability zone or a host.
    pub from: String,
    /// The other end; the link holds in both directions.
    pub to: String,
    /// One-way latency, such as `"1ms"`.
    #[serde(with = "units::duration")]
    pub latency: Duration,
    /// Bandwidth in megabytes per second.
    pub megabytes_per_second: u32,
}

/// An entry.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Entry {
    /// Address at which it listens for connections of sides and other entries.
    pub address: SocketAddr,
    /// Availability zone of the host.
    pub zone: name::Zone,
    /// Weight by which contract limits are initially divided among entries.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// The store from which hosts load model weights.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Weights {
    /// Rate at which all hosts together may load, in megabytes per second.
    pub megabytes_per_second: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self { megabytes_per_second: 1000 }
    }
}
