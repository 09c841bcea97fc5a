//! `oriole-load recover`: measures the time from a fault to the next token.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

use crate::recover::{self, Fault, Report};

/// Flags of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    #[bpaf(external(super::deployment))]
    deployment: PathBuf,
    #[bpaf(external(super::seed))]
    seed: u64,
    /// Deployments in which each fault is injected (default: 2)
    #[bpaf(argument("N"), fallback(2))]
    rounds: u64,
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
        for fault in Fault::ALL {
            let report = recover::run(&config, fault, self.rounds, self.seed).await;
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

fn print(report: &Report) {
    let verdict = if report.met { "met " } else { "MISS" };
    let (recovery, from_beginning) = (&report.recovery, &report.from_beginning);
    println!(
        "{verdict} {:?}: recovery p50 {:.0} ms, p95 {:.0} ms, max {:.0} ms \
         (target {} ms, {} requests; from the beginning p95 {:.0} ms)",
        report.fault,
        recovery.p50_ms,
        recovery.p95_ms,
        recovery.max_ms,
        report.target_ms,
        recovery.count,
        from_beginning.p95_ms,
    );
    println!("     {}", report.tally.summary());
    for phase in &report.phases {
        println!(
            "     {}: first token p50 {:.0} p95 {:.0} ms, between tokens p50 {:.1} p95 {:.1} ms",
            phase.name,
            phase.first_token.p50_ms,
            phase.first_token.p95_ms,
            phase.inter_token.p50_ms,
            phase.inter_token.p95_ms,
        );
    }
}

fn bars(reports: &[Report]) -> crate::plot::Bars {
    let group = |report: &Report| {
        let values = vec![
            report.recovery.p50_ms,
            report.recovery.p95_ms,
            report.from_beginning.p95_ms,
            report.target_ms as f64,
        ];
        (format!("{:?}", report.fault), values)
    };
    crate::plot::Bars {
        title: "Time from the fault until callers receive tokens again".to_owned(),
        unit: "ms".to_owned(),
        names: ["p50", "p95", "p95 from the beginning", "target"].map(str::to_owned).to_vec(),
        groups: reports.iter().map(group).collect(),
    }
}
