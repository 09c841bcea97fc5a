//! Measures the time from a fault until callers receive tokens again.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use oriole_core::config::{Config, Kind};
use oriole_core::name;
use serde::Serialize;

use crate::caller::{Generation, Outcome};
use crate::cluster::{Cluster, Error, Options, api_key};
use crate::run::{self, Balancer, Run, Sample, Workload};
use crate::tally::{Durations, Percentiles, Tally};

/// Longest 95th percentile of the recovery if the fault closes connections.
const VISIBLE_FAULT_TARGET: Duration = Duration::from_secs(1);

/// Longest 95th percentile of the recovery if the fault leaves a connection open, so that only
/// missing or late answers show it.
const SILENT_FAULT_TARGET: Duration = Duration::from_secs(2);

/// Time from the start of the load to the fault.
const TIME_BEFORE_FAULT: Duration = Duration::from_secs(5);

/// Length of the phase "during", which starts with the fault.
const FAULT_PHASE: Duration = Duration::from_secs(3);

/// Period in which requests are sent.
const ARRIVAL_PERIOD: Duration = Duration::from_secs(13);

/// Time at the start of the load that does not count for the phase "before".
const WARM_UP: Duration = Duration::from_secs(1);

/// Delay of each byte on a degraded link.
const LINK_DELAY: Duration = Duration::from_millis(500);

/// Shortest time between two tokens that counts as a stall, because a caller notices it.
const MIN_STALL: Duration = Duration::from_millis(250);

/// Largest number of tokens of each answer.
const ANSWER_TOKENS: u32 = 64;

/// Number of workspaces that send requests.
const WORKSPACE_COUNT: usize = 3;

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// An engine dies; its side keeps running.
    StageDies,
    /// A host dies, with its engine and its side.
    HostDies,
    /// All open connections to a side stop carrying data for good; new ones work.
    ConnectionSilent,
    /// Each byte from and to a side is delayed by half a second.
    LinkDegrades,
    /// A side dies and is restarted at once.
    SideRestarts,
    /// All endpoints, sides and entries of an availability zone die.
    ZoneLost,
    /// An engine dies while the key-value service does not answer.
    KvOutAndStageDies,
    /// An engine dies while the open connections to the side of another host stop carrying data.
    TwoAtOnce,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 8] = [
        Self::StageDies,
        Self::HostDies,
        Self::ConnectionSilent,
        Self::LinkDegrades,
        Self::SideRestarts,
        Self::ZoneLost,
        Self::KvOutAndStageDies,
        Self::TwoAtOnce,
    ];

    /// Returns the longest allowed 95th percentile of the recovery.
    pub fn target(self) -> Duration {
        match self {
            Self::StageDies
            | Self::HostDies
            | Self::SideRestarts
            | Self::ZoneLost
            | Self::KvOutAndStageDies => VISIBLE_FAULT_TARGET,
            Self::ConnectionSilent | Self::LinkDegrades | Self::TwoAtOnce => SILENT_FAULT_TARGET,
        }
    }
}

/// Results of one fault over all rounds.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// Injected fault.
    pub fault: Fault,
    /// Recovery of the requests that the victims held: the time from the fault to the end of the
    /// last stall, or to the next token if there is no stall. A request without a complete answer
    /// counts with its deadline.
    pub recovery: Percentiles,
    /// Estimated recovery if each request were run again from its beginning: the recovery plus the
    /// median time to the first token and, for each token before the fault, the median time between
    /// tokens.
    pub from_beginning: Percentiles,
    /// Longest allowed 95th percentile of the recovery, in milliseconds.
    pub target_ms: u64,
    /// Counts of all requests.
    pub tally: Tally,
    /// Latencies before, during and after the fault.
    pub phases: Vec<Phase>,
    /// Whether the target was met and no request was lost, run twice or answered wrongly.
    pub met: bool,
}

/// Latencies of one phase of a run.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Phase {
    /// Name of the phase: `before`, `during` or `after` (the fault).
    pub name: &'static str,
    /// Time from sending a request to its first token.
    pub first_token: Percentiles,
    /// Time between two consecutive tokens of an answer.
    pub inter_token: Percentiles,
}

/// Measurements of all rounds.
#[derive(Default)]
struct Totals {
    recovery: Durations,
    from_beginning: Durations,
    tally: Tally,
    phases: [run::Summary; 3],
}

