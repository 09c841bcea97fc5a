//! Measures admitted throughput relative to the bounds set by the request limits of contracts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use oriole_core::config::Config;
use oriole_core::contract::Limits;
use oriole_core::name;
use serde::Serialize;

use crate::caller::{Generation, Outcome};
use crate::cluster::{Cluster, Error, Options, api_key};
use crate::run::{self, Balancer, Run, Sample, Workload};
use crate::tally::Tally;

/// Least admitted throughput without faults, as a fraction of the bound.
pub const FAULT_FREE_TARGET: f64 = 0.95;

/// Least admitted throughput with a fault, as a fraction of the bound.
pub const FAULT_TARGET: f64 = 0.90;

/// Time for which an entry is paused.
const ENTRY_PAUSE: Duration = Duration::from_secs(4);

/// Time without requests before the load starts, as before dawn, in which the token buckets fill
/// up.
const IDLE_PERIOD: Duration = Duration::from_secs(5);

/// Ratio of the offered rate to the rate of the contract.
const OFFERED_OVER_BOUND: f64 = 1.5;

/// Factor on the times of engines, so that engines do not limit throughput.
const TIME_SCALE: f64 = 0.25;

/// How requests are spread over the entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrival {
    /// Evenly over all entries, as in the burst at dawn that follows an idle night.
    #[serde(rename = "dawn")]
    AllEntries,
    /// All requests go to one entry.
    OneEntry,
}

/// The fault that is injected after a third of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    None,
    /// An entry is killed; the balancer stops using it at once.
    EntryKilled,
    /// An entry is paused for `ENTRY_PAUSE`; the balancer does not use it meanwhile.
    EntryPaused,
    /// The key-value service accepts calls but does not answer them.
    KvOut,
}

/// A case to measure.
#[derive(Clone, Debug)]
pub struct Case {
    /// How requests are spread over the entries.
    pub arrival: Arrival,
    /// Injected fault.
    pub fault: Fault,
    /// Period in which requests are sent.
    pub duration: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Results of one workspace.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkspaceReport {
    /// Requests that were sent.
    pub offered: u64,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests that the limits allow over the whole run, including the burst, but at most
    /// `offered`.
    pub allowed: f64,
    /// Largest number of admitted requests above the bound over all time windows; 0 if the bound
    /// held in all of them.
    pub excess: f64,
    /// Requests that equal static shares of the limits, one per entry, would have admitted.
    pub static_shares: u64,
    /// Requests that a single central limiter would have admitted.
    pub central: u64,
}

/// Results of one case.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// How requests were spread over the entries.
    pub arrival: Arrival,
    /// Injected fault.
    pub fault: Fault,
    /// Counts of the requests of all workspaces.
    pub tally: Tally,
    /// Results by workspace.
    pub workspaces: BTreeMap<String, WorkspaceReport>,
    /// Ratio of admitted to allowed requests over all workspaces.
    pub throughput: f64,
    /// The same ratio for static shares.
    pub static_shares: f64,
    /// The same ratio for a central limiter; `None` with a fault, which would stop such a limiter.
    pub central: Option<f64>,
    /// Ratio of the requests admitted in each second to the sum of the contracts' rates, without
    /// bursts.
    pub timeline: Vec<f64>,
    /// Whether the bound held in all time windows, no request was answered wrongly, lost or run
    /// twice, and the throughput reached its target.
    pub met: bool,
}

/// Runs one case on a new deployment.
pub async fn run(config: &Config, case: &Case) -> Result<Report, Error> {
    let seed = case.seed;
    let options = Options { time_scale: TIME_SCALE, kv: true, seed, ..Options::default() };
    let mut cluster = Cluster::start(config.clone(), options)?;
    cluster.publish().await?;
    cluster.wait_until_ready().await;
    tokio::time::sleep(IDLE_PERIOD).await;
    let balancer = Balancer::new(target_entries(&cluster, case.arrival));
    let workloads = workloads(&cluster.config, case);
    let load = Run::start(workloads, &balancer, 4);
    let start = load.start;
    let third = case.duration / 3;
    tokio::time::sleep(third).await;
    inject(&mut cluster, &balancer, case).await?;
    let samples = load.finish().await;
    Ok(report(&cluster, case, start, &samples))
}

