//! `oriole-load bound`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;

use crate::bound::{self, Arrival, Case, Fault, Figures};

/// All cases, in the order in which they run.
const CASES: [(Arrival, Fault); 8] = [
    (Arrival::Dawn, Fault::None),
    (Arrival::Dawn, Fault::EntryKilled),
    (Arrival::Dawn, Fault::EntryPaused),
    (Arrival::Dawn, Fault::KvOut),
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
        let config = match super::read(&self.deployment) {
            Ok(config) => config,
            Err(code) => return code,
        };
        let mut all = Vec::new();
        for (arrival, fault) in CASES {
            let duration = Duration::from_secs(self.seconds);
            let case = Case { arrival, fault, duration, seed: self.seed };
            let figures = bound::run(&config, &case).await;
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

fn title(figures: &Figures) -> String {
    let arrival = match figures.arrival {
        Arrival::Dawn => "dawn burst",
        Arrival::OneEntry => "all at one entry",
    };
    let fault = match figures.fault {
        Fault::None => "undisturbed",
        Fault::EntryKilled => "entry killed",
        Fault::EntryPaused => "entry paused",
        Fault::KvOut => "key-value service out",
    };
    format!("{arrival}, {fault}")
}

fn print(figures: &Figures) {
    let verdict = if figures.met { "met " } else { "MISS" };
    let central = figures.central.map_or("-".to_owned(), |central| format!("{central:.3}"));
    println!(
        "{verdict} {}: {:.3} of the bound (static shares {:.3}, central limiter {central})",
        title(figures),
        figures.throughput,
        figures.static_shares,
    );
    println!("     {}", figures.tally.line());
    let timeline: Vec<String> = figures.timeline.iter().map(|part| format!("{part:.2}")).collect();
    println!("     admitted each second over the rates: {}", timeline.join(" "));
    let over = figures.workspaces.iter().filter(|(_, share)| share.excess > 0.0);
    for (workspace, share) in over {
        println!("     {workspace}: a window passed the bound by {:.1} requests", share.excess);
    }
}

fn bars(all: &[Figures]) -> crate::plot::Bars {
    let group = |figures: &Figures| {
        let values =
            vec![figures.throughput, figures.static_shares, figures.central.unwrap_or(0.0)];
        (title(figures), values)
    };
    crate::plot::Bars {
        title: "Admitted throughput over the bound".to_owned(),
        unit: "share of the bound".to_owned(),
        names: ["oriole", "static shares", "central limiter"].map(str::to_owned).to_vec(),
        groups: all.iter().map(group).collect(),
    }
}
