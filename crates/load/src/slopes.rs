//! Measures how the costs of each process grow with the size of a deployment.

use std::str::FromStr;
use std::time::{Duration, Instant};

use derive_more::{Display, Error as StdError};
use oriole_ctl::base::Base;
use serde::Serialize;

use crate::caller::Generation;
use crate::cluster::{Cluster, Error, Node, Options, api_key};
use crate::run::{Balancer, Run, Workload, summarize};
use crate::synthetic::{self, Size};
use crate::tally::Tally;

/// Time after the start of the load that is not measured.
const WARM_UP: Duration = Duration::from_secs(4);

/// Largest number of tokens of each answer.
const ANSWER_TOKENS: u32 = 32;

/// Size of a page of memory.
const PAGE_KB: f64 = 4.0;

/// The quantity that grows in a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Axis {
    /// Number of endpoints, one per host.
    Endpoints,
    /// Number of entries.
    Entries,
    /// Number of workspaces.
    Workspaces,
    /// Requests per second, over the whole deployment.
    Requests,
    /// Changes of the configuration per minute.
    Changes,
}

/// A text is not the name of an axis.
#[derive(Clone, Copy, Debug, Display, StdError)]
#[display("expected endpoints, entries, workspaces, requests or changes")]
pub struct UnknownAxis;

impl FromStr for Axis {
    type Err = UnknownAxis;

    fn from_str(text: &str) -> Result<Self, UnknownAxis> {
        let named = |axis: &Self| format!("{axis:?}").eq_ignore_ascii_case(text);
        Self::ALL.into_iter().find(named).ok_or(UnknownAxis)
    }
}

impl Axis {
    /// All axes.
    pub const ALL: [Self; 5] =
        [Self::Endpoints, Self::Entries, Self::Workspaces, Self::Requests, Self::Changes];

    /// Returns the values at which the costs are measured.
    fn points(self) -> &'static [usize] {
        match self {
            Self::Endpoints => &[20, 60, 120, 200],
            Self::Entries => &[2, 4, 8, 16],
            Self::Workspaces => &[10, 200, 810],
            Self::Requests => &[0, 20, 40, 80],
            Self::Changes => &[0, 30, 60, 120],
        }
    }

    /// Returns the setup for one value; the other quantities have their base values.
    fn setup(self, point: usize) -> Setup {
        let base = Size { endpoints: 40, entries: 3, workspaces: 10 };
        let setup = Setup { value: point, size: base, requests: 0, changes: 0 };
        match self {
            Self::Endpoints => Setup { size: Size { endpoints: point, ..base }, ..setup },
            Self::Entries => Setup { size: Size { entries: point, ..base }, ..setup },
            Self::Workspaces => Setup { size: Size { workspaces: point, ..base }, ..setup },
            Self::Requests => Setup { requests: point, ..setup },
            Self::Changes => Setup { changes: point, ..setup },
        }
    }
}

/// The deployment and load of one point.
#[derive(Clone, Copy)]
struct Setup {
    value: usize,
    size: Size,
    /// Requests per second.
    requests: usize,
    /// Changes of the configuration per minute.
    changes: usize,
}

/// Measurements of one point.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Point {
    /// Value on the axis.
    pub value: usize,
    /// Size of the deployment.
    pub size: Size,
    /// Processor time of one entry, as a percentage of a core.
    pub entry_core_percent: f64,
    /// Processor time of one side, as a percentage of a core.
    pub side_core_percent: f64,
    /// Bytes per second that one entry exchanges with other entries and with sides.
    pub entry_bytes_per_second: f64,
    /// Bytes per second that one side exchanges with entries.
    pub side_bytes_per_second: f64,
    /// Calls of the key-value service per second, by all processes and by configuration changes.
    pub kv_calls_per_second: f64,
    /// Memory of the whole deployment, including the stand-ins, in kilobytes.
    pub memory_kilobytes: f64,
    /// Counts of requests by their outcome.
    pub tally: Tally,
}

/// Growth of each measurement per unit on the axis, by least squares.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Slope {
    /// Processor time of one entry, as a percentage of a core.
    pub entry_core_percent: f64,
    /// Processor time of one side, as a percentage of a core.
    pub side_core_percent: f64,
    /// Bytes per second of one entry.
    pub entry_bytes_per_second: f64,
    /// Bytes per second of one side.
    pub side_bytes_per_second: f64,
    /// Calls of the key-value service per second.
    pub kv_calls_per_second: f64,
    /// Memory of the whole deployment, including the stand-ins, in kilobytes.
    pub memory_kilobytes: f64,
}

/// Figures of one axis.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Series {
    /// Quantity that grows.
    pub axis: Axis,
    /// Measurements in the order of `value`.
    pub points: Vec<Point>,
    /// Growth per unit on the axis.
    pub slope: Slope,
}

/// Values of all counters at one time, summed over all entries or sides.
struct Counters {
    at: Instant,
    entry_time: Duration,
    side_time: Duration,
    entry_bytes: u64,
    side_bytes: u64,
    kv_calls: u64,
}

