//! The choice of an endpoint of a plain service among a thousand, from all that is known of them.
#![allow(missing_docs)]

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use oriole_core::fleet::{Endpoint, Listing, Position, State, View};
use oriole_core::forward::choice::{self, Failures};
use oriole_core::forward::in_flight::{Tracker, Work};
use oriole_core::name;
use oriole_core::placement::Range;
use oriole_core::time::Instant;

const ENDPOINTS: u64 = 1000;

const GRACE: Duration = Duration::from_millis(1400);

fn endpoint(number: u64) -> Endpoint {
    Endpoint {
        id: format!("endpoint-{number:04}").as_str().into(),
        service: "service".into(),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 80).into(),
        zone: format!("zone-{}", number % 3).as_str().into(),
        state: State::Ready,
        born: 1_700_000_000_000 + number,
        slots: 6,
        heartbeat: 1,
        orders: 0,
        accelerator: None,
        layers: Range::default(),
    }
}

fn choose(criterion: &mut Criterion) {
    let now = Instant::from_us(200_000_000_000);
    let endpoints: BTreeMap<_, _> =
        (0..ENDPOINTS).map(endpoint).map(|e| (e.id.clone(), e)).collect();
    let mut view = View::default();
    view.update_listing(Listing { position: Position::new(0, 1), endpoints }, now);
    let mut in_flight = Tracker::default();
    for number in 0..ENDPOINTS / 2 {
        let work = Work { requests: 1, ..Work::default() };
        in_flight.add(&endpoint(number * 2).id, work, now);
    }
    let later = now + Duration::from_secs(10);
    let (failures, service) = (Failures::default(), name::Service::from("service"));
    let zone = name::Zone::from("zone-1");
    criterion.bench_function("choice of one of 1,000 endpoints", |bencher| {
        bencher.iter(|| {
            let usable = view.of_service(&service).filter(|e| view.is_usable(&e.id, GRACE, later));
            let chosen = choice::choose(usable, &in_flight, &failures, &zone, &[], later);
            black_box(chosen.map(|e| e.address))
        });
    });
}

criterion_group!(benches, choose);
criterion_main!(benches);