/// Returns the addresses of the entries that receive requests.
fn target_entries(cluster: &Cluster, arrival: Arrival) -> Vec<SocketAddr> {
    let mut entries = cluster.http_addresses();
    if arrival == Arrival::OneEntry {
        entries.truncate(1);
    }
    entries
}

fn workloads(config: &Config, case: &Case) -> Vec<Workload> {
    let Some((model, settings)) = config.models.first_key_value() else { return Vec::new() };
    let numbered = config.contracts.iter().zip(1_u64..);
    numbered
        .map(|((workspace, contract), number)| Workload {
            generation: Generation {
                api_key: api_key(workspace),
                model: model.to_string(),
                content: String::new(),
                max_tokens: 4,
                deadline: Duration::from_secs(10),
                layers: settings.layers,
            },
            prompt_words: 6,
            per_second: contract.limits.requests.per_second() * OFFERED_OVER_BOUND,
            duration: case.duration,
            seed: case.seed.wrapping_mul(1000).wrapping_add(number),
        })
        .collect()
}

async fn inject(cluster: &mut Cluster, balancer: &Balancer, case: &Case) -> Result<(), Error> {
    // The last entry is the victim: in `Arrival::OneEntry` all requests go to the first one, and
    // the share of the limits that the last one holds is idle.
    let Some(host) = cluster.entries.keys().next_back().cloned() else { return Ok(()) };
    let others: Vec<SocketAddr> =
        cluster.http_addresses().into_iter().rev().skip(1).rev().collect();
    match case.fault {
        Fault::None => {}
        Fault::KvOut => {
            if let Some(kv) = &cluster.kv {
                kv.switch.set_stalled(true);
            }
        }
        Fault::EntryKilled => {
            cluster.kill_entry(&host)?;
            if case.arrival == Arrival::AllEntries {
                balancer.set_entries(others);
            }
        }
        Fault::EntryPaused => {
            cluster.pause_entry(&host, ENTRY_PAUSE)?;
            if case.arrival == Arrival::AllEntries {
                let all = cluster.http_addresses();
                balancer.set_entries(others);
                tokio::time::sleep(ENTRY_PAUSE).await;
                balancer.set_entries(all);
            }
        }
    }
    Ok(())
}

fn report(cluster: &Cluster, case: &Case, start: Instant, samples: &[Sample]) -> Report {
    let mut workspaces = BTreeMap::new();
    let entries = cluster.entries.len();
    for (workload, (workspace, contract)) in cluster.config.contracts.iter().enumerate() {
        let own: Vec<&Sample> = samples.iter().filter(|s| s.workload == workload).collect();
        let counts = workspace_report(&contract.limits, case, start, &own, entries);
        workspaces.insert(name::Workspace::to_string(workspace), counts);
    }
    let end = start + Duration::from_secs(3600);
    let tally = run::summarize(samples, start..end).tally;
    let total = |of: fn(&WorkspaceReport) -> f64| workspaces.values().map(of).sum::<f64>();
    let allowed = total(|s| s.allowed).max(1.0);
    let throughput = total(|s| s.admitted as f64) / allowed;
    let has_fault = case.fault != Fault::None;
    let target = if has_fault { FAULT_TARGET } else { FAULT_FREE_TARGET };
    let within_bound = workspaces.values().all(|counts| counts.excess <= 0.0);
    let is_clean = tally.wrong == 0 && tally.lost == 0 && tally.doubled == 0;
    Report {
        arrival: case.arrival,
        fault: case.fault,
        throughput,
        static_shares: total(|s| s.static_shares as f64) / allowed,
        central: (!has_fault).then(|| total(|s| s.central as f64) / allowed),
        timeline: timeline(&cluster.config, case, start, samples),
        met: within_bound && is_clean && throughput >= target,
        tally,
        workspaces,
    }
}

