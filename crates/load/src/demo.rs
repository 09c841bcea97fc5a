//! The demo: checks the main functions of one deployment, and kills a stage during an answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use oriole_core::config::{Config, Kind};
use oriole_core::name;
use serde::Serialize;
use serde_json::Value;
use uuid::Uuid;

use crate::caller::{Answer, Call, Caller, Generation, Outcome};
use crate::cluster::{Cluster, api_key};

/// Largest number of tokens of the answer during which a stage is killed.
const LONG_ANSWER_TOKENS: u32 = 48;

/// Most requests sent until an answer is long enough to kill a stage during it.
const MAX_GENERATIONS: usize = 5;

/// Number of tokens after which the stage is killed.
const TOKENS_BEFORE_KILL: usize = 8;

/// Longest allowed time from the death of a stage to the next token.
const RECOVERY_TARGET: Duration = Duration::from_secs(1);

/// The result of one check of the demo.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Check {
    /// What was checked.
    pub title: String,
    /// Whether the check passed.
    #[serde(rename = "right")]
    pub passed: bool,
    /// Observed behaviour.
    #[serde(rename = "seen")]
    pub observed: String,
    /// Request ID, if there is one.
    pub request: Option<String>,
    /// Decisions about the request, as reported by the entry; null if there are none.
    pub explain: Value,
}

/// The parts of the configuration that the demo uses.
struct Scenario {
    model: String,
    layers: u16,
    service: String,
    /// Path of a non-idempotent `POST` route of the service.
    path: String,
    /// Workspace with the highest request rate.
    high_rate: name::Workspace,
    /// Workspace with the lowest request rate.
    low_rate: name::Workspace,
    /// Request burst of `low_rate`.
    burst: u32,
}

/// Runs the demo on a deployment and calls `progress` after each check.
pub async fn run(cluster: &mut Cluster, mut progress: impl FnMut(&Check)) -> Vec<Check> {
    let Some(scenario) = Scenario::new(&cluster.config) else {
        let title = "finds a model, a plain service and contracts".to_owned();
        let observed = "the deployment lacks one".to_owned();
        let check = Check { title, passed: false, observed, request: None, explain: Value::Null };
        progress(&check);
        return vec![check];
    };
    let caller = Caller::new();
    let mut checks = Vec::new();
    let ready = start(cluster).await;
    let mut record = |check: Check| {
        progress(&check);
        checks.push(check);
    };
    record(ready);
    record(generate(cluster, &caller, &scenario).await);
    record(call_service(cluster, &caller, &scenario).await);
    record(exceed_limit(cluster, &caller, &scenario).await);
    record(kill_stage(cluster, &caller, &scenario).await);
    checks
}

impl Scenario {
    fn new(config: &Config) -> Option<Self> {
        let (model, settings) = config.models.first_key_value()?;
        let (service, routes) =
            config.services.iter().find(|(_, service)| !service.non_idempotent.is_empty())?;
        let route = routes.non_idempotent.iter().find(|route| route.method == "POST")?;
        let rate = |w: &&name::Workspace| config.contracts[*w].limits.requests;
        let by_rate = |a: &&name::Workspace, b: &&name::Workspace| {
            rate(a).per_second().total_cmp(&rate(b).per_second())
        };
        let high_rate = config.contracts.keys().max_by(by_rate)?.clone();
        let low_rate = config.contracts.keys().min_by(by_rate)?.clone();
        Some(Self {
            model: model.to_string(),
            layers: settings.layers,
            service: service.to_string(),
            path: route.path.clone(),
            burst: config.contracts[&low_rate].limits.request_burst,
            high_rate,
            low_rate,
        })
    }

    fn generation(
        &self,
        workspace: &name::Workspace,
        content: &str,
        max_tokens: u32,
    ) -> Generation {
        Generation {
            api_key: api_key(workspace),
            model: self.model.clone(),
            content: content.to_owned(),
            max_tokens,
            deadline: Duration::from_secs(20),
            layers: self.layers,
        }
    }
}

async fn start(cluster: &Cluster) -> Check {
    let start = Instant::now();
    let ready = cluster.wait_until_ready().await;
    let all = cluster.entries.len();
    let endpoints = cluster.endpoints.len();
    Check {
        title: "starts".to_owned(),
        passed: ready == all,
        observed: format!(
            "{ready} of {all} entries answer, {endpoints} endpoints, after {} ms",
            start.elapsed().as_millis()
        ),
        request: None,
        explain: Value::Null,
    }
}

