//! Loading of the configuration: which documents are accepted, and what each fault reports.

#![allow(clippy::unwrap_used)] // test helpers fail by panicking
use std::collections::BTreeMap;

use oriole_core::config::{Config, DOCUMENT_LIMIT_BYTES, Fault, Reason};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const KEY: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

fn documents() -> BTreeMap<String, String> {
    let engine = |name: &str, port: u16, first: u16, end: u16| {
        format!(
            "[{name}]\nhost = \"host-{name}\"\nside = \"127.0.0.1:{port}\"\n\
             address = \"127.0.0.1:{}\"\nzone = \"hall-a\"\n[{name}.kind.engine]\n\
             model = \"assist-model\"\nfirst-layer = {first}\nend-layer = {end}\n\
             accelerator = \"a100\"\nstep-us = 100\nprompt-token-us = 10\nbatch = 8\n\
             sequences = 16\n",
            port + 1
        )
    };
    let contract = format!(
        "workspace = \"gate-desk\"\nkeys = [\"{KEY}\"]\nmodels = [\"assist-model\"]\n\
         [limits]\nrequests = \"20/s\"\nrequest-burst = 5\ntokens = \"4000/s\"\n\
         token-burst = 8192\nconcurrency = 10\n[service]\npriority = 5\n\
         default-deadline = \"20s\"\n"
    );
    let endpoints = engine("e1", 7000, 0, 4) + &engine("e2", 7010, 4, 8);
    BTreeMap::from([
        ("models".into(), "[assist-model]\nlayers = 8\ncontext = 4096\n".into()),
        ("services".into(), "[status-app]\n".into()),
        ("endpoints".into(), endpoints),
        ("entries".into(), "[entry-1]\naddress = \"127.0.0.1:7100\"\nzone = \"hall-a\"\n".into()),
        (
            "links".into(),
            "[[links]]\nfrom = \"hall-a\"\nto = \"host-e1\"\nlatency = \"1ms\"\n\
             megabytes-per-second = 100\n"
                .into(),
        ),
        ("weights".into(), "megabytes-per-second = 500\n".into()),
        ("contract/gate-desk".into(), contract),
    ])
}

/// Returns the faults after `from` is replaced by `to` in the document `file`.
fn faults(file: &str, from: &str, to: &str) -> Vec<Fault> {
    let mut documents = documents();
    let text = documents.get_mut(file).unwrap();
    assert!(text.contains(from), "{file} holds no {from}");
    *text = text.replace(from, to);
    Config::load(&documents).map_or_else(|e| e.faults, |_| Vec::new())
}

#[test]
fn a_valid_configuration_round_trips() {
    let config = Config::load(&documents()).unwrap();
    assert_eq!(config.endpoints.len(), 2);
    let again = Config::load(&config.documents().unwrap()).unwrap();
    assert_eq!(config, again);
}

#[test]
fn each_fault_names_document_key_and_reason() {
    use Reason::{Contradiction, Gap, Malformed, Name, Range};
    let contract = "contract/gate-desk";
    let cases = [
        ("models", "context", "contxt", "assist-model.contxt", Malformed),
        ("models", "layers = 8", "layers = 0", "assist-model.layers", Range),
        ("models", "assist-model", "assist/model", "assist/model", Malformed),
        ("endpoints", "end-layer = 4", "end-layer = 3", "e1.kind.engine.end-layer", Gap),
        ("endpoints", "end-layer = 8", "end-layer = 9", "e2.kind.engine.end-layer", Range),
        ("endpoints", "first-layer = 4", "first-layer = 5", "e2.kind.engine.first-layer", Gap),
        ("endpoints", "\"assist-model\"", "\"other\"", "e1.kind.engine.model", Name),
        ("endpoints", "7011", "7001", "e2.address", Contradiction),
        ("endpoints", "host-e2", "host-e1", "e2.side", Contradiction),
        ("endpoints", "sequences = 16", "sequences = 1", "e1.kind.engine.sequences", Range),
        ("entries", "7100", "7000", "entry-1.address", Contradiction),
        ("entries", "7100", "0", "entry-1.address", Range),
        ("links", "host-e1", "host-e9", "links[0].to", Name),
        ("links", "1ms", "1", "links.latency", Malformed),
        ("weights", "500", "0", "megabytes-per-second", Range),
        (contract, "gate-desk", "gate", "workspace", Contradiction),
        (contract, KEY, "abc", "keys", Range),
        (contract, "\"20/s\"", "20", "limits.requests", Malformed),
        (contract, "\"20/s\"", "\"20\"", "limits.requests", Malformed),
        (contract, "\"20/s\"", "\"0/s\"", "limits.requests", Range),
        (contract, "8192", "4095", "limits.token-burst", Range),
        (contract, "priority = 5", "priority = 8", "service.priority", Range),
        (contract, "\"20s\"", "\"20\"", "service.default-deadline", Malformed),
        (contract, "\"20s\"", "\"121s\"", "service.default-deadline", Range),
        (contract, "concurrency = 10", "concurrency = 0", "limits.concurrency", Range),
        (contract, "[\"assist-model\"]", "[\"x\"]", "models", Name),
    ];
    for (file, from, to, key, reason) in cases {
        let faults = faults(file, from, to);
        let found = faults.iter().find(|f| f.file == file && f.key == key && f.reason == reason);
        assert!(found.is_some(), "{file}: {from} -> {to}: expected {key} {reason:?}: {faults:#?}");
        assert!(found.is_some_and(|f| !f.found.is_empty() && !f.allowed.is_empty()));
    }
}

