//! Admitted throughput over the bound that each contract sets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use oriole_core::config::Config;
use oriole_core::contract::Limits;
use oriole_core::name;
use serde::Serialize;

use crate::caller::{Ask, End};
use crate::cluster::{Cluster, Error, Options, key};
use crate::run::{self, Balancer, Run, Sample, Stream};
use crate::tally::Tally;

/// Least admitted throughput over the bound without faults.
pub const UNDISTURBED_TARGET: f64 = 0.95;

/// Least admitted throughput over the bound with a fault.
pub const DISTURBED_TARGET: f64 = 0.90;

/// Time for which a paused entry stands still.
const PAUSE: Duration = Duration::from_secs(4);

/// Time without requests before the arrivals, as before dawn, in which bursts can fill up.
const IDLE: Duration = Duration::from_secs(5);

/// Offered rate over the bound.
const OVERLOAD: f64 = 1.5;

/// Factor on the engines' times: engines must not be what limits throughput.
const TIME_SCALE: f64 = 0.25;

/// Where the arrivals go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrival {
    /// To all entries alike, as in the dawn burst.
    Dawn,
    /// All to one entry.
    OneEntry,
}

/// What goes wrong in the middle of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Nothing.
    None,
    /// An entry dies; the balancer notices at once.
    EntryKilled,
    /// An entry stands still for a while and goes on; the balancer avoids it meanwhile.
    EntryPaused,
    /// The key-value service accepts calls and answers none.
    KvOut,
}

/// How one case is run.
#[derive(Clone, Debug)]
pub struct Case {
    /// Where the arrivals go.
    pub arrival: Arrival,
    /// What goes wrong.
    pub fault: Fault,
    /// Time for which requests arrive.
    pub duration: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Figures of one workspace.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Share {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests that the bound allows for over the whole run, burst included, or all that came.
    pub allowed: f64,
    /// Most by which the admitted requests of any window passed the bound, 0 if never.
    pub excess: f64,
    /// Requests that static shares would have admitted.
    pub static_shares: u64,
    /// Requests that one central limiter would have admitted.
    pub central: u64,
}

/// Figures of one case.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Figures {
    /// Where the arrivals went.
    pub arrival: Arrival,
    /// What went wrong.
    pub fault: Fault,
    /// Counts of all workspaces.
    pub tally: Tally,
    /// Figures by workspace.
    pub workspaces: BTreeMap<String, Share>,
    /// Admitted over allowed requests, all workspaces.
    pub throughput: f64,
    /// The same for static shares.
    pub static_shares: f64,
    /// The same for one central limiter, which a fault would stop.
    pub central: Option<f64>,
    /// Requests admitted in each second, over the rates of all contracts without their bursts.
    pub timeline: Vec<f64>,
    /// Whether the bound held in every window and the target was met.
    pub met: bool,
}

/// Runs one case on a deployment of its own.
pub async fn run(config: &Config, case: &Case) -> Result<Figures, Error> {
    let seed = case.seed;
    let options = Options { time_scale: TIME_SCALE, kv: true, seed, ..Options::default() };
    let mut cluster = Cluster::start(config.clone(), options)?;
    cluster.publish().await?;
    cluster.wait_until_ready().await;
    tokio::time::sleep(IDLE).await;
    let balancer = Balancer::new(targets(&cluster, case.arrival));
    let streams = streams(&cluster.config, case);
    let load = Run::start(streams, &balancer, 4);
    let start = load.start;
    let third = case.duration / 3;
    tokio::time::sleep(third).await;
    disturb(&mut cluster, &balancer, case).await?;
    let samples = load.finish().await;
    Ok(figures(&cluster, case, start, &samples))
}

/// Entries that take the arrivals.
fn targets(cluster: &Cluster, arrival: Arrival) -> Vec<SocketAddr> {
    let mut entries = cluster.callers();
    if arrival == Arrival::OneEntry {
        entries.truncate(1);
    }
    entries
}

fn streams(config: &Config, case: &Case) -> Vec<Stream> {
    let Some((model, settings)) = config.models.first_key_value() else { return Vec::new() };
    let numbered = config.contracts.iter().zip(1_u64..);
    numbered
        .map(|((workspace, contract), number)| Stream {
            ask: Ask {
                key: key(workspace),
                model: model.to_string(),
                content: String::new(),
                max_tokens: 4,
                deadline: Duration::from_secs(10),
                layers: settings.layers,
            },
            words: 6,
            per_second: contract.limits.requests.per_second() * OVERLOAD,
            duration: case.duration,
            seed: case.seed.wrapping_mul(1000).wrapping_add(number),
        })
        .collect()
}

async fn disturb(cluster: &mut Cluster, balancer: &Balancer, case: &Case) -> Result<(), Error> {
    // The last entry: with all arrivals at the first one, its share is the one that lies idle.
    let Some(host) = cluster.entries.keys().next_back().cloned() else { return Ok(()) };
    let others: Vec<SocketAddr> = cluster.callers().into_iter().rev().skip(1).rev().collect();
    match case.fault {
        Fault::None => {}
        Fault::KvOut => {
            if let Some(kv) = &cluster.kv {
                kv.switch.set_stalled(true);
            }
        }
        Fault::EntryKilled => {
            cluster.kill_entry(&host)?;
            if case.arrival == Arrival::Dawn {
                balancer.set(others);
            }
        }
        Fault::EntryPaused => {
            cluster.pause_entry(&host, PAUSE)?;
            if case.arrival == Arrival::Dawn {
                let all = cluster.callers();
                balancer.set(others);
                tokio::time::sleep(PAUSE).await;
                balancer.set(all);
            }
        }
    }
    Ok(())
}