async fn generate(cluster: &Cluster, caller: &Caller, scenario: &Scenario) -> Check {
    let generation = scenario.generation(
        &scenario.high_rate,
        "Which rooms and gates need somebody this morning?",
        24,
    );
    let Some(entry) = first_entry(cluster) else { return no_entry("generation") };
    let answer = caller.generate_with_retries(entry, &generation, |_, _| ()).await;
    let first = answer.first_token().unwrap_or_default().as_millis();
    Check {
        title: "generation".to_owned(),
        passed: answer.outcome == Outcome::Complete && answer.is_correct(&generation),
        observed: format!(
            "{} tokens, first after {first} ms, {}:{}",
            answer.token_times.len(),
            verdict(&answer, &generation),
            answer.text
        ),
        explain: explain(caller, entry, &generation.api_key, answer.id.as_deref()).await,
        request: answer.id,
    }
}

/// Calls a plain service, and repeats the call with the same idempotency key through another
/// entry, like a caller that did not receive the response. The call must run once.
async fn call_service(cluster: &Cluster, caller: &Caller, scenario: &Scenario) -> Check {
    let title = format!("non-idempotent call of {}{}, sent twice", scenario.service, scenario.path);
    let entries = cluster.http_addresses();
    let (Some(first), Some(second)) = (entries.first(), entries.last()) else {
        return no_entry(&title);
    };
    let api_key = api_key(&scenario.high_rate);
    let call = Call {
        api_key: api_key.clone(),
        service: scenario.service.clone(),
        path: scenario.path.clone(),
        id: "demo-1".to_owned(),
        idempotency_key: Some(Uuid::now_v7().to_string()),
    };
    let first_response = caller.call_with_retries(*first, &call).await;
    let second_response = caller.call_with_retries(*second, &call).await;
    let runs: u32 = cluster.endpoints.values().map(|e| e.record.runs(&call.id)).sum();
    let observed = match &first_response.result {
        Ok((status, body)) => format!("status {status}, {body}"),
        Err(outcome) => format!("{outcome:?}"),
    };
    let same = if second_response.result == first_response.result {
        "the same answer"
    } else {
        "ANOTHER answer"
    };
    Check {
        title,
        passed: matches!(first_response.result, Ok((200, _)))
            && second_response.result == first_response.result
            && runs == 1,
        observed: format!("{observed}; {same} through another entry; ran {runs} time(s) in total"),
        explain: explain(caller, *first, &api_key, first_response.id.as_deref()).await,
        request: first_response.id,
    }
}

/// Sends more requests than the burst of the contract allows, one after another over all entries.
/// Some must be answered, and the others refused as not run.
async fn exceed_limit(cluster: &Cluster, caller: &Caller, scenario: &Scenario) -> Check {
    let generation = scenario.generation(&scenario.low_rate, "One more.", 2);
    let entries = cluster.http_addresses();
    // The rate of this contract allows only a few more requests while these are sent.
    let count = scenario.burst as usize * 4 + 8;
    let mut refused = Vec::new();
    // Entries hold no burst right after their start, so the first request is retried until it is
    // admitted.
    let Some(first) = first_entry(cluster) else { return no_entry("limit") };
    let admitted = caller.generate_with_retries(first, &generation, |_, _| ()).await;
    let mut complete = u32::from(admitted.outcome == Outcome::Complete);
    let mut all_correct = admitted.is_correct(&generation);
    for entry in entries.iter().cycle().take(count) {
        let answer = caller.generate(*entry, &generation, |_, _| ()).await;
        all_correct &= answer.is_correct(&generation);
        match &answer.outcome {
            Outcome::Complete => complete += 1,
            Outcome::Refused { ran, .. } if ran == "no" => refused.push((*entry, answer)),
            _ => all_correct = false,
        }
    }
    let first = refused.first();
    let refusal = first.map(|(_, answer)| format!("{:?}", answer.outcome)).unwrap_or_default();
    let request = first.and_then(|(_, answer)| answer.id.clone());
    let explain = match first {
        Some((entry, _)) => explain(caller, *entry, &generation.api_key, request.as_deref()).await,
        None => Value::Null,
    };
    Check {
        // The first request, which was admitted, is one more.
        title: format!("{} requests over the limit of {}", count + 1, scenario.low_rate),
        passed: all_correct && complete > 0 && !refused.is_empty(),
        observed: format!("{complete} complete, {} refused as not run: {refusal}", refused.len()),
        request,
        explain,
    }
}

