//! The demo: the main job of one deployment, with a failure in the middle.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use oriole_core::config::{Config, Kind};
use oriole_core::name;
use serde::Serialize;
use serde_json::Value;
use uuid::Uuid;

use crate::caller::{Answer, Ask, Call, Caller, End};
use crate::cluster::{Cluster, key};

/// Tokens of the answer in which a stage dies.
const LONG_ANSWER_TOKENS: u32 = 48;

/// Requests that are made until one's answer is long enough for a stage to die in its middle.
const MOST_ASKED: usize = 5;

/// Tokens that have arrived when the stage dies.
const TOKENS_BEFORE_DEATH: usize = 8;

/// Longest time from the death of a stage to the next token.
const RECOVERY_TARGET: Duration = Duration::from_secs(1);

/// The outcome of one part of the demo.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Part {
    /// What was tried.
    pub title: String,
    /// Whether it came out right.
    pub right: bool,
    /// What was seen.
    pub seen: String,
    /// The request id, if there is one.
    pub request: Option<String>,
    /// The system's own account of its decisions.
    pub explain: Value,
}

/// The names that the demo uses.
struct Scene {
    model: String,
    layers: u16,
    service: String,
    path: String,
    large: name::Workspace,
    small: name::Workspace,
    burst: u32,
}

/// Runs the demo on a deployment; `progress` is told each part as it ends.
pub async fn run(cluster: &mut Cluster, mut progress: impl FnMut(&Part)) -> Vec<Part> {
    let Some(scene) = Scene::new(&cluster.config) else {
        let title = "finds a model, a plain service and contracts".to_owned();
        let seen = "the deployment lacks one".to_owned();
        let part = Part { title, right: false, seen, request: None, explain: Value::Null };
        progress(&part);
        return vec![part];
    };
    let caller = Caller::new();
    let mut parts = Vec::new();
    let ready = start(cluster).await;
    let mut keep = |part: Part| {
        progress(&part);
        parts.push(part);
    };
    keep(ready);
    keep(generate(cluster, &caller, &scene).await);
    keep(call_service(cluster, &caller, &scene).await);
    keep(exceed_limit(cluster, &caller, &scene).await);
    keep(kill_stage(cluster, &caller, &scene).await);
    parts
}

impl Scene {
    fn new(config: &Config) -> Option<Self> {
        let (model, settings) = config.models.first_key_value()?;
        let (service, routes) =
            config.services.iter().find(|(_, service)| !service.non_idempotent.is_empty())?;
        let route = routes.non_idempotent.iter().find(|route| route.method == "POST")?;
        let rate = |w: &&name::Workspace| config.contracts[*w].limits.requests;
        let ranked = |a: &&name::Workspace, b: &&name::Workspace| {
            rate(a).per_second().total_cmp(&rate(b).per_second())
        };
        let large = config.contracts.keys().max_by(ranked)?.clone();
        let small = config.contracts.keys().min_by(ranked)?.clone();
        Some(Self {
            model: model.to_string(),
            layers: settings.layers,
            service: service.to_string(),
            path: route.path.clone(),
            burst: config.contracts[&small].limits.request_burst,
            large,
            small,
        })
    }

    fn ask(&self, workspace: &name::Workspace, content: &str, max_tokens: u32) -> Ask {
        Ask {
            key: key(workspace),
            model: self.model.clone(),
            content: content.to_owned(),
            max_tokens,
            deadline: Duration::from_secs(20),
            layers: self.layers,
        }
    }
}

async fn start(cluster: &Cluster) -> Part {
    let start = Instant::now();
    let ready = cluster.wait_until_ready().await;
    let all = cluster.entries.len();
    let endpoints = cluster.endpoints.len();
    Part {
        title: "starts".to_owned(),
        right: ready == all,
        seen: format!(
            "{ready} of {all} entries answer, {endpoints} endpoints, after {} ms",
            start.elapsed().as_millis()
        ),
        request: None,
        explain: Value::Null,
    }
}

