//! Checks of values and of references between tables and documents.

mod contract;
mod layers;
mod topology;

use std::fmt::Display;
use std::ops::RangeInclusive;

use super::fault::{Fault, Reason};
use super::{Config, Kind, Model, Service};
use crate::name;

/// Longest name.
const NAME_LIMIT_BYTES: usize = 64;
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
const ALLOWED_NAMES: &str = "1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.', not starting with '.'";

/// Returns whether `text` is a valid name. Names are used in file paths, URLs and metric names,
/// which limits their characters.
pub(super) fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let sized = (1..=NAME_LIMIT_BYTES).contains(&text.len());
    sized && !text.starts_with('.') && text.chars().all(allowed)
}

/// Returns all faults of a configuration whose documents could be parsed.
pub(super) fn run(config: &Config) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (name, model) in &config.models {
        check_model(&mut Checker::new(&mut faults, "models", name), name, model);
    }
    for (name, service) in &config.services {
        check_service(&mut Checker::new(&mut faults, "services", name), name, service);
    }
    for (name, endpoint) in &config.endpoints {
        let mut checker = Checker::new(&mut faults, "endpoints", name);
        checker.name("", name.as_str());
        checker.name("host", endpoint.host.as_str());
        checker.name("zone", endpoint.zone.as_str());
        check_kind(&mut checker, config, &endpoint.kind);
    }
    for (host, entry) in &config.entries {
        let mut checker = Checker::new(&mut faults, "entries", host);
        checker.name("", host.as_str());
        checker.name("zone", entry.zone.as_str());
        checker.range("weight", entry.weight, 1..=1000);
    }
    let mut weights = Checker::new(&mut faults, "weights", "");
    weights.range("megabytes-per-second", config.weights.megabytes_per_second, 1..=u32::MAX);
    layers::run(config, &mut faults);
    topology::run(config, &mut faults);
    contract::run(config, &mut faults);
    faults
}

fn check_model(checker: &mut Checker<'_>, name: &name::Model, model: &Model) {
    checker.name("", name.as_str());
    checker.range("layers", model.layers, 1..=u16::MAX);
    checker.range("context", model.context, 1..=u32::MAX);
    checker.range("chunk", model.chunk, 1..=model.context.max(1));
}

fn check_service(checker: &mut Checker<'_>, name: &name::Service, service: &Service) {
    checker.name("", name.as_str());
    for route in &service.non_idempotent {
        if !METHODS.contains(&route.method.as_str()) {
            checker.fault(
                "non-idempotent.method",
                Reason::Range,
                &route.method,
                METHODS.join(", "),
            );
        }
        if !route.path.starts_with('/') {
            checker.fault(
                "non-idempotent.path",
                Reason::Range,
                &route.path,
                "a path that starts with '/'",
            );
        }
    }
}

fn check_kind(checker: &mut Checker<'_>, config: &Config, kind: &Kind) {
    match kind {
        Kind::Engine { model, first_layer, end_layer, batch, sequences, .. } => {
            checker.range("kind.engine.batch", *batch, 1..=u32::MAX);
            checker.range("kind.engine.sequences", *sequences, (*batch).max(1)..=u32::MAX);
            let Some(known) = config.models.get(model) else {
                let names = join_names(config.models.keys());
                return checker.fault("kind.engine.model", Reason::Name, model, names);
            };
            checker.range("kind.engine.end-layer", *end_layer, 1..=known.layers);
            let last = end_layer.saturating_sub(1);
            checker.range("kind.engine.first-layer", *first_layer, 0..=last);
        }
        Kind::Service { service, concurrency } => {
            checker.range("kind.service.concurrency", *concurrency, 1..=u32::MAX);
            if !config.services.contains_key(service) {
                let names = join_names(config.services.keys());
                checker.fault("kind.service.service", Reason::Name, service, names);
            }
        }
    }
}

/// Lists the names that a reference may hold, for the message of a fault.
fn join_names<N: Display>(names: impl Iterator<Item = N>) -> String {
    let names: Vec<String> = names.map(|name| name.to_string()).collect();
    if names.is_empty() { "none is configured".to_owned() } else { names.join(", ") }
}

/// Collects the faults of one table of one document.
struct Checker<'a> {
    faults: &'a mut Vec<Fault>,
    file: String,
    table: String,
}

impl<'a> Checker<'a> {
    fn new(faults: &'a mut Vec<Fault>, file: &str, table: impl Display) -> Self {
        Self { faults, file: file.to_owned(), table: table.to_string() }
    }

    /// Adds a fault of `key` in the table. An empty key stands for the table itself.
    fn fault(&mut self, key: &str, reason: Reason, found: impl Display, allowed: impl Display) {
        let key = match (self.table.as_str(), key) {
            ("", key) => key.to_owned(),
            (table, "") => table.to_owned(),
            (table, key) => format!("{table}.{key}"),
        };
        let file = self.file.clone();
        let (found, allowed) = (found.to_string(), allowed.to_string());
        self.faults.push(Fault { file, line: None, key, reason, found, allowed });
    }

    fn range<T: PartialOrd + Display>(&mut self, key: &str, found: T, range: RangeInclusive<T>) {
        if !range.contains(&found) {
            let allowed = format!("{} to {}", range.start(), range.end());
            self.fault(key, Reason::Range, found, allowed);
        }
    }

    fn name(&mut self, key: &str, found: &str) {
        if !is_name(found) {
            self.fault(key, Reason::Name, format!("{found:?}"), ALLOWED_NAMES);
        }
    }
}