/// Kills an engine that holds a sequence of a request while the answer is streamed. The answer must
/// continue without errors.
async fn kill_stage(cluster: &Cluster, caller: &Caller, scenario: &Scenario) -> Check {
    let title = "stage dies in the middle of an answer".to_owned();
    let Some(entry) = first_entry(cluster) else { return no_entry(&title) };
    let generation = scenario.generation(
        &scenario.high_rate,
        "Plan the escorts until noon.",
        LONG_ANSWER_TOKENS,
    );
    let mut death = None;
    let mut answer = None;
    // Another generation is requested if the answer ends before the stage is killed.
    for _ in 0..MAX_GENERATIONS {
        let receiving = caller.generate_with_retries(entry, &generation, |tokens, id| {
            if tokens == TOKENS_BEFORE_KILL {
                death = kill_holder(cluster, id).map(|victim| (victim, Instant::now()));
            }
        });
        let received = receiving.await;
        let ended_early =
            received.token_times.len() < TOKENS_BEFORE_KILL && received.is_correct(&generation);
        answer = Some(received);
        if !ended_early {
            break;
        }
    }
    let (Some((victim, killed_at)), Some(answer)) = (death, answer) else {
        let observed = "no engine held the request".to_owned();
        return Check { title, passed: false, observed, request: None, explain: Value::Null };
    };
    // The caller sees the recovery as the longest gap that ends after the death.
    let gaps = answer.gaps().filter(|(end, _)| *end > killed_at);
    let recovery = gaps.map(|(_, gap)| gap).max().unwrap_or(Duration::MAX);
    let passed = answer.outcome == Outcome::Complete && answer.is_correct(&generation);
    Check {
        title,
        passed: passed && recovery <= RECOVERY_TARGET,
        observed: format!(
            "{victim} killed after {TOKENS_BEFORE_KILL} tokens; next token after {} ms; \
             {} tokens, {}",
            recovery.as_millis(),
            answer.token_times.len(),
            verdict(&answer, &generation)
        ),
        explain: explain(caller, entry, &generation.api_key, answer.id.as_deref()).await,
        request: answer.id,
    }
}

/// Kills an engine that holds a sequence of the request `id`; returns `None` if there is none.
///
/// Prefers an engine without the first layer, because its death is harder to detect.
fn kill_holder(cluster: &Cluster, id: &str) -> Option<name::Endpoint> {
    let holders = cluster.holders(id);
    let is_later_stage = |name: &&name::Endpoint| match cluster.config.endpoints.get(*name) {
        Some(endpoint) => {
            matches!(endpoint.kind, Kind::Engine { first_layer, .. } if first_layer > 0)
        }
        None => false,
    };
    let victim = holders.iter().find(is_later_stage).or(holders.first())?;
    cluster.endpoints.get(victim)?.switch.crash();
    Some(victim.clone())
}

fn verdict(answer: &Answer, generation: &Generation) -> &'static str {
    match (&answer.outcome, answer.is_correct(generation)) {
        (Outcome::Complete, true) => "byte for byte as expected",
        (Outcome::Complete, false) => "WRONG",
        (_, true) => "incomplete",
        (_, false) => "incomplete and WRONG",
    }
}

fn first_entry(cluster: &Cluster) -> Option<SocketAddr> {
    cluster.http_addresses().first().copied()
}

fn no_entry(title: &str) -> Check {
    let (title, observed) = (title.to_owned(), "no entry runs".to_owned());
    Check { title, passed: false, observed, request: None, explain: Value::Null }
}

/// Gets the entry's explanation of its decisions about a request; null if there is none.
async fn explain(caller: &Caller, entry: SocketAddr, api_key: &str, id: Option<&str>) -> Value {
    let Some(id) = id else { return Value::Null };
    match caller.get(entry, api_key, &format!("/v1/explain/{id}")).await {
        Some((200, text)) => serde_json::from_str(&text).unwrap_or(Value::String(text)),
        _ => Value::Null,
    }
}
