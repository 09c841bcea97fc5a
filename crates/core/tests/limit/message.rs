//! Effects of single messages between limiters, among them duplicated and outdated ones.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_core::limit::{Effect, Limiter, Settings, View};
use oriole_core::name::Workspace;
use oriole_core::roster::{FULL_QUOTA, Roster};
use oriole_core::share::{Grant, Levels, Message, Quota, Request, Return};
use oriole_core::time::Instant;

use crate::contracts::{contract, limits};
use crate::world::host;

const NOW: Instant = Instant::from_us(100_000_000);
const REQUESTED: Quota = Quota { requests: 100_000, tokens: 100_000, slots: 3 };

fn workspace() -> Workspace {
    Workspace::from("gate-desk")
}

fn roster(nodes: usize) -> Roster {
    Roster::first((0..nodes).map(|n| (host(n), 1)).collect())
}

/// Returns the limiter of entry 0 of two after its startup. The other entry never answers.
fn limiter() -> Limiter {
    let early = Instant::from_us(0);
    let mut limiter = Limiter::new(early, host(0), 1, Settings::default());
    let mut out = Vec::new();
    let bounds = limits(10.0, 100, 1000.0, 1_000_000);
    let contract = contract(&workspace(), bounds, Duration::from_secs(5));
    limiter.on_contracts(early, &BTreeMap::from([(workspace(), contract)]), &mut out);
    limiter.on_roster(early, roster(2), &mut out);
    for second in 0..=100 {
        limiter.tick(Instant::from_us(second * 1_000_000), &mut out);
    }
    limiter
}

fn view(limiter: &mut Limiter) -> View {
    let Some(view) = limiter.view(NOW, &workspace()) else {
        panic!("no account");
    };
    view
}

fn send(limiter: &mut Limiter, message: Message) -> Vec<Effect> {
    let mut out = Vec::new();
    limiter.on_message(NOW, &host(1), message, &mut out);
    out
}

fn request() -> Message {
    let workspace = workspace();
    let (least, want) = (REQUESTED, REQUESTED);
    Message::Request(Request { number: 7, workspace, least, want, renew: None, grace_ms: 5000 })
}

fn borrow(limiter: &mut Limiter) -> Grant {
    let out = send(limiter, request());
    let [Effect::Send(_, Message::Grant(grant))] = &out[..] else {
        panic!("{out:?}");
    };
    grant.clone()
}

fn return_message(grant: &Grant, slots: u32) -> Message {
    let (loan, workspace, levels) = (grant.loan, workspace(), grant.levels);
    Message::Return(Return { loan, workspace, levels, slots })
}

/// Has a request denied and returns the number of the first loan request that this causes.
fn first_request(limiter: &mut Limiter, now: Instant) -> Option<u64> {
    let mut out = Vec::new();
    let _ = limiter.admit(now, &workspace(), 900_000, &mut out);
    out.into_iter().find_map(|effect| match effect {
        Effect::Send(_, Message::Request(request)) => Some(request.number),
        _ => None,
    })
}

fn grant(number: u64, roster: u64) -> Message {
    let levels = Levels { requests: 1, tokens: 1 };
    let (workspace, quota, life_ms) = (workspace(), REQUESTED, 3000);
    Message::Grant(Grant {
        number,
        loan: 9,
        workspace,
        roster,
        quota,
        levels,
        life_ms,
        single_use: false,
    })
}

/// A duplicated request must not take a second loan out of the lender's share.
#[test]
fn a_duplicated_request_gets_one_loan() {
    let mut limiter = limiter();
    assert_eq!(borrow(&mut limiter).quota, REQUESTED);
    assert_eq!(send(&mut limiter, request()), vec![]);
    assert_eq!(view(&mut limiter).held.requests, FULL_QUOTA / 2 - REQUESTED.requests);
}

/// A duplicated return must not add slots or bucket contents to the lender a second time.
#[test]
fn a_duplicated_return_counts_once() {
    let mut limiter = limiter();
    let before = view(&mut limiter);
    let grant = borrow(&mut limiter);
    send(&mut limiter, return_message(&grant, 1));
    send(&mut limiter, return_message(&grant, 1));
    let after = view(&mut limiter);
    assert_eq!((after.requests, after.tokens), (before.requests, before.tokens));
    assert_eq!(after.lent, Quota { slots: 2, ..Quota::default() });
    let mut out = Vec::new();
    for _ in 0..20 {
        assert!(limiter.admit(NOW, &workspace(), 0, &mut out).is_ok());
    }
    send(&mut limiter, return_message(&grant, 1));
    assert_eq!(view(&mut limiter).requests, before.requests - 20_000_000);
}

/// A grant that is duplicated, was not requested, or comes from a lender with an older roster must
/// not add quota that nobody subtracted.
#[test]
fn a_grant_counts_once_and_only_under_the_current_roster() {
    let mut limiter = limiter();
    let own = view(&mut limiter).held;
    let number = first_request(&mut limiter, NOW).unwrap();
    send(&mut limiter, grant(number + 1, 1));
    assert_eq!(view(&mut limiter).held, own);
    send(&mut limiter, grant(number, 1));
    send(&mut limiter, grant(number, 1));
    assert_eq!(view(&mut limiter).held, own.plus(REQUESTED));
    let mut out = Vec::new();
    limiter.on_roster(NOW, roster(2).next(roster(2).entries), &mut out);
    assert_eq!(view(&mut limiter).held, own);
    let number = first_request(&mut limiter, NOW + Duration::from_millis(200)).unwrap();
    send(&mut limiter, grant(number, 1));
    assert_eq!(view(&mut limiter).held, own);
}

/// An entry that missed a roster does not know the share that it owned under it, which may have
/// been empty. It must use none until the missed roster cannot be in force any more.
#[test]
fn an_entry_that_missed_a_roster_has_no_share() {
    let mut limiter = limiter();
    let next = roster(2).next(roster(2).entries);
    let mut out = Vec::new();
    limiter.on_roster(NOW, next.next(next.entries.clone()), &mut out);
    assert_eq!(view(&mut limiter).own, Quota::default());
}

/// A lender that restarts must know every borrower. An entry that joins may therefore borrow only
/// once its roster is in force everywhere.
#[test]
fn a_joining_entry_borrows_only_after_propagation() {
    let mut limiter = Limiter::new(NOW, host(2), 1, Settings::default());
    let mut out = Vec::new();
    let bounds = limits(10.0, 100, 1000.0, 1_000_000);
    let contract = contract(&workspace(), bounds, Duration::from_secs(5));
    limiter.on_contracts(NOW, &BTreeMap::from([(workspace(), contract)]), &mut out);
    limiter.on_roster(NOW, roster(2), &mut out);
    limiter.on_roster(NOW, roster(2).next(roster(3).entries), &mut out);
    assert_eq!(first_request(&mut limiter, NOW + Duration::from_secs(1)), None);
    for second in 1..=18 {
        limiter.tick(NOW + Duration::from_secs(second), &mut out);
    }
    assert!(first_request(&mut limiter, NOW + Duration::from_secs(18)).is_some());
}

/// While an entry was paused, the others may have divided a changed contract anew. Its old share
/// must not count until they have confirmed it.
#[test]
fn a_paused_entry_sends_hello_before_it_uses_its_share() {
    let mut limiter = limiter();
    let resumed = NOW + Duration::from_millis(2100);
    let mut out = Vec::new();
    assert!(limiter.admit(resumed, &workspace(), 0, &mut out).is_err());
    assert!(out.iter().any(|e| matches!(e, Effect::Send(_, Message::Hello(_)))), "{out:?}");
}