/// Measures one axis and calls `progress` after each point; each point takes `period`.
pub async fn run(
    axis: Axis,
    period: Duration,
    seed: u64,
    mut progress: impl FnMut(&Point),
) -> Result<Series, Error> {
    let mut points = Vec::new();
    for value in axis.points() {
        let point = measure(axis.setup(*value), period, seed).await?;
        progress(&point);
        points.push(point);
    }
    let slope = |of: fn(&Point) -> f64| {
        let pairs: Vec<_> = points.iter().map(|p| (p.value as f64, of(p))).collect();
        least_squares(&pairs)
    };
    let slope = Slope {
        entry_core_percent: slope(|p| p.entry_core_percent),
        side_core_percent: slope(|p| p.side_core_percent),
        entry_bytes_per_second: slope(|p| p.entry_bytes_per_second),
        side_bytes_per_second: slope(|p| p.side_bytes_per_second),
        kv_calls_per_second: slope(|p| p.kv_calls_per_second),
        memory_kilobytes: slope(|p| p.memory_kilobytes),
    };
    Ok(Series { axis, points, slope })
}

async fn measure(setup: Setup, period: Duration, seed: u64) -> Result<Point, Error> {
    let Setup { value, size, requests, changes } = setup;
    let memory_before = memory_kilobytes();
    let options = Options { relays: true, kv: true, seed, ..Options::default() };
    let cluster = Cluster::start(synthetic::config(size), options)?;
    let base = cluster.publish().await?;
    cluster.wait_until_ready().await;
    let balancer = Balancer::new(cluster.http_addresses());
    let workloads = workloads(&cluster, requests, WARM_UP + period, seed);
    let load = Run::start(workloads, &balancer, 4);
    tokio::time::sleep(WARM_UP).await;
    let before = read_counters(&cluster);
    apply_changes(&cluster, base, changes, period).await?;
    tokio::time::sleep_until((before.at + period).into()).await;
    let after = read_counters(&cluster);
    let memory = memory_kilobytes() - memory_before;
    let start = load.start;
    let samples = load.finish().await;
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let percent = |later: Duration, earlier: Duration, count: usize| {
        let used = later.saturating_sub(earlier).as_secs_f64();
        100.0 * used / seconds / count.max(1) as f64
    };
    let rate = |later: u64, earlier: u64, count: usize| {
        later.saturating_sub(earlier) as f64 / seconds / count.max(1) as f64
    };
    Ok(Point {
        value,
        size,
        entry_core_percent: percent(after.entry_time, before.entry_time, size.entries),
        side_core_percent: percent(after.side_time, before.side_time, size.endpoints),
        entry_bytes_per_second: rate(after.entry_bytes, before.entry_bytes, size.entries),
        side_bytes_per_second: rate(after.side_bytes, before.side_bytes, size.endpoints),
        kv_calls_per_second: rate(after.kv_calls, before.kv_calls, 1),
        memory_kilobytes: memory,
        tally: summarize(&samples, start..after.at).tally,
    })
}

/// Applies `per_minute` changes of the configuration per minute, evenly spaced, during `period`.
async fn apply_changes(
    cluster: &Cluster,
    mut base: Option<Base>,
    per_minute: usize,
    period: Duration,
) -> Result<(), Error> {
    let Some(kv) = cluster.kv.as_ref().filter(|_| per_minute > 0) else { return Ok(()) };
    let interval = Duration::from_secs(60) / u32::try_from(per_minute).unwrap_or(u32::MAX);
    let start = Instant::now();
    let mut config = cluster.config.clone();
    let mut number = 0;
    while start.elapsed() + interval < period {
        number += 1;
        config.weights.megabytes_per_second += 1;
        base = kv.apply(&config, &format!("oriole-load-change-{number}"), base).await?;
        tokio::time::sleep_until((start + interval * number).into()).await;
    }
    Ok(())
}

fn workloads(cluster: &Cluster, requests: usize, duration: Duration, seed: u64) -> Vec<Workload> {
    let Some((model, settings)) = cluster.config.models.first_key_value() else {
        return Vec::new();
    };
    if requests == 0 {
        return Vec::new();
    }
    let workspaces: Vec<_> = cluster.config.contracts.keys().take(4).collect();
    let rate = requests as f64 / workspaces.len().max(1) as f64;
    let numbered = workspaces.into_iter().zip(1_u64..);
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
            prompt_words: 20,
            per_second: rate,
            duration,
            seed: seed.wrapping_mul(1000).wrapping_add(number),
        })
        .collect()
}

fn read_counters(cluster: &Cluster) -> Counters {
    let time = |node: Option<&Node>| node.and_then(Node::processor_time).unwrap_or_default();
    let entries = cluster.entries.values();
    let sides = cluster.sides.values();
    let bytes = |relay: Option<&oriole_standin::relay::Switch>| relay.map_or(0, |r| r.bytes());
    let entry_to_entry: u64 = entries.clone().map(|e| bytes(e.relay.as_ref())).sum();
    let to_sides: u64 = sides.clone().map(|s| bytes(s.relay.as_ref())).sum();
    Counters {
        at: Instant::now(),
        entry_time: entries.map(|e| time(e.node.as_ref())).sum(),
        side_time: sides.map(|s| time(s.node.as_ref())).sum(),
        // Both ends of a connection between entries count its bytes.
        entry_bytes: to_sides + 2 * entry_to_entry,
        side_bytes: to_sides,
        kv_calls: cluster.kv.as_ref().map_or(0, |kv| kv.service.calls().values().sum()),
    }
}

/// Returns the resident memory of this process.
fn memory_kilobytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_KB
}

/// Returns the slope of the least-squares line; 0 if all points have the same `x`.
fn least_squares(points: &[(f64, f64)]) -> f64 {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if variance > 0.0 { covariance / variance } else { 0.0 }
}
