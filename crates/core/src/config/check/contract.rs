//! Checks of contracts: API keys, models and services, limits, priority and deadlines.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Checker, join_names};
use crate::config::Config;
use crate::config::document::contract_document;
use crate::config::fault::{Fault, Reason};
use crate::contract::{Contract, Limits, ServiceLevel};
use crate::name;
use crate::units::Rate;

/// Hexadecimal digits of a SHA-256.
const KEY_HASH_DIGITS: usize = 64;
const PRIORITY_LIMIT: u8 = 7;
const WEIGHT_LIMIT: u32 = 1_000_000;
const MAX_RATE_PER_SECOND: f64 = 1e9;
const SHORTEST_DEADLINE: Duration = Duration::from_millis(1);
const LONGEST_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// Finds the faults of all contracts.
pub(super) fn run(config: &Config, faults: &mut Vec<Fault>) {
    let mut owners = BTreeMap::new();
    for (workspace, contract) in &config.contracts {
        let mut checker = Checker::new(faults, &contract_document(workspace), "");
        check_keys(&mut checker, workspace, contract, &mut owners);
        check_targets(&mut checker, config, contract);
        check_limits(&mut checker, config, contract);
        check_service(&mut checker, &contract.service);
    }
}

/// Checks that each key is a hash and belongs to one workspace only. Otherwise the contract that
/// applies to a caller would be ambiguous.
fn check_keys<'a>(
    checker: &mut Checker<'_>,
    workspace: &'a name::Workspace,
    contract: &'a Contract,
    owners: &mut BTreeMap<&'a str, &'a name::Workspace>,
) {
    if contract.keys.is_empty() {
        checker.fault("keys", Reason::Range, "none", "at least one key");
    }
    for key in &contract.keys {
        let digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if key.len() != KEY_HASH_DIGITS || !key.chars().all(digit) {
            let allowed = "a SHA-256 as 64 hexadecimal digits in lower case";
            checker.fault("keys", Reason::Range, format!("{key:?}"), allowed);
        }
        let owner = owners.entry(key).or_insert(workspace);
        if *owner != workspace {
            let allowed =
                format!("a key that no other workspace uses; workspace {owner} has this one");
            checker.fault("keys", Reason::Contradiction, format!("{key:?}"), allowed);
        }
    }
}

fn check_targets(checker: &mut Checker<'_>, config: &Config, contract: &Contract) {
    if contract.models.is_empty() && contract.services.is_empty() {
        checker.fault(
            "models",
            Reason::Range,
            "no model and no service",
            "at least one model or service",
        );
    }
    for model in contract.models.iter().filter(|m| !config.models.contains_key(m)) {
        checker.fault("models", Reason::Name, model, join_names(config.models.keys()));
    }
    for service in contract.services.iter().filter(|s| !config.services.contains_key(s)) {
        checker.fault("services", Reason::Name, service, join_names(config.services.keys()));
    }
}

fn check_limits(checker: &mut Checker<'_>, config: &Config, contract: &Contract) {
    let Limits { requests, request_burst, tokens, token_burst, concurrency } = contract.limits;
    check_rate(checker, "limits.requests", requests);
    check_rate(checker, "limits.tokens", tokens);
    checker.range("limits.request-burst", request_burst, 1..=u32::MAX);
    checker.range("limits.concurrency", concurrency, 1..=u32::MAX);
    let models = contract.models.iter().filter_map(|m| config.models.get(m));
    let longest = models.map(|m| m.context).max().unwrap_or(0);
    if token_burst < longest {
        let allowed = format!("at least {longest}, the longest sequence of the contract's models");
        checker.fault("limits.token-burst", Reason::Range, token_burst, allowed);
    }
}

fn check_rate(checker: &mut Checker<'_>, key: &str, rate: Rate) {
    let per_second = rate.per_second();
    if per_second <= 0.0 || per_second > MAX_RATE_PER_SECOND {
        checker.fault(key, Reason::Range, rate, "above 0/s, up to 1000000000/s");
    }
}

fn check_service(checker: &mut Checker<'_>, service: &ServiceLevel) {
    checker.range("service.priority", service.priority, 0..=PRIORITY_LIMIT);
    checker.range("service.weight", service.weight, 1..=WEIGHT_LIMIT);
    let (default, longest) = (service.default_deadline, service.longest_deadline);
    if !(SHORTEST_DEADLINE..=LONGEST_DEADLINE).contains(&longest) {
        let found = humantime::format_duration(longest);
        checker.fault("service.longest-deadline", Reason::Range, found, "1ms to 24h");
    }
    if !(SHORTEST_DEADLINE..=longest).contains(&default) {
        let found = humantime::format_duration(default);
        let allowed = format!("1ms to longest-deadline, {}", humantime::format_duration(longest));
        checker.fault("service.default-deadline", Reason::Range, found, allowed);
    }
}
