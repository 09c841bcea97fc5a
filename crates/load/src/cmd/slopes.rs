//! `oriole-load slopes`: measures how costs grow with the size of a deployment.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;

use crate::plot;
use crate::slopes::{self, Axis, Point, Series};

/// Flags of the subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(command))]
pub struct Command {
    #[bpaf(external(super::seed))]
    seed: u64,
    /// The only axis to measure: endpoints, entries, workspaces, requests or changes
    #[bpaf(argument("NAME"), optional)]
    axis: Option<Axis>,
    /// Seconds for which each point is measured (default: 6)
    #[bpaf(argument("S"), fallback(6))]
    seconds: u64,
    /// Writes a plot (SVG) of processor time over endpoints to this file
    #[bpaf(argument("FILE"), optional)]
    plot: Option<PathBuf>,
    /// Prints the figures as JSON
    json: bool,
}

impl Command {
    pub(super) async fn execute(self) -> ExitCode {
        let mut series_list = Vec::new();
        let is_selected = |axis: &Axis| self.axis.is_none_or(|selected| selected == *axis);
        for axis in Axis::ALL.into_iter().filter(is_selected) {
            let json = self.json;
            let progress = |point: &Point| {
                if !json {
                    print(axis, point);
                }
            };
            let period = Duration::from_secs(self.seconds);
            match slopes::run(axis, period, self.seed, progress).await {
                Ok(series) => {
                    if !json {
                        println!("{axis:?}, growth per unit: {:?}", series.slope);
                    }
                    series_list.push(series);
                }
                Err(e) => {
                    eprintln!("{e}");
                    return ExitCode::FAILURE;
                }
            }
        }
        if let Some(path) = &self.plot {
            if let Err(e) = plot::lines(path, &lines(&series_list)) {
                eprintln!("{e}");
            }
        }
        super::finish(self.json, &series_list, true)
    }
}

fn print(axis: Axis, point: &Point) {
    println!(
        "{axis:?} {}: entry {:.2} % of a core, {:.0} bytes/s; side {:.3} % of a core, \
         {:.0} bytes/s; key-value service {:.2} calls/s; memory {:.0} KB",
        point.value,
        point.entry_core_percent,
        point.entry_bytes_per_second,
        point.side_core_percent,
        point.side_bytes_per_second,
        point.kv_calls_per_second,
        point.memory_kilobytes,
    );
    if point.tally.offered > 0 {
        println!("    {}", point.tally.summary());
    }
}

fn lines(series_list: &[Series]) -> plot::Lines {
    let line = |name: &str, value: fn(&Point) -> f64| {
        let series = series_list.iter().find(|series| series.axis == Axis::Endpoints);
        let points = series.into_iter().flat_map(|series| &series.points);
        (name.to_owned(), points.map(|point| (point.value as f64, value(point))).collect())
    };
    plot::Lines {
        title: "Processor time without requests".to_owned(),
        units: ("endpoints".to_owned(), "% of a core".to_owned()),
        lines: vec![
            line("entry", |point| point.entry_core_percent),
            line("side", |point| point.side_core_percent),
        ],
    }
}