fn figures(cluster: &Cluster, case: &Case, start: Instant, samples: &[Sample]) -> Figures {
    let mut workspaces = BTreeMap::new();
    let entries = cluster.entries.len();
    for (stream, (workspace, contract)) in cluster.config.contracts.iter().enumerate() {
        let own: Vec<&Sample> = samples.iter().filter(|s| s.stream == stream).collect();
        let share = share(&contract.limits, case, start, &own, entries);
        workspaces.insert(name::Workspace::to_string(workspace), share);
    }
    let far = start + Duration::from_secs(3600);
    let tally = run::sum_up(samples, start..far).tally;
    let total = |of: fn(&Share) -> f64| workspaces.values().map(of).sum::<f64>();
    let allowed = total(|s| s.allowed).max(1.0);
    let throughput = total(|s| s.admitted as f64) / allowed;
    let disturbed = case.fault != Fault::None;
    let target = if disturbed { DISTURBED_TARGET } else { UNDISTURBED_TARGET };
    let held = workspaces.values().all(|share| share.excess <= 0.0);
    let clean = tally.wrong == 0 && tally.lost == 0 && tally.doubled == 0;
    Figures {
        arrival: case.arrival,
        fault: case.fault,
        throughput,
        static_shares: total(|s| s.static_shares as f64) / allowed,
        central: (!disturbed).then(|| total(|s| s.central as f64) / allowed),
        timeline: timeline(&cluster.config, case, start, samples),
        met: held && clean && throughput >= target,
        tally,
        workspaces,
    }
}

fn timeline(config: &Config, case: &Case, start: Instant, samples: &[Sample]) -> Vec<f64> {
    let contracts = config.contracts.values();
    let rate: f64 = contracts.map(|contract| contract.limits.requests.per_second()).sum();
    let sent: Vec<f64> = samples.iter().filter_map(|s| admitted(s, start)).map(|t| t.0).collect();
    let seconds = 0..case.duration.as_secs();
    seconds
        .map(|second| {
            let second = second as f64;
            let count = sent.iter().filter(|at| (second..second + 1.0).contains(at)).count();
            count as f64 / rate.max(1.0)
        })
        .collect()
}

fn share(
    limits: &Limits,
    case: &Case,
    start: Instant,
    samples: &[&Sample],
    entries: usize,
) -> Share {
    let (rate, burst) = (limits.requests.per_second(), f64::from(limits.request_burst));
    let admitted: Vec<(f64, f64)> =
        samples.iter().filter_map(|sample| admitted(sample, start)).collect();
    let offered = samples.len() as u64;
    let most = burst + rate * case.duration.as_secs_f64();
    Share {
        offered,
        admitted: admitted.len() as u64,
        allowed: most.min(offered as f64),
        excess: excess(&admitted, rate, burst),
        static_shares: replay_static(samples, start, rate, burst, entries),
        central: replay(samples.iter().copied(), start, rate, burst),
    }
}

/// When an admitted request was sent and when its first answer came, in seconds.
fn admitted(sample: &Sample, start: Instant) -> Option<(f64, f64)> {
    let answer = &sample.answer;
    let ran = match &answer.end {
        End::Complete => true,
        End::Refused { ran, .. } => ran != "no",
        End::Unreachable | End::Cut | End::Silent => !answer.times.is_empty(),
    };
    let sent = answer.sent.duration_since(start).as_secs_f64();
    let first = answer.times.first().map_or(sent, |t| t.duration_since(start).as_secs_f64());
    ran.then_some((sent, first))
}

/// Most by which a window passed the bound. Each request was admitted at some time between its
/// sending and its first answer; only requests that certainly lie in a window count for it.
fn excess(admitted: &[(f64, f64)], rate: f64, burst: f64) -> f64 {
    let mut by_answer = admitted.to_vec();
    by_answer.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut worst: f64 = 0.0;
    for (start, _) in admitted {
        let mut count = 0.0;
        for (_, end) in by_answer.iter().filter(|(sent, _)| sent >= start) {
            count += 1.0;
            worst = worst.max(count - burst - rate * (end - start));
        }
    }
    // A bound of whole requests is passed by a whole request.
    if worst < 1.0 { 0.0 } else { worst }
}

/// Requests that a token bucket would have admitted.
fn replay<'a>(
    samples: impl Iterator<Item = &'a Sample>,
    start: Instant,
    rate: f64,
    burst: f64,
) -> u64 {
    let mut times: Vec<f64> =
        samples.map(|s| s.answer.sent.duration_since(start).as_secs_f64()).collect();
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

/// Requests that equal shares of the bound, one for each entry, would have admitted.
fn replay_static(
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
    let parts = entries.max(1) as f64;
    by_entry
        .into_values()
        .map(|own| replay(own.into_iter(), start, rate / parts, burst / parts))
        .sum()
}