/// Injects one fault into each of `rounds` new deployments.
pub async fn run(config: &Config, fault: Fault, rounds: u64, seed: u64) -> Result<Report, Error> {
    let mut totals = Totals::default();
    for round in 0..rounds {
        run_round(config, fault, seed.wrapping_add(round), &mut totals).await?;
    }
    let recovery = totals.recovery.percentiles();
    let target_ms = u64::try_from(fault.target().as_millis()).unwrap_or(u64::MAX);
    let Tally { wrong, lost, doubled, .. } = totals.tally;
    let is_clean = wrong == 0 && lost == 0 && doubled == 0 && outcome_unknown(&totals.tally) == 0;
    let names = ["before", "during", "after"];
    let phases = names.into_iter().zip(&totals.phases).map(|(name, summary)| Phase {
        name,
        first_token: summary.first_token.percentiles(),
        inter_token: summary.inter_token.percentiles(),
    });
    Ok(Report {
        fault,
        from_beginning: totals.from_beginning.percentiles(),
        target_ms,
        phases: phases.collect(),
        met: is_clean && recovery.count > 0 && recovery.p95_ms <= target_ms as f64,
        recovery,
        tally: totals.tally,
    })
}

/// Returns the number of refused requests that may have run, whose outcome the callers do not know.
fn outcome_unknown(tally: &Tally) -> u64 {
    let unknown = tally.refused.iter().filter(|(reason, _)| !reason.ends_with("(ran: no)"));
    unknown.map(|(_, count)| count).sum()
}

async fn run_round(
    config: &Config,
    fault: Fault,
    seed: u64,
    totals: &mut Totals,
) -> Result<(), Error> {
    let options = Options { relays: true, kv: true, seed, ..Options::default() };
    let mut cluster = Cluster::start(config.clone(), options)?;
    cluster.publish().await?;
    cluster.wait_until_ready().await;
    let balancer = Balancer::new(cluster.http_addresses());
    let load = Run::start(workloads(&cluster.config, seed), &balancer, WORKSPACE_COUNT);
    let start = load.start;
    tokio::time::sleep_until((start + TIME_BEFORE_FAULT).into()).await;
    let victims = victims(&cluster, fault);
    let held_requests = held_requests(&cluster, &victims);
    let fault_at = Instant::now();
    let dead = inject(&mut cluster, fault, &victims)?;
    balancer.set_entries(cluster.http_addresses());
    let samples = load.finish().await;
    record_recoveries(&samples, &held_requests, fault_at, &dead, totals);
    let phase_bounds =
        [start + WARM_UP, fault_at, fault_at + FAULT_PHASE, start + Duration::from_secs(3600)];
    for (window, summary) in phase_bounds.windows(2).zip(&mut totals.phases) {
        let summed = run::summarize(&samples, window[0]..window[1]);
        summary.first_token.merge(&summed.first_token);
        summary.inter_token.merge(&summed.inter_token);
    }
    let all = run::summarize(&samples, start..fault_at + Duration::from_secs(3600));
    totals.tally.merge(&all.tally);
    Ok(())
}

fn workloads(config: &Config, seed: u64) -> Vec<Workload> {
    let Some((model, settings)) = config.models.first_key_value() else { return Vec::new() };
    let rate = |w: &name::Workspace| config.contracts[w].limits.requests.per_second();
    let mut workspaces: Vec<_> = config.contracts.keys().collect();
    workspaces.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
    let numbered = workspaces.into_iter().take(WORKSPACE_COUNT).zip(1_u64..);
    numbered
        .map(|(workspace, number)| Workload {
            generation: Generation {
                api_key: api_key(workspace),
                model: model.to_string(),
                content: String::new(),
                max_tokens: ANSWER_TOKENS,
                deadline: Duration::from_secs(20),
                layers: settings.layers,
            },
            prompt_words: 40,
            per_second: rate(workspace) * 0.4,
            duration: ARRIVAL_PERIOD,
            seed: seed.wrapping_mul(1000).wrapping_add(number),
        })
        .collect()
}

/// Picks the endpoints to which the fault applies: the engines that hold the most sequences, or for
/// the loss of a zone all endpoints in the zone of the last entry.
fn victims(cluster: &Cluster, fault: Fault) -> Vec<name::Endpoint> {
    if fault == Fault::ZoneLost {
        let zone = cluster.config.entries.values().next_back().map(|entry| &entry.zone);
        let endpoints = cluster.config.endpoints.iter();
        let lost = endpoints.filter(|(_, endpoint)| Some(&endpoint.zone) == zone);
        return lost.map(|(name, _)| name.clone()).collect();
    }
    let is_engine = |name: &name::Endpoint| {
        let kind = cluster.config.endpoints.get(name).map(|endpoint| &endpoint.kind);
        matches!(kind, Some(Kind::Engine { .. }))
    };
    let mut engines: Vec<_> =
        cluster.endpoints.iter().filter(|(name, _)| is_engine(name)).collect();
    engines.sort_by_key(|(_, endpoint)| std::cmp::Reverse(endpoint.probe.count()));
    let count = if fault == Fault::TwoAtOnce { 2 } else { 1 };
    engines.into_iter().take(count).map(|(name, _)| name.clone()).collect()
}

