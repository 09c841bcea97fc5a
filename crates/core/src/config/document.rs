//! Documents: the TOML text of one part of the configuration, and its name.

use std::collections::BTreeMap;
use std::ops::Range;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::check;
use super::fault::{Error, Fault, Reason};
use super::{Config, Link};
use crate::contract::Contract;
use crate::name;

/// Most bytes of one document. The key-value service holds values up to a megabyte.
pub const DOCUMENT_LIMIT_BYTES: usize = 768 * 1024;

const CONTRACT_PREFIX: &str = "contract/";
const NAMES: [&str; 6] = ["models", "services", "endpoints", "links", "entries", "weights"];
const ALLOWED_DOCUMENTS: &str =
    "models, services, endpoints, links, entries, weights, contract/<workspace>";

/// Whether `name` is the name of a document that the system reads.
pub fn is_document(name: &str) -> bool {
    match name.strip_prefix(CONTRACT_PREFIX) {
        Some(workspace) => check::is_name(workspace),
        None => NAMES.contains(&name),
    }
}

/// The document `links`: TOML has no list at its top.
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Links {
    #[serde(default)]
    links: Vec<Link>,
}

impl Config {
    /// Reads a configuration from documents by name, and checks it as a whole.
    ///
    /// A document that is missing counts as empty. The error names every fault that was found,
    /// though a document that cannot be read hides the faults that depend on it.
    pub fn load(documents: &BTreeMap<String, String>) -> Result<Self, Error> {
        let mut config = Self::default();
        let mut faults = Vec::new();
        for (name, text) in documents {
            if let Err(fault) = config.read(name, text) {
                faults.push(fault);
            }
        }
        if faults.is_empty() {
            faults = check::run(&config);
        }
        if faults.is_empty() { Ok(config) } else { Err(Error { faults }) }
    }

    /// The documents by name from which [`Config::load`] reads this configuration again.
    pub fn documents(&self) -> Result<BTreeMap<String, String>, Error> {
        let links = Links { links: self.links.clone() };
        let mut documents = BTreeMap::from([
            ("models".to_owned(), write("models", &self.models)?),
            ("services".to_owned(), write("services", &self.services)?),
            ("endpoints".to_owned(), write("endpoints", &self.endpoints)?),
            ("links".to_owned(), write("links", &links)?),
            ("entries".to_owned(), write("entries", &self.entries)?),
            ("weights".to_owned(), write("weights", &self.weights)?),
        ]);
        for (workspace, contract) in &self.contracts {
            let name = contract_document(workspace);
            let text = write(&name, contract)?;
            documents.insert(name, text);
        }
        Ok(documents)
    }

    fn read(&mut self, name: &str, text: &str) -> Result<(), Fault> {
        if text.len() > DOCUMENT_LIMIT_BYTES {
            return Err(oversized(name, text.len()));
        }
        match name {
            "models" => self.models = parse(name, text)?,
            "services" => self.services = parse(name, text)?,
            "endpoints" => self.endpoints = parse(name, text)?,
            "links" => self.links = parse::<Links>(name, text)?.links,
            "entries" => self.entries = parse(name, text)?,
            "weights" => self.weights = parse(name, text)?,
            _ => self.read_contract(name, text)?,
        }
        Ok(())
    }

    fn read_contract(&mut self, name: &str, text: &str) -> Result<(), Fault> {
        let workspace = name.strip_prefix(CONTRACT_PREFIX).filter(|w| check::is_name(w));
        let Some(workspace) = workspace else {
            return Err(unknown(name));
        };
        let contract: Contract = parse(name, text)?;
        if contract.workspace.as_str() != workspace {
            return Err(Fault {
                file: name.to_owned(),
                line: None,
                key: "workspace".to_owned(),
                reason: Reason::Contradiction,
                found: format!("{:?}", contract.workspace.as_str()),
                allowed: format!("{workspace:?}, the name of the file"),
            });
        }
        self.contracts.insert(contract.workspace.clone(), contract);
        Ok(())
    }
}

/// The name of the document that holds a workspace's contract.
pub(super) fn contract_document(workspace: &name::Workspace) -> String {
    format!("{CONTRACT_PREFIX}{workspace}")
}

fn oversized(name: &str, len: usize) -> Fault {
    Fault {
        file: name.to_owned(),
        line: None,
        key: "(document)".to_owned(),
        reason: Reason::Size,
        found: format!("{len} bytes"),
        allowed: format!("up to {DOCUMENT_LIMIT_BYTES} bytes"),
    }
}

fn unknown(name: &str) -> Fault {
    Fault {
        file: name.to_owned(),
        line: None,
        key: "(document)".to_owned(),
        reason: Reason::Document,
        found: format!("{name:?}"),
        allowed: ALLOWED_DOCUMENTS.to_owned(),
    }
}

fn write<T: Serialize>(name: &str, value: &T) -> Result<String, Error> {
    toml::to_string(value).map_err(|e| Error {
        faults: vec![Fault {
            file: name.to_owned(),
            line: None,
            key: "(document)".to_owned(),
            reason: Reason::Form,
            found: e.to_string(),
            allowed: "values that TOML can hold".to_owned(),
        }],
    })
}

fn parse<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, Fault> {
    toml::from_str(text).map_err(|e| form(name, text, &e))
}

/// Turns the TOML library's error into a fault: its message holds what was found and, after the
/// first comma, what was expected.
fn form(name: &str, text: &str, e: &toml::de::Error) -> Fault {
    let message = e.message().replace('\n', " ");
    let (found, allowed) = match message.split_once(", expected ") {
        Some((found, expected)) => {
            let value = ["invalid type: ", "invalid value: "];
            let found = value.iter().find_map(|p| found.strip_prefix(p)).unwrap_or(found);
            (found.to_owned(), expected.to_owned())
        }
        None => (message, "see the reference of the configuration".to_owned()),
    };
    let place = e.span().map(|span| locate(text, span));
    let (line, key) = match place {
        Some((line, key)) => (Some(line), key),
        None => (None, "(document)".to_owned()),
    };
    Fault { file: name.to_owned(), line, key, reason: Reason::Form, found, allowed }
}

/// The line, from 1, and the key at the start of a span.
fn locate(text: &str, span: Range<usize>) -> (usize, String) {
    let start = (0..=span.start.min(text.len())).rev().find(|at| text.is_char_boundary(*at));
    let before = text.get(..start.unwrap_or(0)).unwrap_or("");
    let number = before.matches('\n').count();
    let lines: Vec<&str> = text.lines().take(number + 1).collect();
    let table = lines.iter().rev().find_map(|line| header(line));
    let key = lines.get(number).and_then(|line| assigned(line));
    let parts: Vec<&str> = table.into_iter().chain(key).collect();
    let key = if parts.is_empty() { "(document)".to_owned() } else { parts.join(".") };
    (number + 1, key)
}

fn header(line: &str) -> Option<&str> {
    let line = line.trim();
    let inner = line.strip_prefix('[')?.trim_start_matches('[');
    inner.split(']').next().map(str::trim)
}

fn assigned(line: &str) -> Option<&str> {
    if header(line).is_some() {
        return None;
    }
    let key = line.split_once('=')?.0.trim();
    (!key.is_empty()).then_some(key)
}
