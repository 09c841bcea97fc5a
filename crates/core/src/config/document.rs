//! Parsing and serialization of documents, each of which holds one part of the configuration as
//! TOML.

use std::collections::BTreeMap;
use std::ops::Range;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::check;
use super::fault::{Error, Fault, Reason};
use super::{Config, Link};
use crate::contract::Contract;
use crate::name;

/// Largest document. The key-value service stores values of up to a megabyte.
pub const DOCUMENT_LIMIT_BYTES: usize = 768 * 1024;

const CONTRACT_PREFIX: &str = "contract/";
/// Names of all documents except contracts.
const FIXED_DOCUMENTS: [&str; 6] =
    ["models", "services", "endpoints", "links", "entries", "weights"];
const ALLOWED_DOCUMENTS: &str =
    "models, services, endpoints, links, entries, weights, contract/<workspace>";

/// Returns whether `name` is the name of a document of the configuration.
pub fn is_document(name: &str) -> bool {
    match name.strip_prefix(CONTRACT_PREFIX) {
        Some(workspace) => check::is_name(workspace),
        None => FIXED_DOCUMENTS.contains(&name),
    }
}

/// The document `links`, in which a table wraps the list because TOML allows no list at the top
/// level.
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Links {
    #[serde(default)]
    links: Vec<Link>,
}

impl Config {
    /// Parses a configuration from document texts by name and checks it as a whole.
    ///
    /// A missing document counts as empty. The error lists every fault found. If documents are
    /// unknown, too large or cannot be parsed, it lists only those, since the remaining checks need
    /// all documents.
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

    /// Serializes the configuration into document texts by name, which [`Config::load`] parses
    /// into the same configuration.
    pub fn documents(&self) -> Result<BTreeMap<String, String>, Error> {
        let links = Links { links: self.links.clone() };
        let mut documents = BTreeMap::from([
            ("models".to_owned(), serialize("models", &self.models)?),
            ("services".to_owned(), serialize("services", &self.services)?),
            ("endpoints".to_owned(), serialize("endpoints", &self.endpoints)?),
            ("links".to_owned(), serialize("links", &links)?),
            ("entries".to_owned(), serialize("entries", &self.entries)?),
            ("weights".to_owned(), serialize("weights", &self.weights)?),
        ]);
        for (workspace, contract) in &self.contracts {
            let name = contract_document(workspace);
            let text = serialize(&name, contract)?;
            documents.insert(name, text);
        }
        Ok(documents)
    }

    fn read(&mut self, name: &str, text: &str) -> Result<(), Fault> {
        if text.len() > DOCUMENT_LIMIT_BYTES {
            return Err(oversized_document(name, text.len()));
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
            return Err(unknown_document(name));
        };
        let contract: Contract = parse(name, text)?;
        if contract.workspace.as_str() != workspace {
            return Err(Fault {
                file: name.to_owned(),
                line: None,
                key: "workspace".to_owned(),
                reason: Reason::Contradiction,
                found: format!("{:?}", contract.workspace.as_str()),
                allowed: format!("{workspace:?}, as in the name of the document"),
            });
        }
        self.contracts.insert(contract.workspace.clone(), contract);
        Ok(())
    }
}

/// Returns the name of the document that holds a workspace's contract.
pub(super) fn contract_document(workspace: &name::Workspace) -> String {
    format!("{CONTRACT_PREFIX}{workspace}")
}

fn oversized_document(name: &str, len: usize) -> Fault {
    Fault {
        file: name.to_owned(),
        line: None,
        key: "(document)".to_owned(),
        reason: Reason::Size,
        found: format!("{len} bytes"),
        allowed: format!("up to {DOCUMENT_LIMIT_BYTES} bytes"),
    }
}

fn unknown_document(name: &str) -> Fault {
    Fault {
        file: name.to_owned(),
        line: None,
        key: "(document)".to_owned(),
        reason: Reason::Document,
        found: format!("{name:?}"),
        allowed: ALLOWED_DOCUMENTS.to_owned(),
    }
}

fn serialize<T: Serialize>(name: &str, value: &T) -> Result<String, Error> {
    toml::to_string(value).map_err(|e| Error {
        faults: vec![Fault {
            file: name.to_owned(),
            line: None,
            key: "(document)".to_owned(),
            reason: Reason::Malformed,
            found: e.to_string(),
            allowed: "values that TOML can hold".to_owned(),
        }],
    })
}

fn parse<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, Fault> {
    toml::from_str(text).map_err(|e| syntax_fault(name, text, &e))
}

/// Converts an error of the TOML library into a fault. The library's message states what was found
/// and, after `, expected `, what was expected.
fn syntax_fault(name: &str, text: &str, e: &toml::de::Error) -> Fault {
    let message = e.message().replace('\n', " ");
    let (found, allowed) = match message.split_once(", expected ") {
        Some((found, expected)) => {
            let value = ["invalid type: ", "invalid value: "];
            let found = value.iter().find_map(|p| found.strip_prefix(p)).unwrap_or(found);
            (found.to_owned(), expected.to_owned())
        }
        None => (message, "TOML with the keys listed in the configuration reference".to_owned()),
    };
    let place = e.span().map(|span| locate(text, span));
    let (line, key) = match place {
        Some((line, key)) => (Some(line), key),
        None => (None, "(document)".to_owned()),
    };
    Fault { file: name.to_owned(), line, key, reason: Reason::Malformed, found, allowed }
}

/// Returns the line, counted from 1, and the dotted key at the start of a span.
fn locate(text: &str, span: Range<usize>) -> (usize, String) {
    let start = (0..=span.start.min(text.len())).rev().find(|at| text.is_char_boundary(*at));
    let before = text.get(..start.unwrap_or(0)).unwrap_or("");
    let number = before.matches('\n').count();
    let lines: Vec<&str> = text.lines().take(number + 1).collect();
    let table = lines.iter().rev().find_map(|line| table_header(line));
    let key = lines.get(number).and_then(|line| assigned_key(line));
    let parts: Vec<&str> = table.into_iter().chain(key).collect();
    let key = if parts.is_empty() { "(document)".to_owned() } else { parts.join(".") };
    (number + 1, key)
}

fn table_header(line: &str) -> Option<&str> {
    let line = line.trim();
    let inner = line.strip_prefix('[')?.trim_start_matches('[');
    inner.split(']').next().map(str::trim)
}

fn assigned_key(line: &str) -> Option<&str> {
    if table_header(line).is_some() {
        return None;
    }
    let key = line.split_once('=')?.0.trim();
    (!key.is_empty()).then_some(key)
}
