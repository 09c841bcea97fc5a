//! `oriole-load recover`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

use crate::recover::{self, Fault, Figures};

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
        let config = match super::read(&self.deployment) {
            Ok(config) => config,
            Err(code) => return code,
        };
        let mut all = Vec::new();
        for fault in Fault::ALL {
            let figures = recover::run(&config, fault, self.rounds, self.seed).await;
            if let Err(code) = super::keep(figures, self.json, print, &mut all) {
                return code;
            }
        }
        if let Some(path) = &self.plot {
            super::write_plot(path, &bars(&all));
        }
        super::conclude(self.json, &all, all.iter().all(|figures| figures.met))
    }
}

fn print(figures: &Figures) {
    let verdict = if figures.met { "met " } else { "MISS" };
    let (recovery, again) = (&figures.recovery, &figures.from_beginning);
    println!(
        "{verdict} {:?}: tokens flow after p50 {:.0} ms, p95 {:.0} ms, max {:.0} ms \
         (target {} ms, {} requests; from the beginning p95 {:.0} ms)",
        figures.fault,
        recovery.p50_ms,
        recovery.p95_ms,
        recovery.max_ms,
        figures.target_ms,
        recovery.count,
        again.p95_ms,
    );
    println!("     {}", figures.tally.line());
    for phase in &figures.phases {
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

fn bars(all: &[Figures]) -> crate::plot::Bars {
    let group = |figures: &Figures| {
        let values = vec![
            figures.recovery.p50_ms,
            figures.recovery.p95_ms,
            figures.from_beginning.p95_ms,
            figures.target_ms as f64,
        ];
        (format!("{:?}", figures.fault), values)
    };
    crate::plot::Bars {
        title: "Time from the fault until tokens flow again".to_owned(),
        unit: "ms".to_owned(),
        names: ["p50", "p95", "p95 from the beginning", "target"].map(str::to_owned).to_vec(),
        groups: all.iter().map(group).collect(),
    }
}