/// Returns the IDs of the requests whose sequences the victims hold.
fn held_requests(cluster: &Cluster, victims: &[name::Endpoint]) -> BTreeSet<String> {
    let endpoints = victims.iter().filter_map(|victim| cluster.endpoints.get(victim));
    let names = endpoints.flat_map(|endpoint| endpoint.probe.names());
    // The first four parts of the name of a sequence are the request ID.
    names.map(|name| name.split('-').take(4).collect::<Vec<_>>().join("-")).collect()
}

/// Injects the fault; returns the addresses of the entries that it kills.
fn inject(
    cluster: &mut Cluster,
    fault: Fault,
    victims: &[name::Endpoint],
) -> Result<Vec<SocketAddr>, Error> {
    let victim = victims.first().ok_or(Error::NotFound)?;
    let host = cluster.config.endpoints.get(victim).ok_or(Error::NotFound)?.host.clone();
    let before = cluster.http_addresses();
    match fault {
        Fault::StageDies => kill_endpoint(cluster, victim),
        Fault::HostDies => {
            kill_endpoint(cluster, victim);
            cluster.kill_side(&host)?;
        }
        Fault::ConnectionSilent => silence_connections(cluster, &host),
        Fault::LinkDegrades => {
            if let Some(relay) = cluster.sides.get(&host).and_then(|side| side.relay.as_ref()) {
                relay.degrade(LINK_DELAY, 0);
            }
        }
        Fault::SideRestarts => {
            cluster.kill_side(&host)?;
            cluster.restart_side(&host)?;
        }
        Fault::ZoneLost => {
            let zone = cluster.config.endpoints.get(victim).ok_or(Error::NotFound)?.zone.clone();
            cluster.kill_zone(&zone)?;
        }
        Fault::KvOutAndStageDies => {
            if let Some(kv) = &cluster.kv {
                kv.switch.set_stalled(true);
            }
            kill_endpoint(cluster, victim);
        }
        Fault::TwoAtOnce => {
            kill_endpoint(cluster, victim);
            let other = victims.get(1).and_then(|other| cluster.config.endpoints.get(other));
            silence_connections(cluster, &other.ok_or(Error::NotFound)?.host.clone());
        }
    }
    let after = cluster.http_addresses();
    Ok(before.into_iter().filter(|entry| !after.contains(entry)).collect())
}

fn kill_endpoint(cluster: &Cluster, victim: &name::Endpoint) {
    if let Some(endpoint) = cluster.endpoints.get(victim) {
        endpoint.switch.crash();
    }
}

fn silence_connections(cluster: &Cluster, host: &name::Host) {
    if let Some(relay) = cluster.sides.get(host).and_then(|side| side.relay.as_ref()) {
        relay.silence_open();
    }
}

/// Records the recovery of each request in `held_requests` whose entry survived the fault.
fn record_recoveries(
    samples: &[Sample],
    held_requests: &BTreeSet<String>,
    fault_at: Instant,
    dead: &[SocketAddr],
    totals: &mut Totals,
) {
    let before = run::summarize(samples, first_sent(samples)..fault_at);
    let first_token = from_millis(before.first_token.percentiles().p50_ms);
    let inter_token = from_millis(before.inter_token.percentiles().p50_ms);
    let affected = samples.iter().filter(|sample| {
        let id = sample.answer.id.as_ref();
        id.is_some_and(|id| held_requests.contains(id)) && !dead.contains(&sample.entry)
    });
    for sample in affected {
        let answer = &sample.answer;
        let delivered = answer.token_times.iter().filter(|time| **time <= fault_at).count();
        let next = answer.token_times.get(delivered);
        let stalls = answer.gaps().filter(|(end, gap)| *end > fault_at && *gap > MIN_STALL);
        let recovered = stalls.map(|(end, _)| end).last().or(next.copied());
        let recovery = match recovered {
            _ if answer.outcome != Outcome::Complete => sample.generation.deadline,
            Some(recovered) => recovered.duration_since(fault_at),
            // All tokens had arrived before the fault; the victims had not released the sequence
            // yet.
            None => continue,
        };
        totals.recovery.record(recovery);
        let rerun = first_token + inter_token * u32::try_from(delivered).unwrap_or(u32::MAX);
        totals.from_beginning.record(recovery + rerun);
    }
}

fn first_sent(samples: &[Sample]) -> Instant {
    samples.iter().map(|sample| sample.answer.sent_at).min().unwrap_or_else(Instant::now)
}

fn from_millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()
}
