//! Endpoints, models and routing tables for tests of placement and forwarding.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::ops::Range as Span;
use std::time::Duration;

use oriole_core::fleet::{Cause, Endpoint, Incarnation, Listing, Position, State, View};
use oriole_core::forward::chain::{self, Chain, Resolver};
use oriole_core::name;
use oriole_core::placement::{Accelerator, Candidate, Model, Plan, Range, revise};
use oriole_core::route::{Kind, Route, Share};
use oriole_core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Returns a configuration with a fixed seed, so that property tests are reproducible.
pub fn proptest_config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases,
        ..ProptestConfig::default()
    }
}

/// Returns three kinds: large and fast, small and fast, medium-sized and slow.
pub fn accelerators() -> [(&'static str, Accelerator); 3] {
    let kind =
        |memory, step_factor, prefill_factor| Accelerator { memory, step_factor, prefill_factor };
    [
        ("large", kind(70e9, 2.5, 3.0)),
        ("small", kind(14e9, 5.0, 8.0)),
        ("slow", kind(22e9, 16.0, 8.0)),
    ]
}

/// Returns a model that fits no single accelerator.
pub fn model() -> Model {
    let named = accelerators().map(|(name, accelerator)| (name.to_owned(), accelerator));
    Model {
        layers: 80,
        layer_bytes: 1.75e9,
        token_layer_bytes: 7_400.0,
        load: Duration::from_secs(14),
        slots: 192,
        step_ms: 1.0,
        step_request_ms: 0.0046,
        step_context_ms: 0.006,
        prefill_tokens_per_ms: 160.0,
        chunk: 512.0,
        stride: 4,
        activation_bytes: 30_000.0,
        zone_link_bytes_per_s: 2e9,
        mean_prompt_tokens: 800.0,
        mean_answer_tokens: 220.0,
        accelerators: BTreeMap::from(named),
    }
}

/// Returns an endpoint without layers; `kind` is an index into [`accelerators`].
pub fn candidate(number: usize, zone: usize, kind: usize) -> Candidate {
    Candidate {
        endpoint: format!("e-{number:03}").as_str().into(),
        zone: format!("zone-{zone}").as_str().into(),
        accelerator: accelerators()[kind].1.clone(),
        held: Range::default(),
        is_slow: false,
    }
}

/// Generates endpoints of any kind in three zones.
pub fn candidates(count: Span<usize>) -> impl Strategy<Value = Vec<Candidate>> {
    prop::collection::vec((0_usize..3, 0_usize..3), count).prop_map(|kinds| {
        let numbered = kinds.into_iter().enumerate();
        numbered.map(|(number, (zone, kind))| candidate(number, zone, kind)).collect()
    })
}

/// Returns three zones with four large, twenty small and fourteen slow accelerators in total.
pub fn site() -> Vec<Candidate> {
    site_with(0)
}

/// Returns a [`site`] with `extra_slow` additional slow accelerators in each zone.
pub fn site_with(extra_slow: usize) -> Vec<Candidate> {
    candidates_by_zone([[2, 4, 4 + extra_slow], [1, 6, 6 + extra_slow], [1, 10, 4 + extra_slow]])
}

/// Returns a [`site`] with more endpoints, where one zone has a chain of large accelerators only.
pub fn grown_site() -> Vec<Candidate> {
    candidates_by_zone([[3, 6, 7], [1, 9, 10], [1, 14, 5]])
}

/// Returns endpoints for the given numbers of large, small and slow accelerators in each zone.
fn candidates_by_zone(counts: [[usize; 3]; 3]) -> Vec<Candidate> {
    let mut all = vec![];
    for (zone, kinds) in counts.into_iter().enumerate() {
        for (kind, count) in kinds.into_iter().enumerate() {
            for _ in 0..count {
                all.push(candidate(all.len(), zone, kind));
            }
        }
    }
    all
}

/// Returns the service to which the endpoints of [`listing`] belong.
pub fn service() -> name::Service {
    "model".into()
}

/// Returns registrations of endpoints that hold the layers that `plan` assigns to them.
pub fn listing(endpoints: &[Candidate], plan: &Plan) -> Listing {
    let names = accelerators();
    let endpoint = |(number, candidate): (usize, &Candidate)| {
        let kind = names.iter().find(|(_, a)| *a == candidate.accelerator);
        let endpoint = Endpoint {
            id: candidate.endpoint.clone(),
            service: service(),
            address: ([10, 0, 0, number as u8], 8080).into(),
            zone: candidate.zone.clone(),
            state: State::Ready,
            born: 1,
            slots: 192,
            heartbeat: 1,
            orders: 0,
            accelerator: kind.map(|(name, _)| (*name).to_owned()),
            layers: plan.layers_of(&candidate.endpoint).unwrap_or_default(),
        };
        (candidate.endpoint.clone(), endpoint)
    };
    Listing {
        position: Position::new(0, 1),
        endpoints: endpoints.iter().enumerate().map(endpoint).collect(),
    }
}

/// Time for which a draining endpoint still gets work.
pub const GRACE: Duration = Duration::from_millis(800);

/// A site with a plan, whose endpoints hold the layers that the plan assigns to them.
pub struct Fixture {
    pub model: Model,
    pub plan: Plan,
    pub view: View,
}

impl Fixture {
    /// Creates the site of [`site`], whose registrations are read at `now`.
    pub fn new(now: Instant) -> Self {
        let (model, endpoints) = (model(), site());
        let chains = revise::revise(&model, &[], &endpoints);
        let plan = Plan {
            number: 1,
            position: Position::new(0, 1),
            services: [(service(), chains)].into(),
        };
        let mut view = View::default();
        view.update_listing(listing(&endpoints, &plan), now);
        Self { model, plan, view }
    }

    /// Returns the chains that are usable at `now`.
    pub fn chains(&self, now: Instant) -> Vec<Chain> {
        let service = service();
        let (model, view) = (&self.model, &self.view);
        let resolver = Resolver { model, service: &service, view, grace: GRACE, now };
        chain::usable(&resolver, std::slice::from_ref(&self.plan))
    }

    /// Marks an endpoint as unhealthy, since it refuses connections.
    pub fn mark_unhealthy(&mut self, id: &name::Endpoint, now: Instant) {
        let incarnation = Incarnation { endpoint: id.clone(), born: 1 };
        self.view.mark_unhealthy(&incarnation, Cause::ConnectionRefused, now, now);
    }
}

/// Returns the only chain of a site of three large and fast accelerators.
pub fn only_chain(model: &Model, now: Instant) -> Chain {
    let endpoints: Vec<_> = (0..3).map(|number| candidate(number, 0, 0)).collect();
    let plan = Plan {
        number: 1,
        position: Position::new(0, 1),
        services: [(service(), revise::revise(model, &[], &endpoints))].into(),
    };
    let mut view = View::default();
    view.update_listing(listing(&endpoints, &plan), now);
    let service = service();
    let resolver = Resolver { model, service: &service, view: &view, grace: Duration::ZERO, now };
    chain::usable(&resolver, std::slice::from_ref(&plan)).remove(0)
}

/// Returns a route whose streams may be resumed.
pub fn route() -> Route {
    Route {
        name: "draft".to_owned(),
        prefix: "/draft/".to_owned(),
        kind: Kind::Streaming,
        timeout: Duration::from_secs(20),
        objective: Duration::from_millis(500),
        priority: 1,
        shares: vec![Share { service: service(), weight: 1 }],
        max_attempts: 2,
        public: false,
        resumable: true,
        pause: Some(Duration::from_millis(250)),
    }
}
