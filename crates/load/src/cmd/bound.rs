//! `oriole-load bound`: measures throughput relative to the limits of the contracts.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;

use crate::bound::{self, Arrival, Case, Fault, Report};

/// Cases, in the order in which they run.
const CASES: [(Arrival, Fault); 8] = [
    (Arrival::AllEntries, Fault::None),
    (Arrival::AllEntries, Fault::EntryKilled),
    (Arrival::AllEntries, Fault::EntryPaused),
    (Arrival::AllEntries, Fault::KvOut),
    (Arrival::OneEntry, Fault::None),
    (Arrival::OneEntry, Fault::EntryKilled),
    (Arrival::OneEntry, Fault::EntryPaused),
    (Arrival::OneEntry, Fault::KvOut),
];

/// Flags of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    #[bpaf(external(super::deployment))]
    deployment: PathBuf,
    #[bpaf(external(super::seed))]
    seed: u64,
    /// Seconds for which requests arrive in each case (default: 18)
    #[bpaf(argument("S"), fallback(18))]
    seconds: u64,
    /// Writes a plot (SVG) to this file
    #[bpaf(argument("FILE"), optional)]
    plot: Option<PathBuf>,
    /// Prints the figures as JSON
    json: bool,
}

impl Command {
    pub(super) async fn execute(self) -> ExitCode {
        let config = match super::read_deployment(&self.deployment) {
            Ok(config) => config,
            Err(code) => return code,
        };
        let mut reports = Vec::new();
        for (arrival, fault) in CASES {
            let duration = Duration::from_secs(self.seconds);
            let case = Case { arrival, fault, duration, seed: self.seed };
            let report = bound::run(&config, &case).await;
            if let Err(code) = super::record(report, self.json, print, &mut reports) {
                return code;
            }
        }
        if let Some(path) = &self.plot {
            super::write_plot(path, &bars(&reports));
        }
        super::finish(self.json, &reports, reports.iter().all(|report| report.met))
    }
}

fn title(report: &Report) -> String {
    let arrival = match report.arrival {
        Arrival::AllEntries => "dawn burst",
        Arrival::OneEntry => "all at one entry",
    };
    let fault = match report.fault {
        Fault::None => "undisturbed",
        Fault::EntryKilled => "entry killed",
        Fault::EntryPaused => "entry paused",
        Fault::KvOut => "key-value service out",
    };
    format!("{arrival}, {fault}")
}

fn print(report: &Report) {
    let verdict = if report.met { "met " } else { "MISS" };
    let central = report.central.map_or("-".to_owned(), |central| format!("{central:.3}"));
    println!(
        "{verdict} {}: {:.3} of the bound (static shares {:.3}, central limiter {central})",
        title(report),
        report.throughput,
        report.static_shares,
    );
    println!("     {}", report.tally.summary());
    let timeline: Vec<String> = report.timeline.iter().map(|share| format!("{share:.2}")).collect();
    println!(
        "     admitted in each second, relative to the contracts' rates: {}",
        timeline.join(" ")
    );
    let over_bound = report.workspaces.iter().filter(|(_, counts)| counts.excess > 0.0);
    for (workspace, counts) in over_bound {
        println!(
            "     {workspace}: a time window exceeded the bound by {:.1} requests",
            counts.excess
        );
    }
}

fn bars(reports: &[Report]) -> crate::plot::Bars {
    let group = |report: &Report| {
        let values = vec![report.throughput, report.static_shares, report.central.unwrap_or(0.0)];
        (title(report), values)
    };
    crate::plot::Bars {
        title: "Admitted throughput over the bound".to_owned(),
        unit: "share of the bound".to_owned(),
        names: ["oriole", "static shares", "central limiter"].map(str::to_owned).to_vec(),
        groups: reports.iter().map(group).collect(),
    }
}