async fn generate(cluster: &Cluster, caller: &Caller, scene: &Scene) -> Part {
    let ask = scene.ask(&scene.large, "Which rooms and gates need somebody this morning?", 24);
    let Some(entry) = first_entry(cluster) else { return no_entry("generation") };
    let answer = caller.generate_patiently(entry, &ask, |_, _| ()).await;
    let first = answer.first_token().unwrap_or_default().as_millis();
    Part {
        title: "generation".to_owned(),
        right: answer.end == End::Complete && answer.is_right(&ask),
        seen: format!(
            "{} tokens, first after {first} ms, {}:{}",
            answer.times.len(),
            judged(&answer, &ask),
            answer.text
        ),
        explain: explain(caller, entry, &ask.key, answer.id.as_deref()).await,
        request: answer.id,
    }
}

/// Calls a plain service, and again with the same idempotency key through another entry, as a
/// caller does that did not get the answer.
async fn call_service(cluster: &Cluster, caller: &Caller, scene: &Scene) -> Part {
    let title = format!("non-idempotent call of {}{}, sent twice", scene.service, scene.path);
    let entries = cluster.callers();
    let (Some(first), Some(second)) = (entries.first(), entries.last()) else {
        return no_entry(&title);
    };
    let key = key(&scene.large);
    let call = Call {
        key: key.clone(),
        service: scene.service.clone(),
        path: scene.path.clone(),
        id: "demo-1".to_owned(),
        idempotency_key: Some(Uuid::now_v7().to_string()),
    };
    let called = caller.call_patiently(*first, &call).await;
    let again = caller.call_patiently(*second, &call).await;
    let runs: u32 = cluster.endpoints.values().map(|e| e.record.runs(&call.id)).sum();
    let seen = match &called.answer {
        Ok((status, body)) => format!("status {status}, {body}"),
        Err(end) => format!("{end:?}"),
    };
    let same = if again.answer == called.answer { "the same answer" } else { "ANOTHER answer" };
    Part {
        title,
        right: matches!(called.answer, Ok((200, _))) && again.answer == called.answer && runs == 1,
        seen: format!("{seen}; {same} through another entry; ran {runs} time(s) in all"),
        explain: explain(caller, *first, &key, called.id.as_deref()).await,
        request: called.id,
    }
}

/// Sends more requests, one after another over all entries, than the contract's burst allows:
/// some must be answered, the rest refused as not run.
async fn exceed_limit(cluster: &Cluster, caller: &Caller, scene: &Scene) -> Part {
    let ask = scene.ask(&scene.small, "One more.", 2);
    let entries = cluster.callers();
    // The rate of the smallest contract adds at most a few while they are sent.
    let count = scene.burst as usize * 4 + 8;
    let mut refused = Vec::new();
    // Entries that have just started hold no burst: the first one comes back until there is some.
    let Some(first) = first_entry(cluster) else { return no_entry("limit") };
    let admitted = caller.generate_patiently(first, &ask, |_, _| ()).await;
    let mut complete = u32::from(admitted.end == End::Complete);
    let mut all_right = admitted.is_right(&ask);
    for entry in entries.iter().cycle().take(count) {
        let answer = caller.generate(*entry, &ask, |_, _| ()).await;
        all_right &= answer.is_right(&ask);
        match &answer.end {
            End::Complete => complete += 1,
            End::Refused { ran, .. } if ran == "no" => refused.push((*entry, answer)),
            _ => all_right = false,
        }
    }
    let first = refused.first();
    let told = first.map(|(_, answer)| format!("{:?}", answer.end)).unwrap_or_default();
    let request = first.and_then(|(_, answer)| answer.id.clone());
    let explain = match first {
        Some((entry, _)) => explain(caller, *entry, &ask.key, request.as_deref()).await,
        None => Value::Null,
    };
    Part {
        title: format!("{count} requests over the limit of {}", scene.small),
        right: all_right && complete > 0 && !refused.is_empty(),
        seen: format!("{complete} complete, {} refused as not run: {told}", refused.len()),
        request,
        explain,
    }
}