fn timeline(config: &Config, case: &Case, start: Instant, samples: &[Sample]) -> Vec<f64> {
    let contracts = config.contracts.values();
    let rate: f64 = contracts.map(|contract| contract.limits.requests.per_second()).sum();
    let sent_times: Vec<f64> =
        samples.iter().filter_map(|s| admission_interval(s, start)).map(|t| t.0).collect();
    let seconds = 0..case.duration.as_secs();
    seconds
        .map(|second| {
            let second = second as f64;
            let count = sent_times.iter().filter(|at| (second..second + 1.0).contains(at)).count();
            count as f64 / rate.max(1.0)
        })
        .collect()
}

fn workspace_report(
    limits: &Limits,
    case: &Case,
    start: Instant,
    samples: &[&Sample],
    entries: usize,
) -> WorkspaceReport {
    let (rate, burst) = (limits.requests.per_second(), f64::from(limits.request_burst));
    let admitted: Vec<(f64, f64)> =
        samples.iter().filter_map(|sample| admission_interval(sample, start)).collect();
    let offered = samples.len() as u64;
    let allowed = burst + rate * case.duration.as_secs_f64();
    WorkspaceReport {
        offered,
        admitted: admitted.len() as u64,
        allowed: allowed.min(offered as f64),
        excess: excess(&admitted, rate, burst),
        static_shares: replay_static_shares(samples, start, rate, burst, entries),
        central: replay_token_bucket(samples.iter().copied(), start, rate, burst),
    }
}

/// Returns when an admitted request was sent and when its first token came, in seconds since
/// `start`. The admission lies between the two. Returns `None` if the request was not admitted.
fn admission_interval(sample: &Sample, start: Instant) -> Option<(f64, f64)> {
    let answer = &sample.answer;
    let ran = match &answer.outcome {
        Outcome::Complete => true,
        Outcome::Refused { ran, .. } => ran != "no",
        Outcome::Unreachable | Outcome::Cut | Outcome::Silent => !answer.token_times.is_empty(),
    };
    let sent = answer.sent_at.duration_since(start).as_secs_f64();
    let first = answer.token_times.first().map_or(sent, |t| t.duration_since(start).as_secs_f64());
    ran.then_some((sent, first))
}

/// Returns the largest number of requests above the bound over all time windows. A request counts
/// for a window only if its whole admission interval lies in it, so the result is a lower bound.
fn excess(admitted: &[(f64, f64)], rate: f64, burst: f64) -> f64 {
    let mut by_answer = admitted.to_vec();
    by_answer.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut max_excess: f64 = 0.0;
    for (start, _) in admitted {
        let mut count = 0.0;
        for (_, end) in by_answer.iter().filter(|(sent, _)| sent >= start) {
            count += 1.0;
            max_excess = max_excess.max(count - burst - rate * (end - start));
        }
    }
    // The bound is continuous but requests are whole, so an excess below 1 is not a violation.
    if max_excess < 1.0 { 0.0 } else { max_excess }
}

/// Returns how many of the requests a single token bucket would have admitted.
fn replay_token_bucket<'a>(
    samples: impl Iterator<Item = &'a Sample>,
    start: Instant,
    rate: f64,
    burst: f64,
) -> u64 {
    let mut times: Vec<f64> =
        samples.map(|s| s.answer.sent_at.duration_since(start).as_secs_f64()).collect();
    times.sort_by(f64::total_cmp);
    let (mut level, mut last, mut count) = (burst, 0.0, 0);
    for time in times {
        level = (level + rate * (time - last)).min(burst);
        last = time;
        if level >= 1.0 {
            level -= 1.0;
            count += 1;
        }
    }
    count
}

/// Returns how many of the requests equal static shares of the limits, one per entry, would have
/// admitted.
fn replay_static_shares(
    samples: &[&Sample],
    start: Instant,
    rate: f64,
    burst: f64,
    entries: usize,
) -> u64 {
    let mut by_entry: BTreeMap<SocketAddr, Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        by_entry.entry(sample.entry).or_default().push(sample);
    }
    let shares = entries.max(1) as f64;
    by_entry
        .into_values()
        .map(|own| replay_token_bucket(own.into_iter(), start, rate / shares, burst / shares))
        .sum()
}
