//! `oriole-load placement`: proposes a placement for a site.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use oriole_adapter::settings;

use crate::placement::{self, Report, Site};
use crate::plot;

/// Site that is planned unless another one is given.
const DEFAULT_SITE: &str = "examples/placement/three-zones.toml";

/// Largest number of losses that are printed, the costliest first.
const MAX_PRINTED_LOSSES: usize = 8;

/// Flags of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    /// Description of the site (default: examples/placement/three-zones.toml)
    #[bpaf(argument("FILE"), fallback(PathBuf::from(DEFAULT_SITE)))]
    site: PathBuf,
    /// Writes a picture (SVG) of layers over endpoints to this file
    #[bpaf(argument("FILE"), optional)]
    plot: Option<PathBuf>,
    /// Prints the figures as JSON
    json: bool,
}

impl Command {
    pub(super) fn execute(self) -> ExitCode {
        let site = match settings::load::<Site>(&self.site) {
            Ok(site) => site,
            Err(e) => {
                eprintln!("{e}");
                return ExitCode::FAILURE;
            }
        };
        let endpoints = match site.endpoints() {
            Ok(endpoints) => endpoints,
            Err(e) => {
                eprintln!("{}: {e}", self.site.display());
                return ExitCode::FAILURE;
            }
        };
        let report = placement::report(&site.model(), &endpoints);
        if !self.json {
            print(&report);
        }
        if let Some(path) = &self.plot {
            if let Err(e) = plot::bands(path, &bands(&report)) {
                eprintln!("{e}");
                return ExitCode::FAILURE;
            }
        }
        super::finish(self.json, &report, !report.chains.is_empty())
    }
}

fn print(report: &Report) {
    for (chain, throughput) in &report.chains {
        let stages = chain.stages.iter();
        let stages: Vec<String> =
            stages.map(|s| format!("{} {}-{}", s.endpoint, s.layers.first, s.layers.end)).collect();
        println!("{throughput:7.1} requests/s: {}", stages.join(", "));
    }
    let spares: Vec<&str> = report.spares.iter().map(|e| e.as_str()).collect();
    println!("  spares: {}", spares.join(", "));
    println!(
        "{:7.1} requests/s in total; best chain per zone {:.1}, equal shares {:.1}",
        report.total, report.best_chain_per_zone, report.equal_shares
    );
    let mut losses = report.losses.clone();
    losses.sort_by(|a, b| a.1.total_cmp(&b.1));
    for (endpoint, remaining) in losses.iter().take(MAX_PRINTED_LOSSES) {
        println!("{remaining:7.1} requests/s without {endpoint}");
    }
}

fn bands(report: &Report) -> plot::Bands {
    let chains = report.chains.iter().enumerate();
    let rows = chains.flat_map(|(index, (chain, _))| {
        let row = move |s: &oriole_core::placement::Stage| plot::Band {
            name: s.endpoint.to_string(),
            span: (f64::from(s.layers.first), f64::from(s.layers.end)),
            group: index,
        };
        chain.stages.iter().map(row)
    });
    plot::Bands {
        title: format!("{:.1} requests of mean size per second", report.total),
        unit: "layers".to_owned(),
        rows: rows.collect(),
    }
}