/// Kills an engine that holds the request in the middle of its answer.
async fn kill_stage(cluster: &Cluster, caller: &Caller, scene: &Scene) -> Part {
    let title = "stage dies in the middle of an answer".to_owned();
    let Some(entry) = first_entry(cluster) else { return no_entry(&title) };
    let ask = scene.ask(&scene.large, "Plan the escorts until noon.", LONG_ANSWER_TOKENS);
    let mut death = None;
    let mut answer = None;
    // Some answers end before the stage is to die; then another one is asked for.
    for _ in 0..MOST_ASKED {
        let asked = caller.generate_patiently(entry, &ask, |tokens, id| {
            if tokens == TOKENS_BEFORE_DEATH {
                death = kill_holder(cluster, id).map(|victim| (victim, Instant::now()));
            }
        });
        let received = asked.await;
        let ended_early = received.times.len() < TOKENS_BEFORE_DEATH && received.is_right(&ask);
        answer = Some(received);
        if !ended_early {
            break;
        }
    }
    let (Some((victim, at)), Some(answer)) = (death, answer) else {
        let seen = "no engine held the request".to_owned();
        return Part { title, right: false, seen, request: None, explain: Value::Null };
    };
    // The pause that the caller saw: the longest gap that ends after the death.
    let gaps = answer.gaps().filter(|(end, _)| *end > at);
    let recovery = gaps.map(|(_, gap)| gap).max().unwrap_or(Duration::MAX);
    let right = answer.end == End::Complete && answer.is_right(&ask);
    Part {
        title,
        right: right && recovery <= RECOVERY_TARGET,
        seen: format!(
            "{victim} killed after {TOKENS_BEFORE_DEATH} tokens; next token after {} ms; \
             {} tokens, {}",
            recovery.as_millis(),
            answer.times.len(),
            judged(&answer, &ask)
        ),
        explain: explain(caller, entry, &ask.key, answer.id.as_deref()).await,
        request: answer.id,
    }
}

/// Kills an engine that holds the sequence: one that does not have the first layer, if there is
/// one, as its death is harder to see.
fn kill_holder(cluster: &Cluster, id: &str) -> Option<name::Endpoint> {
    let holders = cluster.holders(id);
    let is_inner = |name: &&name::Endpoint| match cluster.config.endpoints.get(*name) {
        Some(endpoint) => {
            matches!(endpoint.kind, Kind::Engine { first_layer, .. } if first_layer > 0)
        }
        None => false,
    };
    let victim = holders.iter().find(is_inner).or(holders.first())?;
    cluster.endpoints.get(victim)?.switch.crash();
    Some(victim.clone())
}

fn judged(answer: &Answer, ask: &Ask) -> &'static str {
    match (&answer.end, answer.is_right(ask)) {
        (End::Complete, true) => "byte for byte as expected",
        (End::Complete, false) => "WRONG",
        (_, true) => "incomplete",
        (_, false) => "incomplete and WRONG",
    }
}

fn first_entry(cluster: &Cluster) -> Option<SocketAddr> {
    cluster.callers().first().copied()
}

fn no_entry(title: &str) -> Part {
    let (title, seen) = (title.to_owned(), "no entry runs".to_owned());
    Part { title, right: false, seen, request: None, explain: Value::Null }
}

/// The entry's account of a request.
async fn explain(caller: &Caller, entry: SocketAddr, key: &str, id: Option<&str>) -> Value {
    let Some(id) = id else { return Value::Null };
    match caller.get(entry, key, &format!("/v1/explain/{id}")).await {
        Some((200, text)) => serde_json::from_str(&text).unwrap_or(Value::String(text)),
        _ => Value::Null,
    }
}
