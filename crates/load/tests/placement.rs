//! The planner's proposal for the example site, compared with its baselines.
#![allow(clippy::unwrap_used)]

use std::path::Path;

use oriole_adapter::settings;
use oriole_core::placement::Candidate;
use oriole_load::placement::{self, Site};

fn example() -> Site {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    settings::load(&root.join("examples/placement/three-zones.toml")).unwrap()
}

#[test]
fn the_proposal_serves_more_than_its_baselines_and_survives_each_loss() {
    let site = example();
    let endpoints = site.endpoints().unwrap();
    let report = placement::report(&site.model(), &endpoints);
    assert!(report.total > report.best_chain_per_zone);
    assert!(report.total > report.equal_shares);
    assert_eq!(report.losses.len(), endpoints.len());
    // After a loss, the target is 0.8 of the throughput of a new plan for the remaining endpoints.
    for (endpoint, remaining) in &report.losses {
        let is_left = |c: &&Candidate| c.endpoint != *endpoint;
        let left: Vec<Candidate> = endpoints.iter().filter(is_left).cloned().collect();
        let replanned = placement::report(&site.model(), &left).total;
        assert!(
            *remaining >= 0.8 * replanned,
            "{remaining:.1} of {replanned:.1} without {endpoint}"
        );
    }
}

#[test]
fn a_kind_that_is_not_described_is_named_with_its_zone() {
    let mut site = example();
    site.accelerators.remove("slow");
    let error = site.endpoints().unwrap_err().to_string();
    assert!(error.contains("north") && error.contains("slow"), "{error}");
}
