//! The store comes back from a copy that is some seconds old, as far as it concerns endpoints.
#![allow(clippy::unwrap_used)]

mod fleet_fixture;

use std::time::Duration;

use oriole_core::fleet::{Listing, Position, Update, View};
use oriole_core::placement::Plan;
use oriole_core::time::Instant;

fn at(ms: u64) -> Instant {
    Instant::default() + Duration::from_millis(ms)
}

/// Returns a listing of all endpoints of a site.
fn listing(era: u64, revision: u64) -> Listing {
    let mut listing = fleet_fixture::listing(&fleet_fixture::site(), &Plan::default());
    listing.position = Position::new(era, revision);
    listing
}

#[test]
fn positions_are_ordered_by_era_first() {
    let mut all = [(0, 0), (0, 7), (1, 0), (1, 3), (2, 1), (2, 1 << 39)];
    all.reverse();
    all.sort_by_key(|&(era, revision)| Position::new(era, revision));
    assert_eq!(all, [(0, 0), (0, 7), (1, 0), (1, 3), (2, 1), (2, 1 << 39)]);
    for (era, revision) in all {
        let position = Position::new(era, revision);
        assert_eq!((position.era(), position.revision()), (era, revision));
    }
}

/// Guards against listings that are ignored after a restore, since their revisions are lower.
#[test]
fn a_listing_of_a_later_era_counts_whatever_its_revision() {
    let mut view = View::default();
    view.update_listing(listing(1, 158), at(0));
    assert_eq!(view.update_listing(listing(2, 91), at(500)), Update::Unchanged);
    assert_eq!(view.listing().position, Position::new(2, 91));
    assert_eq!(view.listed_at(), Some(at(500)));
    let late = listing(1, 200);
    assert_eq!(view.update_listing(late, at(600)), Update::Ignored, "it is of an older era");
    assert_eq!(view.listed_at(), Some(at(500)));
}

/// Guards against endpoints that are taken for gone, since the copy is from before they registered.
#[test]
fn endpoints_that_are_missing_from_the_copy_have_time_to_register_again() {
    let endpoints = fleet_fixture::site();
    let mut view = View::default();
    view.update_listing(listing(1, 100), at(0));
    let mut copy = listing(2, 50);
    copy.endpoints.remove(&endpoints[3].endpoint);
    view.update_listing(copy.clone(), at(600));
    assert!(view.get(&endpoints[3].endpoint).is_some(), "it may register again");
    assert!(
        !view.hear_unbroken(Duration::from_secs(100), at(700)),
        "a peer from before says nothing"
    );
    copy.position = Position::new(2, 51);
    view.update_listing(copy.clone(), at(2_800));
    assert!(view.get(&endpoints[3].endpoint).is_some(), "it may register again");
    copy.position = Position::new(2, 52);
    view.update_listing(copy, at(3_000));
    assert!(view.get(&endpoints[3].endpoint).is_none(), "it has left");
}
