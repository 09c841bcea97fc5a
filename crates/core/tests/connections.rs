//! Tests of the bound on connections, and of which one gives way to a new one.

#![allow(clippy::unwrap_used)] // test helpers panic on failure, as the tests do

use oriole_core::forward::connections::{Admission, Connections, Phase};
use oriole_core::time::Instant;

fn at(ms: u64) -> Instant {
    Instant::from_us(ms * 1000)
}

/// Guards against small connections that hold all descriptors.
#[test]
fn the_connection_that_has_waited_longest_gives_way() {
    let mut connections = Connections::new(3);
    let Admission::Admitted(first) = connections.admit(at(0)) else { panic!("there is room") };
    let Admission::Admitted(second) = connections.admit(at(1)) else { panic!("there is room") };
    let Admission::Admitted(third) = connections.admit(at(2)) else { panic!("there is room") };
    connections.set_phase(first, Phase::Serving);
    assert!(matches!(connections.admit(at(3)), Admission::InPlaceOf(_, gone) if gone == second));
    connections.set_phase(first, Phase::Waiting(at(4)));
    assert!(matches!(connections.admit(at(5)), Admission::InPlaceOf(_, gone) if gone == third));
    assert_eq!(connections.count(), 3);
}

/// Guards against closing a connection whose request is being served.
#[test]
fn connections_that_serve_requests_keep_their_places() {
    let mut connections = Connections::new(2);
    let keys = [0, 1].map(|ms| match connections.admit(at(ms)) {
        Admission::Admitted(key) => key,
        other => panic!("{other:?}"),
    });
    keys.iter().for_each(|key| connections.set_phase(*key, Phase::Serving));
    assert_eq!(connections.admit(at(2)), Admission::Full);
    connections.end(keys[0]);
    assert!(matches!(connections.admit(at(3)), Admission::Admitted(_)));
}