#[test]
fn the_configuration_reference_lists_every_key() {
    let mut documents = documents();
    let call = "[[status-app.non-idempotent]]\nmethod = \"POST\"\npath = \"/\"\n";
    documents.insert("services".into(), call.into());
    let service = "[s1]\nhost = \"host-s1\"\nside = \"127.0.0.1:7020\"\n\
                   address = \"127.0.0.1:7021\"\nzone = \"hall-a\"\n[s1.kind.service]\n\
                   service = \"status-app\"\nconcurrency = 1\n";
    documents.entry("endpoints".into()).and_modify(|text| text.push_str(service));
    let written = Config::load(&documents).unwrap().documents().unwrap();
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/reference.md");
    let page = std::fs::read_to_string(path).unwrap();
    for (name, text) in written {
        for line in text.lines().filter(|line| !line.starts_with('[')) {
            let Some((key, _)) = line.split_once(" = ") else { continue };
            let listed =
                ["", "limits.", "service."].iter().any(|p| page.contains(&format!("`{p}{key}`")));
            assert!(listed, "docs/reference.md does not list {key} of {name}");
        }
    }
}

#[test]
fn a_missing_unit_is_reported_with_the_allowed_form() {
    for (from, to) in [("\"20/s\"", "20"), ("\"20/s\"", "\"20\""), ("\"20s\"", "20")] {
        let fault = faults("contract/gate-desk", from, to).remove(0);
        assert!(fault.found.contains("20"), "{fault}");
        assert!(fault.allowed.contains("a number and a unit such as"), "{fault}");
        assert!(fault.line.is_some());
    }
}

#[test]
fn two_workspaces_cannot_share_a_key() {
    let mut documents = documents();
    let copy = documents["contract/gate-desk"].replace("gate-desk", "kerb");
    documents.insert("contract/kerb".into(), copy);
    let faults = Config::load(&documents).unwrap_err().faults;
    assert_eq!((faults[0].key.as_str(), faults[0].reason), ("keys", Reason::Contradiction));
}

#[test]
fn unknown_and_oversized_documents_are_refused() {
    let mut documents = documents();
    documents.insert("engines".into(), String::new());
    documents.insert("contract/../x".into(), String::new());
    documents.insert("weights".into(), "#".repeat(DOCUMENT_LIMIT_BYTES + 1));
    let faults = Config::load(&documents).unwrap_err().faults;
    let reasons: Vec<Reason> = faults.iter().map(|f| f.reason).collect();
    assert_eq!(reasons, [Reason::Document, Reason::Document, Reason::Size]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: 256,
        ..ProptestConfig::default()
    })]

    #[test]
    fn mutated_documents_never_panic(
        document in any::<prop::sample::Index>(),
        at in any::<prop::sample::Index>(),
        len in 0..12usize,
        insert in "[\\[\\]\\{\\}=\".0-9a-z\n\u{e9} -]{0,8}",
    ) {
        let mut documents = documents();
        let name = document.get(&documents.keys().cloned().collect::<Vec<_>>()).clone();
        let text: Vec<char> = documents[&name].chars().collect();
        let start = at.index(text.len());
        let end = (start + len).min(text.len());
        let changed: String =
            text[..start].iter().copied().chain(insert.chars()).chain(text[end..].iter().copied()).collect();
        documents.insert(name, changed);
        match Config::load(&documents) {
            Ok(config) => prop_assert_eq!(Config::load(&config.documents().unwrap()).unwrap(), config),
            Err(e) => prop_assert!(!e.faults.is_empty() && !e.to_string().is_empty()),
        }
    }

    #[test]
    fn arbitrary_text_never_panics(text in "\\PC{0,200}", raw in any::<Vec<u8>>()) {
        for name in ["models", "endpoints", "links", "contract/gate-desk"] {
            for text in [text.clone(), String::from_utf8_lossy(&raw).into_owned()] {
                let _ = Config::load(&BTreeMap::from([(name.to_owned(), text)]));
            }
        }
    }
}
